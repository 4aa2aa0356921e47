#include <LibGateway/gatewaymetrics.h>
#include <LibGateway/gatewaystate.h>

#include <LibSteering/affinityranking.h>

#include <criterion/criterion.h>
#include <deque>
#include <fmt/format.h>
#include <pcg_random.hpp>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};
const ServiceId s_service("service");
constexpr int s_upstreams = 6;

Route route()
{
    Route result;
    result.id = RouteId("route");
    result.targetLatency = 600ms;
    result.timeout = 4000ms;
    result.services = {{s_service, 1}};
    return result;
}

std::unique_ptr<GatewayState> host(bool usesNewParts)
{
    GatewayStateSettings settings;
    settings.host = HostId("host");
    settings.placement.zone = ZoneId("zone");
    settings.placement.region = RegionId("region");
    settings.regions = {{ZoneId("zone"), RegionId("region")}};
    settings.usesRequestCost = usesNewParts;
    settings.usesRemainingWork = usesNewParts;
    auto state = std::make_unique<GatewayState>(settings);
    for (int i = 0; i < s_upstreams; ++i) {
        UpstreamRegistration registration;
        registration.id = UpstreamId(fmt::format("u{}", i));
        registration.service = s_service;
        registration.address = "127.0.0.1:1";
        registration.zone = ZoneId("zone");
        registration.slots = SlotCount(2);
        state->upstreamStarted(registration, s_start);
    }
    return state;
}

/// Attempt in flight at one of two hosts.
struct Attempt
{
    RequestPlacement request;
    std::shared_ptr<Upstream> upstream;
    Placed placed;
    RemainingWork::Token token = 0;
    BootTime sentAt{};
};

/// Text of one decision with all of its figures.
std::string toText(const PlacementResult &result)
{
    if (const auto *placed = std::get_if<Placed>(&result)) {
        return fmt::format("{} {} {} {}", placed->candidate, static_cast<int>(placed->cache), placed->expectedWork.count(), placed->expectedWait.count());
    }
    const auto *noRoom = std::get_if<NoRoom>(&result);
    return noRoom ? fmt::format("no room, {}", noRoom->retryAfter.count()) : "no upstream";
}

/// Decisions of one host for the same arrivals and times of work.
std::vector<std::string> decisions(GatewayState &state, const Route &route, std::optional<double> workFactor, std::uint64_t seed)
{
    pcg32 random(seed);
    std::vector<std::string> result;
    std::deque<Attempt> attempts;
    for (BootTime now = s_start; now < s_start + 20s; now += 20ms) {
        // Drawn for each step, so that the sequence does not depend on the decisions.
        const auto keyNumber = random(24);
        const bool isLong = random(100) < 3;
        while (!attempts.empty() && attempts.front().sentAt + 240ms <= now) {
            const Attempt attempt = attempts.front();
            attempts.pop_front();
            const LoadReport report{2, attempt.upstream->model.inFlight() / 2, workFactor};
            AttemptObservation observation{AttemptOutcome::Success, false, isLong ? 1700ms : 240ms, report};
            observation.token = attempt.token;
            state.recordAttempt(attempt.request, *attempt.upstream, attempt.placed, observation, now);
        }
        RequestPlacement request{&route, s_service, stableHash(fmt::format("key-{}", keyNumber)), now, now + 4s};
        request.bytes = std::uint64_t{keyNumber} * 100;
        const auto usable = state.usableUpstreams(s_service, route, {}, now);
        const PlacementResult decision = state.place(request, usable, now);
        result.push_back(toText(decision));
        if (const auto *placed = std::get_if<Placed>(&decision)) {
            const auto &upstream = usable[placed->candidate];
            attempts.push_back({request, upstream, *placed, state.recordStart(request, *upstream, *placed, now), now});
        }
    }
    return result;
}

} // namespace

// Guards against metrics of cost that are missing where upstreams report four figures, and against ones that show assumed values where they do not.
Test(RequestCostUse, metricsShowLearnedCost)
{
    const Route served = route();
    for (const bool hasFactor : {true, false}) {
        const auto state = host(true);
        decisions(*state, served, hasFactor ? std::make_optional(1.0) : std::nullopt, 1);
        ScrapeWriter writer;
        GatewayMetrics().writeTo(writer, *state, s_start + 20s);
        const std::string text = writer.text();
        for (const char *sample : {"trefoil_request_cost_seconds{route=\"route\"",
                 "trefoil_request_cost_spread{route=\"route\"",
                 "trefoil_remaining_work_seconds{service=\"service\""}) {
            cr_assert_eq(text.find(sample) != std::string::npos, hasFactor, "%s: %s", sample, text.c_str());
        }
    }
}

// Load pattern: deployments whose upstreams report three load figures. Guards against decisions that change there because of the learned cost of
// requests or the remaining work of upstreams, and shows that the comparison sees a difference where upstreams report four figures.
Test(RequestCostUse, threeFiguresKeepTheDecisions)
{
    const Route served = route();
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto with = decisions(*host(true), served, std::nullopt, seed);
        const auto without = decisions(*host(false), served, std::nullopt, seed);
        cr_assert_eq(with.size(), without.size());
        for (std::size_t i = 0; i < with.size(); ++i) {
            cr_assert_str_eq(with[i].c_str(), without[i].c_str(), "seed %lu, decision %zu", static_cast<unsigned long>(seed), i);
        }
        cr_assert(decisions(*host(true), served, 1.0, seed) != decisions(*host(false), served, 1.0, seed));
    }
}
