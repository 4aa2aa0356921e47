/// Time that the request path adds at half load, and look-ups per second of one worker, against the bounds of design 1.3.

#include <LibCore/snapshot.h>
#include <LibHttp/endpoint.h>
#include <LibTelemetry/log.h>
#include <Services/trefoilmountd/host.h>
#include <StandIns/upstream.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <fmt/format.h>
#include <pcg_random.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace Trefoil;
namespace asio = boost::asio;

namespace
{

constexpr double s_medianBoundMilliseconds = 0.3;
constexpr double s_tailBoundMilliseconds = 2;
constexpr double s_lookupBound = 30'000;
constexpr int s_upstreams = 4;
constexpr int s_slots = 4;
/// Half of the slots are in use, each by one caller that sends its next request after the response.
constexpr int s_callers = s_upstreams * s_slots / 2;
constexpr std::chrono::milliseconds s_serviceTime{5};
constexpr int s_rounds = 6;
constexpr int s_requestsPerRound = 250;
constexpr std::size_t s_blocks = 850'000;
constexpr int s_regions = 9;
constexpr int s_hosts = 1500;
constexpr int s_lookupThreads = 2;
constexpr int s_connectionsPerThread = 16;
constexpr std::chrono::seconds s_lookupTime{4};

/// Upstreams in a thread of their own.
struct Upstreams
{
    Upstreams()
        : work(context.get_executor())
    {
        UpstreamStandInSettings settings;
        settings.slots = s_slots;
        settings.serviceTime = s_serviceTime;
        for (int i = 0; i < s_upstreams; ++i) {
            all.push_back(std::move(UpstreamStandIn::create(context, settings).value()));
        }
        thread = std::thread([this] { context.run(); });
    }

    ~Upstreams()
    {
        context.stop();
        thread.join();
    }

    Upstreams(const Upstreams &) = delete;
    Upstreams &operator=(const Upstreams &) = delete;

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::vector<std::unique_ptr<UpstreamStandIn>> all;
    std::thread thread;
};

std::unique_ptr<Host> createHost(int threads)
{
    HostOptions options;
    options.host = HostId("host-0");
    options.region = RegionId("region-0");
    options.zone = ZoneId("zone-0");
    options.callerAddress = "127.0.0.1:0";
    options.threads = threads;
    auto host = std::move(Host::create(options, {}).value());
    host->state().lease.extend(BootClock::now() + std::chrono::hours(1));
    return host;
}

void publishUpstreams(Host &host, const Upstreams &upstreams)
{
    Configuration configuration;
    configuration.regions.push_back({RegionId("region-0"), {{ZoneId("zone-0")}}});
    ServiceConfiguration service;
    service.id = ServiceId("catalogue-svc");
    configuration.classes.push_back({ClassId("browse")});
    configuration.tenants.push_back({TenantId("museum")});
    std::vector<std::shared_ptr<const UpstreamState>> states;
    for (std::size_t i = 0; i < upstreams.all.size(); ++i) {
        UpstreamConfiguration upstream;
        upstream.id = UpstreamId(fmt::format("cat-{}", i));
        upstream.region = RegionId("region-0");
        upstream.zone = ZoneId("zone-0");
        upstream.address = upstreams.all[i]->address();
        upstream.slots = SlotCount(s_slots);
        upstream.connections = ConnectionCount(360);
        service.upstreams.push_back(upstream);
        auto slots = UpstreamSlots::create();
        slots->setGranted(upstream.slots);
        states.push_back(std::make_shared<UpstreamState>(UpstreamState{upstream, service.id, slots, false}));
    }
    configuration.services.push_back(service);
    host.state().updateRouting([&](RoutingView &view) {
        view.configuration = std::make_shared<Configuration>(configuration);
        view.upstreams = states;
    });
}

/// Requests of all callers to the given addresses; latencies in milliseconds. Returns the number of failures.
int runCallers(
    asio::io_context &context, ConnectionPool &pool, const std::vector<std::string> &addresses, const HttpRequest &request, std::vector<double> &latencies)
{
    int failures = 0;
    for (int i = 0; i < s_callers; ++i) {
        asio::spawn(context, [&, i](const asio::yield_context &yield) {
            for (int j = 0; j < s_requestsPerRound; ++j) {
                CallOptions options;
                const BootTime start = BootClock::now();
                options.deadline = start + std::chrono::seconds(5);
                const CallResult result = pool.call(addresses[static_cast<std::size_t>(i) % addresses.size()], nullptr, request, options, yield);
                const std::chrono::duration<double, std::milli> taken = BootClock::now() - start;
                latencies.push_back(taken.count());
                const auto *response = std::get_if<HttpResponse>(&result);
                failures += response && response->status == 200 ? 0 : 1;
            }
        });
    }
    context.restart();
    context.run();
    return failures;
}

double quantile(std::vector<double> values, double share)
{
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

bool reportAddedTime(const std::string &what, double added, double bound)
{
    const bool holds = added <= bound;
    fmt::print("{:<44} {:>8.3f} ms (bound {}, {})\n", what, added, bound, holds ? "holds" : "BROKEN");
    return holds;
}

bool benchRequests()
{
    const Upstreams upstreams;
    const auto host = createHost(2);
    publishUpstreams(*host, upstreams);
    host->start();
    HttpRequest direct{"GET", "/casts/7"};
    direct.headers.add("Trefoil-Deadline-Ms", "5000");
    HttpRequest steered{"GET", "/v1/requests/catalogue-svc/casts/7"};
    steered.headers.add("Trefoil-Tenant", "museum");
    steered.headers.add("Trefoil-Class", "browse");
    std::vector<std::string> addresses;
    addresses.reserve(s_upstreams);
    for (const auto &upstream : upstreams.all) {
        addresses.push_back(upstream->address());
    }
    asio::io_context context(1);
    ConnectionPool pool(context, {});
    std::vector<double> directTimes;
    std::vector<double> steeredTimes;
    int failures = 0;
    for (int round = 0; round <= s_rounds; ++round) {
        if (round == 1) {
            // The first round warms connections and cold-start ramps.
            directTimes.clear();
            steeredTimes.clear();
        }
        failures += runCallers(context, pool, addresses, direct, directTimes);
        failures += runCallers(context, pool, {host->callerAddress()}, steered, steeredTimes);
    }
    fmt::print("{} requests each way, {} failures, {} of {} slots in use, service time {} ms\n",
        steeredTimes.size(),
        failures,
        s_callers,
        s_upstreams * s_slots,
        s_serviceTime.count());
    fmt::print("direct: median {:.3f} ms, 99th percentile {:.3f} ms\n", quantile(directTimes, 0.5), quantile(directTimes, 0.99));
    fmt::print("through the host: median {:.3f} ms, 99th percentile {:.3f} ms\n", quantile(steeredTimes, 0.5), quantile(steeredTimes, 0.99));
    const bool median = reportAddedTime("added at the median", quantile(steeredTimes, 0.5) - quantile(directTimes, 0.5), s_medianBoundMilliseconds);
    const bool tail = reportAddedTime("added at the 99th percentile", quantile(steeredTimes, 0.99) - quantile(directTimes, 0.99), s_tailBoundMilliseconds);
    return median && tail && failures == 0;
}

/// A view with the whole table of the two-year target.
std::unique_ptr<RoutingView> fullLookupView()
{
    auto view = std::make_unique<RoutingView>();
    auto service = std::make_shared<ServiceRouting>();
    service->id = ServiceId("catalogue-svc");
    view->services.push_back(service);
    std::vector<RegionId> regions;
    regions.reserve(s_regions);
    for (int i = 0; i < s_regions; ++i) {
        regions.emplace_back(fmt::format("region-{}", i));
    }
    std::vector<ClientBlock> blocks;
    blocks.reserve(s_blocks);
    for (std::uint32_t i = 0; i < s_blocks; ++i) {
        blocks.push_back({(i * 16 + 65536) << 8U, 24, static_cast<std::uint16_t>(i % s_regions)});
    }
    std::vector<RankedHost> ranked;
    ranked.reserve(s_hosts);
    auto texts = std::make_shared<std::vector<std::string>>();
    for (int i = 0; i < s_hosts; ++i) {
        HostRouting host;
        host.id = HostId(fmt::format("host-{}", i));
        host.region = regions[static_cast<std::size_t>(i % s_regions)];
        host.zone = ZoneId(fmt::format("zone-{}", i % 30));
        host.callerAddress = fmt::format("10.0.{}.{}:8080", i / 250, i % 250);
        ranked.push_back({host.id, host.region, host.zone, false});
        texts->push_back(fmt::format(
            R"({{"id":"{}","address":"{}","region":"{}","zone":"{}"}})", host.id.value(), host.callerAddress, host.region.value(), host.zone.value()));
        view->hosts.push_back(std::move(host));
    }
    view->ranking = std::make_shared<HostRanking>(ranked, regions, std::vector<LinkConfiguration>{});
    view->hostTexts = texts;
    view->lookup = std::make_shared<LookupTable>(std::move(blocks), std::move(regions));
    return view;
}

double cpuSeconds(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// Keep-alive look-ups on several connections until the end; one request at a time on each.
void runLookups(const std::string &address, std::chrono::steady_clock::time_point end, std::uint64_t &count, std::uint64_t &errors)
{
    asio::io_context context(1);
    for (int i = 0; i < s_connectionsPerThread; ++i) {
        asio::spawn(context, [&, i](const asio::yield_context &yield) {
            asio::ip::tcp::socket socket(context);
            socket.async_connect(parseEndpoint(address).value(), yield);
            socket.set_option(asio::ip::tcp::no_delay(true));
            pcg32 generator(static_cast<std::uint64_t>(i));
            std::array<char, 4096> buffer{};
            while (std::chrono::steady_clock::now() < end) {
                const std::uint32_t client = generator();
                const std::string request = fmt::format("GET /v1/lookup?service=catalogue-svc&client={}.{}.{}.{} HTTP/1.1\r\nHost: a\r\n\r\n",
                    client >> 24U,
                    (client >> 16U) & 255U,
                    (client >> 8U) & 255U,
                    client & 255U);
                asio::async_write(socket, asio::buffer(request), yield);
                // A response fits into one segment of the loopback link, and ends with the end of its JSON text.
                std::size_t size = 0;
                while (size < 2 || buffer[size - 1] != '}') {
                    size += socket.async_read_some(asio::buffer(buffer.data() + size, buffer.size() - size), yield);
                }
                errors += std::string_view(buffer.data(), 12) == "HTTP/1.1 200" ? 0 : 1;
                ++count;
            }
        });
    }
    context.run();
}

bool benchLookups()
{
    const auto host = createHost(1);
    host->state().routing.publish(fullLookupView());
    host->start();
    std::array<std::uint64_t, s_lookupThreads> counts{};
    std::array<std::uint64_t, s_lookupThreads> errors{};
    std::array<double, s_lookupThreads> clientCpu{};
    std::vector<std::thread> threads;
    threads.reserve(s_lookupThreads);
    const double cpuBefore = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < s_lookupThreads; ++i) {
        threads.emplace_back([&, i] {
            runLookups(host->callerAddress(), start + s_lookupTime, counts.at(i), errors.at(i));
            clientCpu.at(i) = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    double workerCpu = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - cpuBefore;
    std::uint64_t total = 0;
    std::uint64_t failures = 0;
    for (std::size_t i = 0; i < s_lookupThreads; ++i) {
        workerCpu -= clientCpu.at(i);
        total += counts.at(i);
        failures += errors.at(i);
    }
    const double perCore = static_cast<double>(total) / workerCpu;
    fmt::print("look-ups with {} blocks and {} hosts: {} in {:.2f} s, {} failures; {:.0f}/s by the clock\n",
        s_blocks,
        s_hosts,
        total,
        taken.count(),
        failures,
        static_cast<double>(total) / taken.count());
    const bool holds = perCore >= s_lookupBound;
    fmt::print("{:<44} {:>8.0f} /s (bound {:.0f}, {}), {:.2f} cores used by the worker\n",
        "look-ups per second of one core",
        perCore,
        s_lookupBound,
        holds ? "holds" : "BROKEN",
        workerCpu / taken.count());
    return holds && failures == 0;
}

} // namespace

int main()
{
    const SnapshotReaderThread reader;
    configureLog(LogLevel::Warning, HostId("bench"), ZoneId("bench"));
    const bool requests = benchRequests();
    const bool lookups = benchLookups();
    return requests && lookups ? 0 : 1;
}
