#pragma once

#include <LibCore/units.h>
#include <LibSteering/leaseguard.h>

#include <atomic>
#include <memory>
#include <optional>

namespace Trefoil
{

class UpstreamSlots;

/// Holds one slot of an upstream until it is destroyed.
/// Thread safety: one thread at a time.
class SlotReservation
{
public:
    SlotReservation(SlotReservation &&) noexcept = default;
    SlotReservation &operator=(SlotReservation &&) = delete;
    SlotReservation(const SlotReservation &) = delete;
    SlotReservation &operator=(const SlotReservation &) = delete;
    ~SlotReservation();

private:
    friend class UpstreamSlots;
    explicit SlotReservation(std::shared_ptr<UpstreamSlots> slots);

    std::shared_ptr<UpstreamSlots> m_slots;
};

/// The slots of an upstream that were granted to this host, and how many of them are in use.
class UpstreamSlots : public std::enable_shared_from_this<UpstreamSlots>
{
public:
    static std::shared_ptr<UpstreamSlots> create();

    /// Reserves a free slot; nothing when the lease has expired or the grant is used up.
    /// Precondition: now was read after the request's last wait. Thread safety: safe from any thread; lock-free.
    std::optional<SlotReservation> tryReserve(const LeaseGuard &lease, BootTime now);

    /// As above, with an additional limit besides the grant, for a cold start or a probe.
    std::optional<SlotReservation> tryReserve(const LeaseGuard &lease, BootTime now, SlotCount maximum);

    /// Sets the granted slots. Requests in flight above a lowered grant run to completion.
    /// Precondition: granted is not negative. Thread safety: safe from any thread.
    void setGranted(SlotCount granted);

    /// Precondition: none. Thread safety: safe from any thread.
    SlotCount granted() const;

    /// Precondition: none. Thread safety: safe from any thread.
    SlotCount inFlight() const;

private:
    friend class SlotReservation;
    UpstreamSlots() = default;

    std::atomic<std::int32_t> m_granted{0};
    std::atomic<std::int32_t> m_inFlight{0};
};

} // namespace Trefoil
