#pragma once

#include <LibSteering/shiftwindow.h>
#include <LibSteering/upstreamselector.h>

#include <memory>
#include <variant>

namespace Trefoil
{

/// A request that may be sent now, with the upstream and the slots that were reserved for it.
struct Dispatch
{
    Selection selection;
    SlotReservation regionSlot;
};

/// Why a request may not be sent now. A rejected request has consumed no slot and no permit.
enum class DispatchRejection {
    LeaseExpired,
    RegionLimit,
    NoFreeSlot,
    ShiftCap,
};

using DispatchDecision = std::variant<Dispatch, DispatchRejection>;

/// The last check before a request is sent to an upstream of this host's region. It checks the lease, the region limit, the upstream's slots and, for
/// a request whose home is another region, the shift window, in an order in which a rejection consumes nothing.
class DispatchGate
{
public:
    /// Preconditions: no pointer is null; the grant of regionLimit is this host's share of the region limit, see regionLimitGrant().
    DispatchGate(std::shared_ptr<UpstreamSlots> regionLimit, std::shared_ptr<ShiftWindow> shiftWindow, std::shared_ptr<UpstreamSelector> selector);

    /// Reserves the slots for a request, or returns why it may not be sent. moved is true for a request whose home is another region.
    /// Preconditions: now was read after the request's last wait; mayRepeat is false for a request that runs at most once.
    /// Thread safety: safe from any thread with a generator of its own; lock-free.
    DispatchDecision tryDispatch(bool moved, bool mayRepeat, const LeaseGuard &lease, pcg32 &generator, BootTime now);

    /// A host's share of a region limit in percent: that percentage of the slots granted to it, rounded down, so that the shares of all hosts never
    /// exceed the limit.
    /// Precondition: limitPercent is from 0 to 100. Thread safety: safe from any thread.
    static SlotCount regionLimitGrant(SlotCount grantedSlots, std::int32_t limitPercent);

private:
    std::shared_ptr<UpstreamSlots> m_regionLimit;
    std::shared_ptr<ShiftWindow> m_shiftWindow;
    std::shared_ptr<UpstreamSelector> m_selector;
};

} // namespace Trefoil
