#include "testsite.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace Trefoil;

namespace
{

constexpr int s_callers = 6;
constexpr std::chrono::milliseconds s_beforeStop{150};
/// Callers use a host for this long after look-ups leave it out; the host's grace period is longer.
constexpr std::chrono::milliseconds s_afterStop{200};

} // namespace

// Guards against a planned stop that aborts or rejects requests of callers with an unexpired look-up response (P7).
Test(PlannedStop, noRequestIsAbortedUnderLoad)
{
    UpstreamStandInSettings settings;
    settings.serviceTime = std::chrono::milliseconds(15);
    TestUpstreams upstreams(2, settings);
    MemoryClaims claims;
    TestHost host(testHostOptions("host-1", "gulf"), claims.access(), &upstreams, 4);
    const std::string address = host.address();
    const auto end = std::chrono::steady_clock::now() + s_beforeStop + s_afterStop;
    std::atomic<int> answered{0};
    std::atomic<int> others{0};
    std::vector<std::thread> callers;
    callers.reserve(s_callers);
    for (int i = 0; i < s_callers; ++i) {
        callers.emplace_back([&, i] {
            TestCaller caller;
            for (int j = 0; std::chrono::steady_clock::now() < end; ++j) {
                const bool isOrder = j % 3 == 0;
                const std::string key = isOrder ? "1800000000-" + std::to_string(i) + "-" + std::to_string(j) : "";
                const auto result = summaryOf(caller.call(address, testRequest(isOrder ? "order" : "browse", key)));
                ++(result == "200 answered" ? answered : others);
            }
        });
    }
    std::this_thread::sleep_for(s_beforeStop);
    host.host().requestStop();
    for (auto &caller : callers) {
        caller.join();
    }
    host.join();
    cr_assert_eq(others.load(), 0);
    cr_assert_gt(answered.load(), 3 * s_callers);
    cr_assert_eq(host.host().inFlight(), 0);
    cr_assert_eq(upstreams.startedRequests(), static_cast<std::uint64_t>(answered.load()));
}

// Guards against a host that ends before its workers have closed their listening sockets: connections that wait there are reset.
Test(PlannedStop, hostWaitsForItsWorkersToClose)
{
    HostOptions options = testHostOptions("host-1", "gulf");
    options.stopGrace = std::chrono::milliseconds(0);
    options.drainTimeout = std::chrono::seconds(10);
    const auto host = std::move(Host::create(options).value());
    std::atomic<bool> hasEnded{false};
    std::thread control([&] {
        host->run();
        hasEnded = true;
    });
    host->requestStop();
    std::this_thread::sleep_for(s_beforeStop);
    cr_assert_not(hasEnded.load());
    // The workers run late.
    host->start();
    control.join();
}
