#include <LibSteering/dispatchgate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <deque>
#include <map>
#include <string>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};
constexpr unsigned s_seeds = 100;

/// Upstreams of one region with the state that one host keeps of them.
struct Region
{
    std::shared_ptr<UpstreamGroup> group = std::make_shared<UpstreamGroup>();
    std::vector<std::shared_ptr<UpstreamTracker>> upstreams;
    LeaseGuard lease;

    Region(int count, int granted)
    {
        group->setUpstreamCount(count);
        for (int i = 0; i < count; ++i) {
            auto slots = UpstreamSlots::create();
            slots->setGranted(SlotCount(granted));
            upstreams.push_back(std::make_shared<UpstreamTracker>(UpstreamId(std::to_string(i)), i % 2 == 0, slots, group));
        }
        lease.extend(s_start + 1h);
    }

    std::shared_ptr<UpstreamSelector> selector(SelectionPolicy policy) const
    {
        return std::make_shared<UpstreamSelector>(policy, upstreams, group);
    }
};

const std::vector<SelectionPolicy> s_policies{
    LatencyPolicy{}, HeadroomPolicy{}, NearestOnlyPolicy{}, RoundRobinPolicy{}, LeastReportedLoadPolicy{}, TwoRandomChoicesPolicy{}};

} // namespace

// Guards against a host that ejects most of a region on its own observations, against a second concurrent probe, and against a count of ejections
// that drifts from the ejected upstreams, while outcomes, idle periods and changes of the group occur in any order.
Test(UpstreamHealth, atMostHalfEjectedAndSingleProbes)
{
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        const int count = 1 + static_cast<int>(generator(14));
        Region region(count, 3);
        auto selector = region.selector(LatencyPolicy{});
        BootTime now = s_start;
        std::deque<Selection> open;
        std::uint32_t failing = generator();
        for (int event = 0; event < 3000; ++event) {
            now += std::chrono::milliseconds(generator(500) == 0 ? 15000 : generator(100));
            if (generator(300) == 0) {
                failing = generator();
            }
            if (auto selection = selector->select(true, region.lease, generator, now)) {
                open.push_back(std::move(*selection));
            }
            if (open.size() > 4 || (!open.empty() && generator(3) == 0)) {
                const Selection done = std::move(open.front());
                open.pop_front();
                const bool fails = (failing >> static_cast<unsigned>(std::stoi(done.upstream->id().value()))) & 1U;
                done.upstream->record(fails ? UpstreamOutcome::Error : UpstreamOutcome::Success, 5ms, now);
            }
            int ejected = 0;
            for (const auto &upstream : region.upstreams) {
                ejected += upstream->health().isEjected() ? 1 : 0;
            }
            cr_assert_eq(ejected, region.group->ejected(), "seed %u event %d", seed, event);
            cr_assert_leq(ejected * 2, count, "seed %u event %d: %d of %d ejected", seed, event, ejected, count);
            std::map<const UpstreamTracker *, int> probes;
            for (const auto &selection : open) {
                cr_assert_leq(selection.probe ? ++probes[selection.upstream.get()] : 0, 1, "seed %u event %d", seed, event);
            }
        }
    }
}

// Guards against a group that shrinks, for example by a drain, and keeps more than half of the remaining upstreams ejected.
Test(UpstreamHealth, smallerGroupReadmitsUpstreams)
{
    Region region(8, 1);
    for (const auto &upstream : region.upstreams) {
        for (int i = 0; i < 5; ++i) {
            upstream->record(UpstreamOutcome::Error, 5ms, s_start);
        }
    }
    cr_assert_eq(region.group->ejected(), 4);
    region.group->setUpstreamCount(4);
    region.upstreams.resize(4);
    region.selector(LatencyPolicy{});
    cr_assert_eq(region.group->ejected(), 2);
}

// Guards against an upstream that attracts requests by failing quickly.
Test(UpstreamHealth, fastErrorsReduceWeight)
{
    Region region(2, 100);
    for (const auto &upstream : region.upstreams) {
        for (int i = 0; i < 200; ++i) {
            upstream->record(UpstreamOutcome::Success, 30ms, s_start);
        }
    }
    for (int i = 0; i < 4; ++i) {
        region.upstreams[0]->record(UpstreamOutcome::Error, 1ms, s_start);
    }
    auto selector = region.selector(LatencyPolicy{});
    pcg32 generator(1);
    int bad = 0;
    for (int i = 0; i < 100; ++i) {
        bad += selector->select(false, region.lease, generator, s_start)->upstream == region.upstreams[0] ? 1 : 0;
    }
    cr_assert_eq(bad, 0);
    cr_assert_not(region.upstreams[0]->health().isEjected());
}

// Guards against old measurements that keep their weight: weights return to the configured ones, neither before 10 s nor all at once, while ejections
// last until a probe succeeds.
Test(UpstreamHealth, oldMeasurementsLoseWeight)
{
    Region region(4, 1);
    UpstreamTracker &bad = *region.upstreams[0];
    region.upstreams[1]->record(UpstreamOutcome::Success, 10ms, s_start);
    bad.record(UpstreamOutcome::Success, 100ms, s_start);
    bad.record(UpstreamOutcome::Error, 1ms, s_start);
    bad.health().recordReport(0.9F, s_start);
    const float quality = bad.health().quality(s_start);
    cr_assert_lt(quality, 0.9F);
    cr_assert_gt(bad.health().relativeLatency(s_start), 5.0F);
    cr_assert_float_eq(bad.health().quality(s_start + 10s), quality, 1e-4);
    cr_assert_gt(bad.health().quality(s_start + 15s), quality);
    cr_assert_lt(bad.health().quality(s_start + 15s), 1.0F);
    cr_assert_float_eq(bad.health().quality(s_start + 20s), 1.0F, 1e-4);
    cr_assert_float_eq(bad.health().relativeLatency(s_start + 20s), 1.0F, 1e-4);
    cr_assert_lt(bad.health().reportedLoad(s_start + 11s), 0.0F);
    for (int i = 0; i < 5; ++i) {
        bad.record(UpstreamOutcome::ConnectFailed, 1ms, s_start);
    }
    cr_assert(bad.health().isEjected());
    cr_assert(bad.health().isEjected() && !bad.isEligible());
    cr_assert(bad.health().tryBeginProbe(s_start + 100s));
    cr_assert_not(bad.health().tryBeginProbe(s_start + 110s));
    bad.record(UpstreamOutcome::Success, 10ms, s_start + 110s);
    cr_assert(bad.isEligible());
}

// Guards against a report that overrides what this host observes itself.
Test(UpstreamHealth, observedSheddingOverridesReports)
{
    Region region(2, 10);
    UpstreamTracker &misreporting = *region.upstreams[0];
    misreporting.health().recordReport(0.0F, s_start);
    cr_assert_float_eq(misreporting.health().reportedLoad(s_start), 0.0F, 1e-6);
    misreporting.record(UpstreamOutcome::Shed, 1ms, s_start);
    cr_assert_lt(misreporting.health().reportedLoad(s_start), 0.0F);
}

// Guards against a cold upstream that receives its full share before it has responded.
Test(ColdStartRamp, doublesAfterFullRounds)
{
    Region region(1, 8);
    UpstreamTracker &upstream = *region.upstreams[0];
    for (const int expected : {1, 2, 4, 8, 8}) {
        cr_assert_eq(upstream.limit().value(), expected);
        for (int i = 0; i < expected; ++i) {
            cr_assert_eq(upstream.limit().value(), expected);
            upstream.record(UpstreamOutcome::Success, 1ms, s_start);
        }
    }
    upstream.recordRestart();
    cr_assert_eq(upstream.limit().value(), 1);
    upstream.record(UpstreamOutcome::Success, 1ms, s_start);
    upstream.record(UpstreamOutcome::Success, 1ms, s_start);
    upstream.record(UpstreamOutcome::Timeout, 1ms, s_start);
    upstream.record(UpstreamOutcome::Success, 1ms, s_start);
    cr_assert_eq(upstream.limit().value(), 2);
}

// Guards, for every policy, against new requests to a leaving upstream and against requests beyond grant, ramp or lease.
Test(UpstreamSelector, allPoliciesRespectTheLimits)
{
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        for (std::size_t policy = 0; policy < s_policies.size(); ++policy) {
            pcg32 generator(seed);
            Region region(1 + static_cast<int>(generator(40)), 2);
            auto selector = region.selector(s_policies[policy]);
            BootTime now = s_start;
            BootTime leaseEnd = s_start + 3s;
            LeaseGuard lease;
            lease.extend(leaseEnd);
            std::deque<Selection> open;
            std::map<const UpstreamTracker *, int> successes;
            for (int event = 0; event < 600; ++event) {
                now += std::chrono::milliseconds(generator(20));
                const auto &some = region.upstreams[generator(static_cast<std::uint32_t>(region.upstreams.size()))];
                if (generator(10) == 0) {
                    some->setLeaving(!some->isLeaving());
                }
                if (generator(60) == 0) {
                    now += 4s;
                } else if (generator(20) == 0) {
                    leaseEnd = now + 3s;
                    lease.extend(leaseEnd);
                }
                auto selection = selector->select(true, lease, generator, now);
                if (selection) {
                    cr_assert_not(selection->upstream->isLeaving(), "seed %u policy %zu: leaving", seed, policy);
                    cr_assert_lt(now.time_since_epoch().count(), leaseEnd.time_since_epoch().count(), "seed %u policy %zu: lease", seed, policy);
                    cr_assert_leq(selection->upstream->slots().inFlight().value(), 2, "seed %u policy %zu: grant", seed, policy);
                    const bool cold = policy < 2 && successes[selection->upstream.get()] == 0;
                    cr_assert(!cold || selection->upstream->slots().inFlight().value() == 1, "seed %u policy %zu: ramp", seed, policy);
                    open.push_back(std::move(*selection));
                }
                if (open.size() > 10 || (!open.empty() && generator(2) == 0)) {
                    UpstreamTracker &done = *open.front().upstream;
                    const bool fails = std::stoi(done.id().value()) % 3 == 0 ? generator(8) != 0 : generator(8) == 0;
                    done.record(fails ? UpstreamOutcome::Error : UpstreamOutcome::Success, 20ms, now);
                    successes[&done] += fails ? 0 : 1;
                    open.pop_front();
                }
            }
        }
    }
}

// Guards against policies that all select the same upstream, and against free slots that a policy does not find.
Test(UpstreamSelector, policiesSelectAsDocumented)
{
    Region region(4, 1);
    pcg32 generator(7);
    region.upstreams[2]->health().recordReport(0.1F, s_start);
    for (const int other : {0, 1, 3}) {
        region.upstreams[static_cast<std::size_t>(other)]->health().recordReport(0.5F, s_start);
    }
    const auto first = [&](SelectionPolicy policy) { return region.selector(policy)->select(false, region.lease, generator, s_start)->upstream->id().value(); };
    cr_assert_eq(first(NearestOnlyPolicy{}), "0");
    cr_assert_eq(first(RoundRobinPolicy{}), "0");
    cr_assert_eq(first(LeastReportedLoadPolicy{}), "2");
    cr_assert_eq(first(HeadroomPolicy{}), "2");
    for (const auto &policy : s_policies) {
        auto selector = region.selector(policy);
        std::vector<Selection> open;
        for (int i = 0; i < 4; ++i) {
            auto selection = selector->select(false, region.lease, generator, s_start);
            cr_assert(selection.has_value(), "policy %zu found %d of 4 slots", policy.index(), i);
            open.push_back(std::move(*selection));
        }
        cr_assert_not(selector->select(false, region.lease, generator, s_start).has_value());
    }
}

// Guards against a host that reports the slots of ejected, leaving or cold upstreams as free, and so attracts relays that wait there: when a zone
// failed, twice as many requests were rejected as with policies that do not eject.
Test(UpstreamSelector, freeSlotsAreThoseThatCanBeReserved)
{
    for (const auto &policy : s_policies) {
        Region region(4, 2);
        region.upstreams[0]->setLeaving(true);
        region.upstreams[1]->record(UpstreamOutcome::ConnectFailed, 1ms, s_start);
        region.upstreams[2]->record(UpstreamOutcome::Success, 1ms, s_start);
        auto selector = region.selector(policy);
        pcg32 generator(1);
        const int usable = selector->usableSlots().value();
        cr_assert_eq(usable, policy.index() < 2 ? 3 : 6);
        std::deque<Selection> open;
        while (auto selection = selector->select(false, region.lease, generator, s_start)) {
            open.push_back(std::move(*selection));
            cr_assert_eq(selector->freeSlots().value(), usable - static_cast<int>(open.size()), "policy %zu", policy.index());
        }
        cr_assert_eq(selector->freeSlots().value(), 0, "policy %zu", policy.index());
    }
}
