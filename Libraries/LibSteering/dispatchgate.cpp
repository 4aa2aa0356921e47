#include <LibSteering/dispatchgate.h>

#include <cassert>
#include <utility>

namespace Trefoil
{

DispatchGate::DispatchGate(std::shared_ptr<UpstreamSlots> regionLimit, std::shared_ptr<ShiftWindow> shiftWindow, std::shared_ptr<UpstreamSelector> selector)
    : m_regionLimit(std::move(regionLimit))
    , m_shiftWindow(std::move(shiftWindow))
    , m_selector(std::move(selector))
{
    assert(m_regionLimit && m_shiftWindow && m_selector);
}

DispatchDecision DispatchGate::tryDispatch(bool moved, bool mayRepeat, const LeaseGuard &lease, pcg32 &generator, BootTime now)
{
    if (!lease.isValid(now)) {
        return DispatchRejection::LeaseExpired;
    }
    auto regionSlot = m_regionLimit->tryReserve(lease, now);
    if (!regionSlot) {
        return DispatchRejection::RegionLimit;
    }
    // A moved request is not used as a probe: the shift window might reject it after the probe has started.
    auto selection = m_selector->select(mayRepeat && !moved, lease, generator, now);
    if (!selection) {
        return DispatchRejection::NoFreeSlot;
    }
    // A permit of the shift window cannot be returned, so it is acquired last.
    if (moved && !m_shiftWindow->tryAcquire(now)) {
        return DispatchRejection::ShiftCap;
    }
    return Dispatch{std::move(*selection), std::move(*regionSlot)};
}

SlotCount DispatchGate::regionLimitGrant(SlotCount grantedSlots, std::int32_t limitPercent)
{
    assert(limitPercent >= 0 && limitPercent <= 100);
    constexpr std::int64_t whole = 100;
    return SlotCount(static_cast<std::int32_t>(std::int64_t{grantedSlots.value()} * limitPercent / whole));
}

} // namespace Trefoil
