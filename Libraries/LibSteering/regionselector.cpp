#include <LibSteering/regionselector.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil {

namespace {

/// A region that is used less than this keeps its requests; moving them would only cost latency and cold caches.
constexpr double s_moveAboveUsed = 0.7;
/// Another region must be emptier by this much, otherwise lagging reports would move requests back and forth.
constexpr double s_leastDifference = 0.2;

double usedShare(SlotCount freeSlots, SlotCount slots)
{
    if (slots.value() <= 0) {
        return 1.0;
    }
    return 1.0 - static_cast<double>(freeSlots.value()) / static_cast<double>(slots.value());
}

} // namespace

RegionSelector::RegionSelector(Objective objective, OwnRegion own, std::vector<RegionCandidate> others)
    : m_objective(objective)
    , m_own(std::move(own))
{
    const auto before = [objective](const RegionCandidate &a, const RegionCandidate &b) {
        if (objective == Objective::Headroom) {
            return usedShare(a.freeSlots, a.slots) < usedShare(b.freeSlots, b.slots);
        }
        return a.delay < b.delay;
    };
    std::stable_sort(others.begin(), others.end(), before);
    for (auto &other : others) {
        assert(other.link && other.relays);
        const ReportedSlots slots(other.freeSlots.value(), other.relays);
        m_others.push_back(Candidate {std::move(other), slots});
    }
}

RegionDecision RegionSelector::decide(const RegionQuestion &question, BootTime now) const
{
    const ServeHere here {question.home != m_own.id};
    if (!m_own.open && question.relayed) {
        return NoRegion {NoRegion::Reason::OwnRegionClosed};
    }
    if (question.relayed) {
        return here;
    }
    bool linkWasFull = false;
    if (m_own.open && question.ownSlotFree) {
        const double used = usedShare(m_own.freeSlots, m_own.slots);
        if (m_objective == Objective::Headroom && !here.moved && used >= s_moveAboveUsed) {
            if (auto relay = tryRelay(question, used - s_leastDifference, linkWasFull, now)) {
                return std::move(*relay);
            }
        }
        return here;
    }
    if (auto relay = tryRelay(question, 1.0, linkWasFull, now)) {
        return std::move(*relay);
    }
    if (linkWasFull) {
        return NoRegion {NoRegion::Reason::LinkFull};
    }
    return NoRegion {m_own.open ? NoRegion::Reason::OwnRegionFull : NoRegion::Reason::OwnRegionClosed};
}

std::optional<RelayToRegion> RegionSelector::tryRelay(const RegionQuestion &question, double usedBelow, bool &linkWasFull, BootTime now) const
{
    for (const auto &candidate : m_others) {
        const RegionCandidate &region = candidate.region;
        const std::int32_t free = candidate.slots.free();
        if (!region.open || free <= 0 || usedShare(SlotCount(free), region.slots) >= usedBelow) {
            continue;
        }
        const bool waitIsShorter = question.expectedWait.count() > 0 && question.expectedWait < 2 * region.delay;
        if (m_objective == Objective::Latency && m_own.open && waitIsShorter) {
            continue;
        }
        auto link = region.link->tryReserve(question.estimate, now);
        if (!link) {
            linkWasFull = true;
            continue;
        }
        return RelayToRegion {region.id, std::move(*link), candidate.slots.begin()};
    }
    return std::nullopt;
}

} // namespace Trefoil
