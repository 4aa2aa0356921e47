#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/units.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace Trefoil
{

class LinkBudget;

/// Bytes reserved on a link for one relayed request and its response. Unless settle() is called, the whole estimate stays spent.
/// Thread safety: one thread at a time.
class LinkReservation
{
public:
    LinkReservation(LinkReservation &&) noexcept = default;
    LinkReservation &operator=(LinkReservation &&) = delete;
    LinkReservation(const LinkReservation &) = delete;
    LinkReservation &operator=(const LinkReservation &) = delete;
    ~LinkReservation() = default;

    /// Replaces the estimate with the bytes that were sent. An excess becomes a debt of the link. An unused remainder of at most half the
    /// bucket is refunded, unless the bucket has been at least half full since the reservation: it may then have been full without the reservation,
    /// and the refund would exceed the capacity. A larger remainder stays spent.
    /// Precondition: called at most once. Thread safety: one thread at a time.
    void settle(Bytes actual, BootTime now);

private:
    friend class LinkBudget;
    LinkReservation(std::shared_ptr<LinkBudget> budget, Bytes reserved, BootTime reservedAt);

    std::shared_ptr<LinkBudget> m_budget;
    Bytes m_reserved;
    BootTime m_reservedAt;
};

/// This host's share of the capacity of one direction of a link: a token bucket in bytes. The bucket holds 50 ms of the capacity and fills at 95% of
/// it, so that the reservations of all hosts in any second stay below the capacity (P2).
class LinkBudget : public std::enable_shared_from_this<LinkBudget>
{
public:
    static std::shared_ptr<LinkBudget> create();

    /// Reserves the estimated bytes; nothing when the bucket holds too few. An estimate larger than the bucket requires a full bucket and leaves a
    /// debt.
    /// Precondition: estimate is positive. Thread safety: safe from any thread; lock-free.
    std::optional<LinkReservation> tryReserve(Bytes estimate, BootTime now);

    /// Sets the granted capacity. The bucket is empty after a change, because the previous holder may have spent its content.
    /// Precondition: granted is not negative. Thread safety: one control thread at a time.
    void setGranted(KilobitsPerSecond granted, BootTime now);

    /// Precondition: none. Thread safety: safe from any thread.
    KilobitsPerSecond granted() const;

private:
    friend class LinkReservation;
    LinkBudget() = default;

    void recordContent(std::int64_t emptyAt, BootTime now);

    std::atomic<std::int64_t> m_granted{0};
    /// The time at which the bucket was or will be empty: its content is what has flowed in since then. A time in the future stands for a debt.
    std::atomic<std::int64_t> m_emptyAtNanoseconds{0};
    /// The last recorded time at which the bucket was at least half full.
    std::atomic<std::int64_t> m_halfFullAtNanoseconds{0};
};

} // namespace Trefoil
