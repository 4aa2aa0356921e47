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

/// A request that waits for a slot. None of its bytes were written to an upstream.
struct QueuedRequest
{
    /// Names the request to the caller of the queue; unique among the queued.
    std::uint64_t ticket = 0;
    TenantId tenant;
    /// Weight of the tenant as configured, positive.
    std::int32_t tenantWeight = 100;
    bool mayWait = false;
    BootTime deadline;
};

enum class PushOutcome {
    Queued,
    /// The queue is full and no tenant holds more of it, by weight, than this one.
    Full,
    /// The deadline cannot be met at the observed service time.
    DeadlineTooClose,
};

struct PushResult
{
    PushOutcome outcome = PushOutcome::Queued;
    /// Work that gave up its place; it ends as not-run.
    std::optional<QueuedRequest> evicted{};
};

/// Requests of one service that wait for a slot. Work that may not wait goes before work that may, but one in 16 dispatches goes to
/// the latter. Within a level tenants share by deficit round robin; within a tenant the earliest deadline goes first.
/// Thread safety: one thread at a time; each worker has a queue of its own.
class AdmissionQueue
{
public:
    /// Precondition: capacity is positive.
    explicit AdmissionQueue(std::size_t capacity);

    /// Queues work, or refuses it at once. A full queue evicts from the tenant that holds most of it by weight, first among work that may wait.
    /// Precondition: tenantWeight is positive.
    PushResult push(QueuedRequest request, BootTime now);

    /// The work to dispatch next. Work whose deadline can no longer be met is kept for expire().
    /// Precondition: a slot is free.
    std::optional<QueuedRequest> pop(BootTime now);

    /// Puts work back that was popped but found no slot; its tenant gets its turn back. Precondition: pop() returned it just before.
    void requeue(const QueuedRequest &request);

    /// Removes and returns the work whose deadline can no longer be met. Precondition: none.
    std::vector<QueuedRequest> expire(BootTime now);

    /// Removes work whose caller went away; false when it is no longer queued. Precondition: none.
    bool cancel(const QueuedRequest &request);

    /// Sets the time that must be left when a request is dispatched. Precondition: not negative.
    void setServiceTime(std::chrono::nanoseconds serviceTime);

    std::size_t size() const;

private:
    struct TenantQueue
    {
        TenantId tenant;
        std::int64_t weight = 100;
        std::int64_t credit = 0;
        /// The credit of the present turn was given.
        bool turnBegun = false;
        std::multimap<BootTime, QueuedRequest> requests;
    };

    /// One level; the front tenant has the turn.
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
    /// Work that may not wait, and work that may.
    std::array<Level, 2> m_levels;
    std::uint32_t m_dispatches = 0;
    std::vector<QueuedRequest> m_expired;
};

} // namespace Trefoil
