#include <LibSteering/dispatchgate.h>
#include <LibSteering/regionselector.h>
#include <LibSteering/relaytargets.h>

#include <array>
#include <cmath>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <list>
#include <string>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};
constexpr unsigned s_seeds = 200;

/// Criterion copies parameters into another process, so texts are stored in place.
struct RegionCase
{
    char name[32];
    Objective objective;
    int ownFree;
    int nearFree;
    int farFree;
    int linkKilobits;
    int expectedWait;
    bool ownOpen;
    bool ownSlotFree;
    bool relayed;
    bool ownShiftFull;
    bool regionLost;
    char expected[16];
};

std::string nameOf(const RegionDecision &decision)
{
    if (const auto *here = std::get_if<ServeHere>(&decision)) {
        return here->moved ? "moved here" : "here";
    }
    if (const auto *relay = std::get_if<RelayToRegion>(&decision)) {
        return relay->region.value();
    }
    switch (std::get<NoRegion>(decision).reason) {
    case NoRegion::Reason::OwnRegionFull:
        return "full";
    case NoRegion::Reason::OwnRegionClosed:
        return "closed";
    case NoRegion::Reason::LinkFull:
        return "link";
    }
    return "";
}

/// One upstream shared by hosts whose grants move between them; its real use is counted over all hosts.
struct SharedUpstream
{
    struct Host
    {
        std::shared_ptr<UpstreamGroup> group = std::make_shared<UpstreamGroup>();
        std::shared_ptr<UpstreamSlots> slots = UpstreamSlots::create();
        std::shared_ptr<UpstreamSlots> limit = UpstreamSlots::create();
        std::unique_ptr<DispatchGate> gate;
        LeaseGuard lease;
        BootTime leaseEnd = s_start;
        std::int32_t granted = 0;
        BootTime pausedUntil = s_start;
        bool reclaimed = false;
    };

    struct Running
    {
        Dispatch dispatch;
        BootTime end;
    };
};

} // namespace

ParameterizedTestParameters(RegionSelector, decisions)
{
    constexpr auto latency = Objective::Latency;
    constexpr auto headroom = Objective::Headroom;
    static RegionCase cases[] = {
        {"own slot free", latency, 1, 10, 10, 8000, 0, true, true, false, false, false, "here"},
        {"own region full", latency, 0, 10, 10, 8000, 0, true, false, false, false, false, "near"},
        {"nearest full", latency, 0, 0, 10, 8000, 0, true, false, false, false, false, "far"},
        {"short wait", latency, 0, 10, 10, 8000, 15, true, false, false, false, false, "full"},
        {"wait above the way", latency, 0, 10, 10, 8000, 25, true, false, false, false, false, "near"},
        {"all full", latency, 0, 0, 0, 8000, 0, true, false, false, false, false, "full"},
        {"link full", latency, 0, 10, 10, 0, 0, true, false, false, false, false, "link"},
        {"shift cap of the own region", latency, 5, 10, 10, 8000, 5, true, true, false, true, false, "near"},
        {"long wait, a region lost", latency, 0, 10, 10, 8000, 100, true, false, false, false, true, "full"},
        {"very long wait, a region lost", latency, 0, 10, 10, 8000, 200, true, false, false, false, true, "near"},
        {"much used, a region lost", headroom, 1, 5, 8, 8000, 0, true, true, false, false, true, "here"},
        {"drained, a region lost", latency, 10, 10, 10, 8000, 5, false, true, false, false, true, "near"},
        {"drained", latency, 10, 10, 10, 8000, 0, false, true, false, false, false, "near"},
        {"drained, nowhere to go", latency, 10, 0, 0, 8000, 0, false, true, false, false, false, "closed"},
        {"relayed once only", latency, 0, 10, 10, 8000, 0, true, false, true, false, false, "here"},
        {"relayed to a drained region", latency, 10, 10, 10, 8000, 0, false, true, true, false, false, "closed"},
        {"little used", headroom, 7, 10, 10, 8000, 0, true, true, false, false, false, "here"},
        {"much used, far is emptier", headroom, 1, 5, 8, 8000, 0, true, true, false, false, false, "far"},
        {"much used, others alike", headroom, 3, 3, 3, 8000, 0, true, true, false, false, false, "here"},
        {"much used, link full", headroom, 1, 10, 10, 0, 0, true, true, false, false, false, "here"},
    };
    return cr_make_param_array(RegionCase, cases, std::size(cases));
}

// Guards against requests that leave their region without need, go where nothing is free, or go on for ever between regions.
ParameterizedTest(RegionCase *param, RegionSelector, decisions)
{
    const auto link = LinkBudget::create();
    link->setGranted(KilobitsPerSecond(param->linkKilobits), s_start);
    std::vector<RegionCandidate> others;
    others.push_back({RegionId("far"), 30ms, true, SlotCount(param->farFree), SlotCount(10), link, std::make_shared<RelayCounter>()});
    others.push_back({RegionId("near"), 10ms, true, SlotCount(param->nearFree), SlotCount(10), link, std::make_shared<RelayCounter>()});
    if (param->regionLost) {
        others.push_back({RegionId("lost"), 1ms, false, SlotCount(10), SlotCount(10), link, std::make_shared<RelayCounter>()});
    }
    // Several rounds of equal reports, so that the balance has settled at its largest share, every fourth request.
    const auto balance = std::make_shared<RegionBalance>();
    const OwnRegion own{RegionId("own"), param->ownOpen, SlotCount(param->ownFree), SlotCount(10)};
    for (int round = 0; round < 20; ++round) {
        RegionSelector(param->objective, own, others, balance);
    }
    const RegionSelector selector(param->objective, own, others, balance);
    const RegionQuestion question{RegionId("own"), param->relayed, param->ownSlotFree, param->ownShiftFull, Milliseconds(param->expectedWait), Bytes(100)};
    for (int i = 0; i < 3; ++i) {
        selector.decide(question, s_start + 1s);
    }
    const std::string decided = nameOf(selector.decide(question, s_start + 2s));
    cr_assert_eq(decided, std::string(param->expected), "%s: %s", param->name, decided.c_str());
}

// Guards against more open relays than free slots were reported, and against a limit on relays that ended: a slot serves many
// requests between two heartbeats. Before ended relays were released, a drained region refused 18% of all requests below its shift cap.
Test(RegionSelector, openRelaysCountAgainstReportedSlots)
{
    const auto link = LinkBudget::create();
    link->setGranted(KilobitsPerSecond(8000), s_start);
    const auto relays = std::make_shared<RelayCounter>();
    const auto selector = [&] {
        return RegionSelector(Objective::Latency,
            {RegionId("own"), true, SlotCount(0), SlotCount(10)},
            {{RegionId("near"), 10ms, true, SlotCount(3), SlotCount(10), link, relays}},
            std::make_shared<RegionBalance>());
    };
    const RegionQuestion question{RegionId("own"), false, false, false, 0ms, Bytes(10)};
    const auto first = selector();
    std::list<RegionDecision> open;
    for (int i = 0; i < 5; ++i) {
        open.push_back(first.decide(question, s_start + 1s));
        cr_assert_eq(nameOf(open.back()), std::string(i < 3 ? "near" : "full"));
    }
    open.pop_front();
    cr_assert_eq(nameOf(first.decide(question, s_start + 1s)), std::string("near"));
    // The next report already shows the two that are still open.
    const auto second = selector();
    for (int i = 0; i < 5; ++i) {
        open.push_back(second.decide(question, s_start + 2s));
        cr_assert_eq(nameOf(open.back()), std::string(i < 3 ? "near" : "full"));
    }
}

// Guards against hosts that all move their requests at one report and back at the next: the used shares of two regions, of which one
// has nearly twice the demand and reports lag by a round, must meet and then stay together.
Test(RegionBalance, sharesMeetWithoutOscillation)
{
    RegionBalance balance;
    double reportedHot = 0.7;
    double reportedCold = 0.4;
    for (int round = 0; round < 60; ++round) {
        const double moved = 0.7 * balance.share();
        balance.update(reportedHot, reportedCold);
        reportedHot = 0.7 - moved;
        reportedCold = 0.4 + moved;
        cr_assert(round < 30 || std::abs(reportedHot - reportedCold) < 0.1, "round %d: %.2f and %.2f", round, reportedHot, reportedCold);
    }
    int moves = 0;
    for (int i = 0; i < 1000; ++i) {
        moves += balance.movesNext() ? 1 : 0;
    }
    cr_assert_float_eq(moves / 1000.0, balance.share(), 0.002);
    for (int round = 0; round < 60; ++round) {
        balance.update(0.2, 0.1);
    }
    cr_assert_lt(balance.share(), 0.001);
}

// Guards against relays to hosts without free slots and against a choice that always falls on one host.
Test(RelayTargets, drawnInProportionToFreeSlots)
{
    std::vector<RelayCandidate> targets;
    for (const int free : {0, 2, 4, -1}) {
        targets.push_back({SlotCount(free), std::make_shared<RelayCounter>()});
    }
    const RelayTargets relayTargets(targets);
    pcg32 generator(3);
    std::array<int, 4> chosen{};
    for (int i = 0; i < 600; ++i) {
        ++chosen[relayTargets.choose(generator)->index];
    }
    cr_assert(chosen[0] == 0 && chosen[3] == 0 && chosen[1] > 150 && chosen[1] < 250);
    std::list<ChosenTarget> open;
    for (int i = 0; i < 6; ++i) {
        open.push_back(std::move(*relayTargets.choose(generator)));
    }
    cr_assert_not(relayTargets.choose(generator).has_value());
    cr_assert_not(relayTargets.hasFreeSlot());
}

// Guards against more requests at an upstream than it has slots, more in a region than its limit allows, and dispatches under an expired lease,
// counted over all hosts, while grants move, hosts pause, and grants of silent hosts are reclaimed.
Test(DispatchGate, slotsRegionLimitAndLeaseHoldOverAllHosts)
{
    constexpr auto leaseTime = 3s;
    constexpr auto reclaimAfter = 5s;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        const auto slots = static_cast<std::int32_t>(1 + generator(8));
        const auto limitPercent = static_cast<std::int32_t>(40 + generator(61));
        std::int32_t rest = slots;
        std::vector<std::unique_ptr<SharedUpstream::Host>> hosts;
        for (int i = 0; i < 4; ++i) {
            auto host = std::make_unique<SharedUpstream::Host>();
            host->group->setUpstreamCount(1);
            auto tracker = std::make_shared<UpstreamTracker>(UpstreamId("u"), true, host->slots, host->group);
            for (int warm = 0; warm < 64; ++warm) {
                tracker->record(UpstreamOutcome::Success, 1ms, s_start);
            }
            auto selector = std::make_shared<UpstreamSelector>(LatencyPolicy{}, std::vector{tracker}, host->group);
            host->gate = std::make_unique<DispatchGate>(host->limit, std::make_shared<ShiftWindow>(1s), selector);
            hosts.push_back(std::move(host));
        }
        const auto apply = [&](SharedUpstream::Host &host, std::int32_t granted) {
            host.granted = granted;
            host.slots->setGranted(SlotCount(granted));
            host.limit->setGranted(DispatchGate::regionLimitGrant(SlotCount(granted), limitPercent));
        };
        std::list<SharedUpstream::Running> running;
        std::size_t dispatched = 0;
        BootTime now = s_start;
        for (int event = 0; event < 4000; ++event) {
            now += std::chrono::milliseconds(generator(20));
            // Requests end in any order, within the 2 s that lie between the end of a lease and a reclaim.
            for (auto it = running.begin(); it != running.end();) {
                it = it->end <= now ? running.erase(it) : std::next(it);
            }
            SharedUpstream::Host &host = *hosts[generator(4)];
            if (now - host.leaseEnd > reclaimAfter - leaseTime && !host.reclaimed) {
                // The table gives the grant away; the paused host does not know.
                rest += host.granted;
                host.reclaimed = true;
            }
            if (now < host.pausedUntil) {
                continue;
            }
            const std::uint32_t action = generator(300);
            if (action == 0) {
                host.pausedUntil = now + std::chrono::milliseconds(generator(12000));
                continue;
            }
            if (action < 20 && host.reclaimed) {
                apply(host, 0);
                host.reclaimed = false;
                host.leaseEnd = now + leaseTime;
                host.lease.extend(host.leaseEnd);
            } else if (action < 60 && !host.reclaimed) {
                host.leaseEnd = now + leaseTime;
                host.lease.extend(host.leaseEnd);
            } else if (action < 80 && !host.reclaimed) {
                apply(host, host.granted + rest);
                rest = 0;
            } else if (action < 100 && !host.reclaimed) {
                const std::int32_t lowered = host.granted / 2;
                const std::int32_t surplus = host.granted - lowered;
                host.slots->setGranted(SlotCount(lowered));
                host.limit->setGranted(DispatchGate::regionLimitGrant(SlotCount(lowered), limitPercent));
                if (host.slots->inFlight().value() <= lowered && host.limit->inFlight() <= host.limit->granted()) {
                    rest += surplus;
                    host.granted = lowered;
                } else {
                    apply(host, host.granted);
                }
            }
            auto decision = host.gate->tryDispatch(false, true, host.lease, generator, now);
            auto *dispatch = std::get_if<Dispatch>(&decision);
            if (!dispatch) {
                continue;
            }
            ++dispatched;
            running.push_back({std::move(*dispatch), now + std::chrono::milliseconds(generator(1900))});
            cr_assert_lt(now.time_since_epoch().count(), host.leaseEnd.time_since_epoch().count(), "seed %u event %d: lease", seed, event);
            const auto inFlight = static_cast<std::int32_t>(running.size());
            cr_assert_leq(inFlight, slots, "seed %u event %d: slots", seed, event);
            cr_assert_leq(inFlight * 100, slots * limitPercent, "seed %u event %d: region limit", seed, event);
        }
        const bool canDispatch = slots * limitPercent >= 100;
        cr_assert(!canDispatch || dispatched > 0, "seed %u: nothing was dispatched", seed);
    }
}

// Guards against a moved request that passes without a place in the shift window, and against a refusal that spends a slot or a place.
Test(DispatchGate, movedRequestsNeedThePlaceAndRefusalsSpendNothing)
{
    auto group = std::make_shared<UpstreamGroup>();
    group->setUpstreamCount(1);
    auto slots = UpstreamSlots::create();
    slots->setGranted(SlotCount(1));
    auto limit = UpstreamSlots::create();
    limit->setGranted(SlotCount(1));
    auto tracker = std::make_shared<UpstreamTracker>(UpstreamId("u"), true, slots, group);
    auto window = std::make_shared<ShiftWindow>(1s);
    DispatchGate gate(limit, window, std::make_shared<UpstreamSelector>(LatencyPolicy{}, std::vector{tracker}, group));
    LeaseGuard lease;
    lease.extend(s_start + 1h);
    pcg32 generator(1);
    const auto refusal = [&](bool moved, BootTime now) {
        const auto decision = gate.tryDispatch(moved, true, lease, generator, now);
        const auto *refused = std::get_if<DispatchRefusal>(&decision);
        return refused ? static_cast<int>(*refused) : -1;
    };
    cr_assert_eq(refusal(true, s_start), static_cast<int>(DispatchRefusal::ShiftCap));
    cr_assert_eq(slots->inFlight().value(), 0);
    cr_assert_eq(limit->inFlight().value(), 0);
    window->setGranted(RequestCount(1), s_start);
    {
        const auto running = gate.tryDispatch(false, true, lease, generator, s_start + 2s);
        cr_assert(std::holds_alternative<Dispatch>(running));
        cr_assert_eq(refusal(true, s_start + 2s), static_cast<int>(DispatchRefusal::RegionLimit));
        limit->setGranted(SlotCount(2));
        cr_assert_eq(refusal(true, s_start + 2s), static_cast<int>(DispatchRefusal::NoFreeSlot));
    }
    cr_assert_eq(refusal(true, s_start + 2s), -1);
    cr_assert_eq(refusal(true, s_start + 2s), static_cast<int>(DispatchRefusal::ShiftCap));
}
