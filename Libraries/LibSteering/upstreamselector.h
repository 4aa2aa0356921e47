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

/// A selected upstream with the slot that was reserved on it.
struct Selection
{
    std::shared_ptr<UpstreamTracker> upstream;
    SlotReservation slot;
    /// The request is the single probe of an ejected upstream.
    bool probe = false;
};

/// Selects among the upstreams of one service in this host's region on which the host holds a grant. The list is fixed: a change of grants or
/// configuration creates a new selector over the same trackers. The cost does not grow with the number of upstreams, except for the policy of least
/// reported load.
class UpstreamSelector
{
public:
    /// Readmits upstreams until at most half of the group is ejected. Preconditions: no tracker is null; all trackers share group.
    UpstreamSelector(SelectionPolicy policy, std::vector<std::shared_ptr<UpstreamTracker>> upstreams, std::shared_ptr<UpstreamGroup> group);

    /// Reserves a slot of the upstream that the policy prefers; nothing when none of the scanned upstreams is eligible, when other
    /// threads reserve the selected slots first, or when the lease has expired.
    /// Preconditions: now was read after the request's last wait; mayProbe is true only for a request that may be repeated.
    /// Thread safety: safe from any thread with a generator of its own; lock-free.
    std::optional<Selection> select(bool mayProbe, const LeaseGuard &lease, pcg32 &generator, BootTime now);

    /// Slots that select() could still reserve, for heartbeats and for the choice between queueing and relaying. Slots of leaving upstreams are not
    /// counted, nor, for the policies that use health, those of ejected upstreams or beyond a cold-start ramp: a host that counted them would attract
    /// relays that it cannot serve. Iterates over all upstreams, so it is not meant for every request.
    /// Precondition: none. Thread safety: safe from any thread.
    SlotCount freeSlots() const;

    /// Like freeSlots(), but includes the slots in use. Precondition: none. Thread safety: safe from any thread.
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
