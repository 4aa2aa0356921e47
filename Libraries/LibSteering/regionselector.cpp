#include <LibSteering/regionselector.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

namespace
{

/// Regions that were passed over are kept as bits of one word.
constexpr std::size_t s_mostRegions = 64;
/// Balancing does not move requests into a region that is used more than this: it has to keep room for forced moves.
constexpr double s_balanceBelowUsed = 0.75;
/// While a region is closed, a request waits this many times the way to another region before it leaves its own.
constexpr int s_waitsWhileClosed = 8;

double usedShare(SlotCount freeSlots, SlotCount slots)
{
    if (slots.value() <= 0) {
        return 1.0;
    }
    return 1.0 - static_cast<double>(freeSlots.value()) / static_cast<double>(slots.value());
}

} // namespace

RegionSelector::RegionSelector(Objective objective, OwnRegion own, std::vector<RegionCandidate> others, std::shared_ptr<RegionBalance> balance)
    : m_objective(objective)
    , m_own(std::move(own))
    , m_balance(std::move(balance))
{
    assert(m_balance && others.size() <= s_mostRegions);
    double emptiest = 1.0;
    for (auto &other : others) {
        assert(other.link && other.relays);
        m_regionClosed = m_regionClosed || !other.open;
        emptiest = std::min(emptiest, usedShare(other.freeSlots, other.slots));
        const ReportedSlots slots(other.freeSlots.value(), other.relays);
        m_others.push_back(Candidate{std::move(other), slots});
    }
    if (m_objective == Objective::Headroom) {
        m_balance->update(usedShare(m_own.freeSlots, m_own.slots), m_regionClosed ? 1.0 : emptiest);
    }
}

RegionDecision RegionSelector::decide(const RegionQuestion &question, BootTime now) const
{
    const ServeHere here{question.home != m_own.id};
    if (!m_own.open && question.relayed) {
        return NoRegion{NoRegion::Reason::OwnRegionClosed};
    }
    if (question.relayed) {
        return here;
    }
    bool linkWasFull = false;
    if (m_own.open && question.ownSlotFree && !question.ownShiftFull) {
        if (m_objective == Objective::Headroom && !here.moved && m_balance->movesNext()) {
            const double used = usedShare(m_own.freeSlots, m_own.slots);
            if (auto relay = tryRelay(question, std::min(used, s_balanceBelowUsed), linkWasFull, now)) {
                return std::move(*relay);
            }
        }
        return here;
    }
    if (auto relay = tryRelay(question, 1.0, linkWasFull, now)) {
        return std::move(*relay);
    }
    if (linkWasFull) {
        return NoRegion{NoRegion::Reason::LinkFull};
    }
    return NoRegion{m_own.open ? NoRegion::Reason::OwnRegionFull : NoRegion::Reason::OwnRegionClosed};
}

std::optional<RelayToRegion> RegionSelector::tryRelay(const RegionQuestion &question, double usedBelow, bool &linkWasFull, BootTime now) const
{
    // A region whose link is full is passed over, so there are at most as many rounds as regions.
    std::uint64_t passedOver = 0;
    for (std::size_t round = 0; round < m_others.size(); ++round) {
        std::size_t best = m_others.size();
        for (std::size_t i = 0; i < m_others.size(); ++i) {
            const bool usable = (passedOver >> i & 1U) == 0 && isUsable(m_others[i], question, usedBelow);
            if (usable && (best == m_others.size() || isBetter(m_others[i], m_others[best]))) {
                best = i;
            }
        }
        if (best == m_others.size()) {
            return std::nullopt;
        }
        if (auto link = m_others[best].region.link->tryReserve(question.estimate, now)) {
            return RelayToRegion{m_others[best].region.id, std::move(*link), m_others[best].slots.begin()};
        }
        linkWasFull = true;
        passedOver |= std::uint64_t{1} << best;
    }
    return std::nullopt;
}

bool RegionSelector::isUsable(const Candidate &candidate, const RegionQuestion &question, double usedBelow) const
{
    const RegionCandidate &region = candidate.region;
    const std::int32_t free = candidate.slots.free();
    if (!region.open || free <= 0 || usedShare(SlotCount(free), region.slots) >= usedBelow) {
        return false;
    }
    const auto bearable = 2 * region.delay * (m_regionClosed ? s_waitsWhileClosed : 1);
    return !m_own.open || question.ownShiftFull || question.ownSlotFree || question.expectedWait.count() == 0 || question.expectedWait > bearable;
}

bool RegionSelector::isBetter(const Candidate &a, const Candidate &b) const
{
    if (m_objective == Objective::Latency && a.region.delay != b.region.delay) {
        return a.region.delay < b.region.delay;
    }
    return usedShare(SlotCount(a.slots.free()), a.region.slots) < usedShare(SlotCount(b.slots.free()), b.region.slots);
}

} // namespace Trefoil
