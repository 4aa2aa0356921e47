#include <LibSteering/upstreamselector.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace Trefoil
{

namespace
{

/// Upstreams compared for one selection. Comparing more hardly improves it; comparing all would make its cost grow with their number.
constexpr std::size_t s_maximumCompared = 16;
/// Upstreams scanned for a free slot when none of the compared ones has one.
constexpr std::size_t s_maximumScanned = 64;
/// Attempts when other threads reserve the selected slots first.
constexpr int s_maximumAttempts = 3;
/// A request to another zone takes about 1 ms longer, compared with some 30 ms of service time.
constexpr float s_otherZoneCost = 0.03F;

std::size_t randomIndex(pcg32 &generator, std::size_t count)
{
    return static_cast<std::size_t>((std::uint64_t{generator()} * count) >> 32U);
}

float utilization(const UpstreamTracker &upstream)
{
    const auto limit = static_cast<float>(std::max(1, upstream.limit().value()));
    return static_cast<float>(upstream.slots().inFlight().value()) / limit;
}

/// Response time relative to the group's mean, raised by the requests in flight and by observed errors and shedding.
float latencyCost(const UpstreamTracker &upstream, BootTime now)
{
    const float zone = upstream.isInOwnZone() ? 0.0F : s_otherZoneCost;
    const float expected = upstream.health().relativeLatency(now) * (1.0F + utilization(upstream)) + zone;
    return expected / (upstream.weight() * upstream.health().quality(now));
}

/// Utilization of the upstream by this host and, where the report is usable, as reported. A slow upstream holds its slots for longer.
float headroomCost(const UpstreamTracker &upstream, BootTime now)
{
    constexpr float assumedLoad = 0.5F;
    const float reported = upstream.health().reportedLoad(now);
    const float load = utilization(upstream) + (reported < 0 ? assumedLoad : reported);
    return upstream.health().relativeLatency(now) * (1.0F + load) / (upstream.weight() * upstream.health().quality(now));
}

} // namespace

struct UpstreamSelector::Visitor
{
    UpstreamSelector &selector;
    const LeaseGuard &lease;
    pcg32 &generator;
    BootTime now;

    std::optional<Selection> operator()(LatencyPolicy /*policy*/) const
    {
        return selector.selectCheapest(latencyCost, lease, generator, now);
    }
    std::optional<Selection> operator()(HeadroomPolicy /*policy*/) const
    {
        return selector.selectCheapest(headroomCost, lease, generator, now);
    }
    std::optional<Selection> operator()(NearestOnlyPolicy /*policy*/) const
    {
        return selector.selectNearest(lease, now);
    }
    std::optional<Selection> operator()(RoundRobinPolicy /*policy*/) const
    {
        return selector.selectFirst(selector.m_next.fetch_add(1), lease, now);
    }
    std::optional<Selection> operator()(LeastReportedLoadPolicy /*policy*/) const
    {
        return selector.selectLeastReported(lease, now);
    }
    std::optional<Selection> operator()(TwoRandomChoicesPolicy /*policy*/) const
    {
        return selector.selectFromTwo(lease, generator, now);
    }
};

UpstreamSelector::UpstreamSelector(SelectionPolicy policy, std::vector<std::shared_ptr<UpstreamTracker>> upstreams, std::shared_ptr<UpstreamGroup> group)
    : m_policy(policy)
    , m_upstreams(std::move(upstreams))
    , m_group(std::move(group))
{
    assert(m_group);
    for (const auto &upstream : m_upstreams) {
        if (!m_group->hasTooManyEjected()) {
            break;
        }
        upstream->health().readmit();
    }
}

std::optional<Selection> UpstreamSelector::select(bool mayProbe, const LeaseGuard &lease, pcg32 &generator, BootTime now)
{
    if (m_upstreams.empty() || !lease.isValid(now)) {
        return std::nullopt;
    }
    if (usesHealth() && mayProbe && m_group->ejected() > 0) {
        if (auto probe = selectProbe(lease, now)) {
            return probe;
        }
    }
    return std::visit(Visitor{*this, lease, generator, now}, m_policy);
}

SlotCount UpstreamSelector::freeSlots() const
{
    SlotCount sum;
    for (const auto &upstream : m_upstreams) {
        sum = sum + std::max(SlotCount(0), usableSlotsOf(*upstream) - upstream->slots().inFlight());
    }
    return sum;
}

SlotCount UpstreamSelector::usableSlots() const
{
    SlotCount sum;
    for (const auto &upstream : m_upstreams) {
        sum = sum + usableSlotsOf(*upstream);
    }
    return sum;
}

bool UpstreamSelector::usesHealth() const
{
    return std::holds_alternative<LatencyPolicy>(m_policy) || std::holds_alternative<HeadroomPolicy>(m_policy);
}

SlotCount UpstreamSelector::usableSlotsOf(const UpstreamTracker &upstream) const
{
    if (upstream.isLeaving() || (usesHealth() && upstream.health().isEjected())) {
        return SlotCount(0);
    }
    return usesHealth() ? upstream.limit() : upstream.slots().granted();
}

const std::vector<std::shared_ptr<UpstreamTracker>> &UpstreamSelector::upstreams() const
{
    return m_upstreams;
}

std::optional<Selection> UpstreamSelector::selectProbe(const LeaseGuard &lease, BootTime now)
{
    // Checking one upstream per request keeps the cost constant, and finds a due probe soon enough.
    const auto &upstream = m_upstreams[m_nextProbe.fetch_add(1) % m_upstreams.size()];
    auto slot = upstream->tryReserveProbe(lease, now);
    if (!slot) {
        return std::nullopt;
    }
    return Selection{upstream, std::move(*slot), true};
}

template<typename Cost>
std::optional<Selection> UpstreamSelector::selectCheapest(Cost cost, const LeaseGuard &lease, pcg32 &generator, BootTime now)
{
    const std::size_t count = m_upstreams.size();
    for (int attempt = 0; attempt < s_maximumAttempts; ++attempt) {
        const std::size_t start = randomIndex(generator, count);
        const UpstreamTracker *best = nullptr;
        std::size_t bestIndex = 0;
        float bestCost = std::numeric_limits<float>::infinity();
        for (std::size_t i = 0; i < std::min(count, s_maximumScanned); ++i) {
            if (i >= s_maximumCompared && best) {
                break;
            }
            const std::size_t index = (start + i) % count;
            const UpstreamTracker &upstream = *m_upstreams[index];
            if (!upstream.isEligible()) {
                continue;
            }
            const float candidateCost = cost(upstream, now);
            if (!best || candidateCost < bestCost) {
                best = &upstream;
                bestIndex = index;
                bestCost = candidateCost;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        if (auto slot = m_upstreams[bestIndex]->tryReserve(lease, now)) {
            return Selection{m_upstreams[bestIndex], std::move(*slot)};
        }
    }
    return std::nullopt;
}

std::optional<Selection> UpstreamSelector::selectFirst(std::size_t start, const LeaseGuard &lease, BootTime now)
{
    for (std::size_t i = 0; i < std::min(m_upstreams.size(), s_maximumScanned); ++i) {
        if (auto selection = reserveByGrant((start + i) % m_upstreams.size(), lease, now)) {
            return selection;
        }
    }
    return std::nullopt;
}

std::optional<Selection> UpstreamSelector::selectNearest(const LeaseGuard &lease, BootTime now)
{
    for (std::size_t i = 0; i < std::min(m_upstreams.size(), s_maximumScanned); ++i) {
        if (!m_upstreams[i]->isInOwnZone()) {
            continue;
        }
        if (auto selection = reserveByGrant(i, lease, now)) {
            return selection;
        }
    }
    return selectFirst(0, lease, now);
}

std::optional<Selection> UpstreamSelector::selectLeastReported(const LeaseGuard &lease, BootTime now)
{
    std::size_t best = m_upstreams.size();
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        const UpstreamTracker &upstream = *m_upstreams[i];
        if (upstream.isLeaving() || upstream.slots().inFlight() >= upstream.slots().granted()) {
            continue;
        }
        if (best == m_upstreams.size() || upstream.health().lastReportedLoad() < m_upstreams[best]->health().lastReportedLoad()) {
            best = i;
        }
    }
    if (best == m_upstreams.size()) {
        return std::nullopt;
    }
    return reserveByGrant(best, lease, now);
}

std::optional<Selection> UpstreamSelector::selectFromTwo(const LeaseGuard &lease, pcg32 &generator, BootTime now)
{
    std::size_t first = randomIndex(generator, m_upstreams.size());
    std::size_t second = randomIndex(generator, m_upstreams.size());
    if (m_upstreams[second]->slots().inFlight() < m_upstreams[first]->slots().inFlight()) {
        std::swap(first, second);
    }
    for (const std::size_t index : {first, second}) {
        if (auto selection = reserveByGrant(index, lease, now)) {
            return selection;
        }
    }
    return selectFirst(randomIndex(generator, m_upstreams.size()), lease, now);
}

std::optional<Selection> UpstreamSelector::reserveByGrant(std::size_t index, const LeaseGuard &lease, BootTime now)
{
    auto slot = m_upstreams[index]->tryReserveByGrant(lease, now);
    if (!slot) {
        return std::nullopt;
    }
    return Selection{m_upstreams[index], std::move(*slot)};
}

} // namespace Trefoil
