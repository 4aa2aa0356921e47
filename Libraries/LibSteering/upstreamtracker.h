#pragma once

#include <LibCore/strongid.h>
#include <LibSteering/coldstartramp.h>
#include <LibSteering/upstreamhealth.h>
#include <LibSteering/upstreamslots.h>

#include <atomic>
#include <memory>

namespace Trefoil
{

/// State that this host keeps for one upstream: its slots, health and cold-start ramp. The object is kept across configuration versions.
/// Thread safety: all methods are safe from any thread and lock-free.
class UpstreamTracker
{
public:
    /// Preconditions: slots and group are not null.
    UpstreamTracker(UpstreamId id, bool inOwnZone, std::shared_ptr<UpstreamSlots> slots, std::shared_ptr<UpstreamGroup> group);

    /// Reserves a slot as the grant, the lease and the cold-start ramp allow; nothing for a leaving or ejected upstream.
    /// Precondition: now was read after the request's last wait.
    std::optional<SlotReservation> tryReserve(const LeaseGuard &lease, BootTime now);

    /// Reserves a slot by grant and lease alone, for the policies that ignore health; nothing for a leaving upstream. Precondition: as above.
    std::optional<SlotReservation> tryReserveByGrant(const LeaseGuard &lease, BootTime now);

    /// Reserves a slot for the single probe of an ejected upstream if one is due. Preconditions: as above, and the request may be repeated.
    std::optional<SlotReservation> tryReserveProbe(const LeaseGuard &lease, BootTime now);

    /// True when tryReserve() would find a free slot now under a valid lease. Precondition: none.
    bool isEligible() const;

    /// Concurrent requests that grant and ramp allow. Precondition: none.
    SlotCount limit() const;

    /// Records how a dispatched request ended. Precondition: called once for each reservation.
    void record(UpstreamOutcome outcome, std::chrono::nanoseconds latency, BootTime now);

    /// Restarts the cold-start ramp, when the upstream reports that it is cold. Precondition: none.
    void recordRestart();

    /// Sets whether the upstream is leaving or drained; it then receives no new requests, from this call on. Precondition: none.
    void setLeaving(bool leaving);
    bool isLeaving() const;

    /// Sets the configured weight; the default is 100. Precondition: weight is positive.
    void setWeight(std::int32_t weight);
    float weight() const;

    const UpstreamId &id() const;
    bool isInOwnZone() const;
    const UpstreamSlots &slots() const;
    UpstreamHealth &health();
    const UpstreamHealth &health() const;

private:
    UpstreamId m_id;
    bool m_inOwnZone;
    std::shared_ptr<UpstreamSlots> m_slots;
    UpstreamHealth m_health;
    ColdStartRamp m_ramp;
    std::atomic<bool> m_leaving{false};
    std::atomic<std::int32_t> m_weight{100};
};

} // namespace Trefoil
