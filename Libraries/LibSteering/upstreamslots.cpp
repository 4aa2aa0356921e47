#include <LibSteering/upstreamslots.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace Trefoil
{

SlotReservation::SlotReservation(std::shared_ptr<UpstreamSlots> slots)
    : m_slots(std::move(slots))
{
}

SlotReservation::~SlotReservation()
{
    if (m_slots) {
        m_slots->m_inFlight.fetch_sub(1, std::memory_order_acq_rel);
    }
}

std::shared_ptr<UpstreamSlots> UpstreamSlots::create()
{
    return std::shared_ptr<UpstreamSlots>(new UpstreamSlots);
}

std::optional<SlotReservation> UpstreamSlots::tryReserve(const LeaseGuard &lease, BootTime now)
{
    return tryReserve(lease, now, SlotCount(std::numeric_limits<std::int32_t>::max()));
}

std::optional<SlotReservation> UpstreamSlots::tryReserve(const LeaseGuard &lease, BootTime now, SlotCount maximum)
{
    if (!lease.isValid(now)) {
        return std::nullopt;
    }
    std::int32_t inFlight = m_inFlight.load(std::memory_order_relaxed);
    // Sequentially consistent order pairs with setGranted(): a releasing host that reads inFlight after it lowered the grant sees every reservation
    // that was made under the higher grant.
    while (inFlight < std::min(m_granted.load(), maximum.value())) {
        if (!m_inFlight.compare_exchange_weak(inFlight, inFlight + 1)) {
            continue;
        }
        SlotReservation reservation(shared_from_this());
        if (inFlight >= m_granted.load()) {
            return std::nullopt;
        }
        return reservation;
    }
    return std::nullopt;
}

void UpstreamSlots::setGranted(SlotCount granted)
{
    assert(granted.value() >= 0);
    m_granted.store(granted.value());
}

SlotCount UpstreamSlots::granted() const
{
    return SlotCount(m_granted.load());
}

SlotCount UpstreamSlots::inFlight() const
{
    return SlotCount(m_inFlight.load());
}

} // namespace Trefoil
