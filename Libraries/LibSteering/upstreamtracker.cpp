#include <LibSteering/upstreamtracker.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

UpstreamTracker::UpstreamTracker(UpstreamId id, bool inOwnZone, std::shared_ptr<UpstreamSlots> slots, std::shared_ptr<UpstreamGroup> group)
    : m_id(std::move(id))
    , m_inOwnZone(inOwnZone)
    , m_slots(std::move(slots))
    , m_health(std::move(group))
{
    assert(m_slots);
}

std::optional<SlotReservation> UpstreamTracker::tryReserve(const LeaseGuard &lease, BootTime now)
{
    if (isLeaving() || m_health.isEjected()) {
        return std::nullopt;
    }
    return m_slots->tryReserve(lease, now, m_ramp.limit());
}

std::optional<SlotReservation> UpstreamTracker::tryReserveByGrant(const LeaseGuard &lease, BootTime now)
{
    if (isLeaving()) {
        return std::nullopt;
    }
    return m_slots->tryReserve(lease, now);
}

std::optional<SlotReservation> UpstreamTracker::tryReserveProbe(const LeaseGuard &lease, BootTime now)
{
    if (isLeaving() || !m_health.tryBeginProbe(now)) {
        return std::nullopt;
    }
    auto reservation = m_slots->tryReserve(lease, now, SlotCount(1));
    if (!reservation) {
        m_health.abandonProbe();
    }
    return reservation;
}

bool UpstreamTracker::isEligible() const
{
    return !isLeaving() && !m_health.isEjected() && m_slots->inFlight() < limit();
}

SlotCount UpstreamTracker::limit() const
{
    return std::min(m_slots->granted(), m_ramp.limit());
}

void UpstreamTracker::record(UpstreamOutcome outcome, std::chrono::nanoseconds latency, BootTime now)
{
    const bool wasEjected = m_health.isEjected();
    m_health.record(outcome, latency, now);
    if (outcome == UpstreamOutcome::ConnectFailed || (wasEjected && !m_health.isEjected())) {
        m_ramp.restart();
    } else if (outcome == UpstreamOutcome::Success) {
        m_ramp.recordSuccess();
    } else if (outcome != UpstreamOutcome::Cancelled) {
        m_ramp.recordFailure();
    }
}

void UpstreamTracker::recordRestart()
{
    m_ramp.restart();
}

void UpstreamTracker::setLeaving(bool leaving)
{
    m_leaving.store(leaving);
}

bool UpstreamTracker::isLeaving() const
{
    return m_leaving.load();
}

void UpstreamTracker::setWeight(std::int32_t weight)
{
    assert(weight > 0);
    m_weight.store(weight);
}

float UpstreamTracker::weight() const
{
    return static_cast<float>(m_weight.load(std::memory_order_relaxed));
}

const UpstreamId &UpstreamTracker::id() const
{
    return m_id;
}

bool UpstreamTracker::isInOwnZone() const
{
    return m_inOwnZone;
}

const UpstreamSlots &UpstreamTracker::slots() const
{
    return *m_slots;
}

UpstreamHealth &UpstreamTracker::health()
{
    return m_health;
}

const UpstreamHealth &UpstreamTracker::health() const
{
    return m_health;
}

} // namespace Trefoil
