#pragma once

#include <LibSteering/shiftwindow.h>
#include <LibSteering/upstreamselector.h>

#include <memory>
#include <variant>

namespace Trefoil
{

/// A request that may be sent now, with everything that was reserved for it.
struct Dispatch
{
    Selection selection;
    SlotReservation regionSlot;
};

/// Why a request may not be sent now. Nothing was spent on it.
enum class DispatchRejection {
    LeaseExpired,
    RegionLimit,
    NoFreeSlot,
    ShiftCap,
};

using DispatchDecision = std::variant<Dispatch, DispatchRejection>;

/// The last check before a request is sent to an upstream of the own region: lease, region limit, upstream slot and, for a request whose
/// home is another region, the shift window, in an order in which a refusal spends nothing.
class DispatchGate
{
public:
    /// Preconditions: nothing is null. The limit's grant is the host's part of the region limit, see regionLimitGrant().
    DispatchGate(std::shared_ptr<UpstreamSlots> regionLimit, std::shared_ptr<ShiftWindow> shiftWindow, std::shared_ptr<UpstreamSelector> selector);

    /// Preconditions: now was read after every wait of the request; mayRepeat is false for a request that runs at most once.
    /// Thread safety: safe from any thread with a generator of its own; lock-free.
    DispatchDecision tryDispatch(bool moved, bool mayRepeat, const LeaseGuard &lease, pcg32 &generator, BootTime now);

    /// A host's part of a region limit in percent: that of its own granted slots, rounded down, so that the hosts' parts never exceed the limit.
    /// Precondition: limitPercent is from 0 to 100. Thread safety: safe from any thread.
    static SlotCount regionLimitGrant(SlotCount grantedSlots, std::int32_t limitPercent);

private:
    std::shared_ptr<UpstreamSlots> m_regionLimit;
    std::shared_ptr<ShiftWindow> m_shiftWindow;
    std::shared_ptr<UpstreamSelector> m_selector;
};

} // namespace Trefoil
