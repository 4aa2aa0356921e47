#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Trefoil
{

/// A request that waits for a slot. None of its bytes have been written to an upstream.
struct QueuedRequest
{
    /// Identifies the request; unique among the queued requests.
    std::uint64_t ticket = 0;
    TenantId tenant;
    /// Weight of the tenant as configured, positive.
    std::int32_t tenantWeight = 100;
    bool mayWait = false;
    BootTime deadline;
};

enum class PushOutcome {
    Queued,
    /// The queue is full and no tenant holds a larger part of it, relative to its weight, than this one.
    Full,
    /// The deadline cannot be met at the observed service time.
    DeadlineTooClose,
};

struct PushResult
{
    PushOutcome outcome = PushOutcome::Queued;
    /// Request that was removed to make room; it ends as not-run.
    std::optional<QueuedRequest> evicted{};
};

/// Requests of one service that wait for a slot, in two levels: requests that may not wait are dispatched first, but one in 16 dispatches goes to
/// requests that may wait. Within a level, tenants share the dispatches by deficit round robin; within a tenant, the request with the earliest
/// deadline goes first.
/// Thread safety: one thread at a time; each worker has a queue of its own.
class AdmissionQueue
{
public:
    /// Precondition: capacity is positive.
    explicit AdmissionQueue(std::size_t capacity);

    /// Queues a request, or rejects it immediately. A full queue evicts requests that may wait before others, except from the part that is reserved
    /// for them; within a level, it evicts from the tenant that holds most of it relative to its weight.
    /// Precondition: tenantWeight is positive.
    PushResult push(QueuedRequest request, BootTime now);

    /// Removes and returns the request to dispatch next. Requests whose deadline can no longer be met are kept for expire().
    /// Precondition: a slot is free.
    std::optional<QueuedRequest> pop(BootTime now);

    /// Returns a popped request that found no free slot to the queue, and restores its tenant's turn.
    /// Precondition: pop() returned it immediately before.
    void requeue(const QueuedRequest &request);

    /// Removes and returns the requests whose deadline can no longer be met. Precondition: none.
    std::vector<QueuedRequest> expire(BootTime now);

    /// Removes a request whose caller cancelled it or disconnected; false if it is no longer queued. Precondition: none.
    bool cancel(const QueuedRequest &request);

    /// Sets the minimum time to the deadline at which a request is still dispatched. Precondition: not negative.
    void setServiceTime(std::chrono::nanoseconds serviceTime);

    std::size_t size() const;

private:
    struct TenantQueue
    {
        TenantId tenant;
        std::int64_t weight = 100;
        std::int64_t credit = 0;
        /// Whether the credit of the current turn has been added.
        bool turnBegun = false;
        std::multimap<BootTime, QueuedRequest> requests;
    };

    /// One level; the tenant at the front has the turn.
    struct Level
    {
        std::list<TenantQueue> turns;
        std::unordered_map<TenantId, std::list<TenantQueue>::iterator> byTenant;
        std::size_t size = 0;
    };

    Level &levelOf(const QueuedRequest &request);
    Level &nextLevel();
    void insert(QueuedRequest request);
    void removeTenant(Level &level, std::list<TenantQueue>::iterator tenant);
    void moveExpired(Level &level, TenantQueue &tenant, BootTime now);
    std::optional<QueuedRequest> popFromLevel(Level &level, BootTime now);
    std::optional<QueuedRequest> evictFor(const QueuedRequest &request);
    bool canMeet(BootTime deadline, BootTime now) const;

    std::size_t m_capacity;
    std::chrono::nanoseconds m_serviceTime{0};
    /// Requests that may not wait, then requests that may wait.
    std::array<Level, 2> m_levels;
    std::uint32_t m_dispatches = 0;
    std::vector<QueuedRequest> m_expired;
};

} // namespace Trefoil
