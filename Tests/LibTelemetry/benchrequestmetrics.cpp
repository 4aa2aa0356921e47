#include <LibTelemetry/requestmetrics.h>

#include <fmt/format.h>
#include <string>
#include <thread>

/// Prints the cost of one measured request (look-up of the series, start, finish) with the given number of threads.
int main(int argc, char **argv)
{
    constexpr int requests = 1000000;
    const int threadCount = argc > 1 ? std::stoi(argv[1]) : 1;
    const Trefoil::SnapshotReaderThread registration;
    Trefoil::RequestMetrics metrics;
    std::vector<Trefoil::TenantId> tenants;
    tenants.reserve(32);
    for (int i = 0; i < 32; ++i) {
        tenants.emplace_back("tenant-" + std::to_string(i));
    }
    metrics.declare(tenants, {Trefoil::ClassId("browse"), Trefoil::ClassId("order")});
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&metrics, &tenants] {
            const Trefoil::SnapshotReaderThread threadRegistration;
            const Trefoil::ClassId browse("browse");
            for (int i = 0; i < requests; ++i) {
                const auto series = metrics.series(tenants[i % tenants.size()], browse);
                series->started();
                series->finished({Trefoil::RequestOutcome::Answered, {}, std::chrono::microseconds(i % 5000), {}, 0});
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    fmt::print("{:.0f} ns for each request on each of {} threads\n", elapsed.count() / requests, threadCount);
    return 0;
}
