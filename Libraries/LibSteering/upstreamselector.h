#pragma once

#include <LibSteering/selectionpolicy.h>
#include <LibSteering/upstreamtracker.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace Trefoil
{

/// A chosen upstream with the slot that was reserved on it.
struct Selection
{
    std::shared_ptr<UpstreamTracker> upstream;
    SlotReservation slot;
    /// The request is the single probe of an ejected upstream.
    bool probe = false;
};

/// Chooses among the upstreams of one service in the own region on which this host holds a grant. The list is fixed: a change
/// of grants or configuration makes a new selector over the same trackers. The cost does not grow with the number of upstreams,
/// except for the policy of least reported load.
class UpstreamSelector
{
public:
    /// Preconditions: no tracker is null; all trackers share group. Ejections beyond half of the group are taken back.
    UpstreamSelector(SelectionPolicy policy, std::vector<std::shared_ptr<UpstreamTracker>> upstreams, std::shared_ptr<UpstreamGroup> group);

    /// Reserves a slot of the upstream that the policy prefers; nothing when no upstream is eligible or the lease has expired.
    /// Preconditions: now was read after every wait of the request; mayProbe is true only for a request that may repeat.
    /// Thread safety: safe from any thread with a generator of its own; lock-free.
    std::optional<Selection> select(bool mayProbe, const LeaseGuard &lease, pcg32 &generator, BootTime now);

    /// Slots that select() could still reserve, for heartbeats and for the choice between queueing and relaying. Slots of leaving upstreams do
    /// not count, nor, for the product's policies, those of ejected upstreams or beyond a cold-start ramp: a host that counted them
    /// would draw relays it cannot serve. Looks at every upstream, so it is not for every request.
    /// Precondition: none. Thread safety: safe from any thread.
    SlotCount freeSlots() const;

    /// As freeSlots(), with the slots in use. Precondition: none. Thread safety: safe from any thread.
    SlotCount usableSlots() const;

    /// Precondition: none. Thread safety: safe from any thread.
    const std::vector<std::shared_ptr<UpstreamTracker>> &upstreams() const;

private:
    struct Visitor;

    bool usesHealth() const;
    SlotCount usableSlotsOf(const UpstreamTracker &upstream) const;
    std::optional<Selection> selectProbe(const LeaseGuard &lease, BootTime now);
    template<typename Cost>
    std::optional<Selection> selectCheapest(Cost cost, const LeaseGuard &lease, pcg32 &generator, BootTime now);
    std::optional<Selection> selectFirst(std::size_t start, const LeaseGuard &lease, BootTime now);
    std::optional<Selection> selectNearest(const LeaseGuard &lease, BootTime now);
    std::optional<Selection> selectLeastReported(const LeaseGuard &lease, BootTime now);
    std::optional<Selection> selectFromTwo(const LeaseGuard &lease, pcg32 &generator, BootTime now);
    std::optional<Selection> reserveByGrant(std::size_t index, const LeaseGuard &lease, BootTime now);

    SelectionPolicy m_policy;
    std::vector<std::shared_ptr<UpstreamTracker>> m_upstreams;
    std::shared_ptr<UpstreamGroup> m_group;
    std::atomic<std::uint32_t> m_next{0};
    std::atomic<std::uint32_t> m_nextProbe{0};
};

} // namespace Trefoil
