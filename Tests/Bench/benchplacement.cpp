/// Time of GatewayState::place() at the sizes of the users' deployments, for services whose upstreams report three and four load figures.

#include <LibGateway/gatewaystate.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

using namespace Trefoil;

namespace
{

constexpr BootTime s_start{std::chrono::hours(1)};
constexpr int s_decisions = 2000;
constexpr int s_repeats = 15;
constexpr std::uint32_t s_keys = 512;
constexpr int s_slots = 4;
constexpr int s_inFlight = 1;

/// The host's state after it has sent each upstream a few requests, of which one is still in flight.
struct Host
{
    explicit Host(int upstreams)
        : state(settings())
    {
        route.id = RouteId("route");
        route.targetLatency = std::chrono::milliseconds(600);
        route.timeout = std::chrono::milliseconds(4000);
        route.services = {{ServiceId("service"), 1}};
        for (int i = 0; i < upstreams; ++i) {
            UpstreamRegistration registration;
            registration.id = UpstreamId(fmt::format("u{}", i));
            registration.service = ServiceId("service");
            registration.address = "127.0.0.1:1";
            registration.zone = ZoneId("zone");
            registration.slots = SlotCount(s_slots);
            state.upstreamStarted(registration, s_start);
        }
    }

    static GatewayStateSettings settings()
    {
        GatewayStateSettings result;
        result.host = HostId("host");
        result.placement.zone = ZoneId("zone");
        result.placement.region = RegionId("region");
        result.regions = {{ZoneId("zone"), RegionId("region")}};
        return result;
    }

    RequestPlacement request(std::uint32_t number) const
    {
        return {&route, ServiceId("service"), stableHash(fmt::format("key-{}", number % s_keys)), s_start, s_start + std::chrono::seconds(4)};
    }

    Route route;
    GatewayState state;
};

void warmUp(Host &host, const LoadReport &report)
{
    std::uint32_t number = 0;
    for (const auto &upstream : host.state.usableUpstreams(ServiceId("service"), host.route, {}, s_start)) {
        host.state.recordStart(host.request(number), *upstream, Placed{}, s_start);
        const AttemptObservation observation{AttemptOutcome::Success, false, Milliseconds(300), report};
        host.state.recordAttempt(host.request(number++), *upstream, Placed{}, observation, s_start);
        for (int i = 0; i < s_inFlight; ++i) {
            host.state.recordStart(host.request(number), *upstream, Placed{}, s_start);
        }
    }
}

/// Microseconds a decision, the best of several runs: the machine is shared, and a run can only be slowed down.
double decisionTime(int upstreams, const LoadReport &report)
{
    Host host(upstreams);
    warmUp(host, report);
    const auto usable = host.state.usableUpstreams(ServiceId("service"), host.route, {}, s_start);
    double best = 1e12;
    std::size_t sum = 0;
    for (int repeat = 0; repeat < s_repeats; ++repeat) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < s_decisions; ++i) {
            const auto result = host.state.place(host.request(static_cast<std::uint32_t>(i)), usable, s_start + std::chrono::milliseconds(50));
            sum += result.index();
        }
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
        best = std::min(best, taken.count() / s_decisions);
    }
    fmt::print("{:>4} upstreams, {} figures: {:7.1f} us (checksum {})\n", upstreams, report.workFactor ? "four" : "three", best, sum);
    return best;
}

} // namespace

int main()
{
    for (const int upstreams : {12, 122, 725}) {
        decisionTime(upstreams, LoadReport{6, 2});
        decisionTime(upstreams, LoadReport{6, 2, 1.2});
    }
    return 0;
}
