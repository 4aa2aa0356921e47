#include <LibSteering/admissionqueue.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_mayNotWait = 0;
constexpr std::size_t s_mayWait = 1;
/// One in this many dispatches goes to the work that may wait, so that it does not starve.
constexpr std::uint32_t s_lowerLevelTurn = 16;
/// Credit of one dispatch. A tenant of the usual weight earns it in one turn.
constexpr std::int64_t s_dispatchCost = 100;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0);
}

PushResult AdmissionQueue::push(QueuedRequest work, BootTime now)
{
    assert(work.tenantWeight > 0);
    if (!canMeet(work.deadline, now)) {
        return {PushOutcome::DeadlineTooClose};
    }
    PushResult result;
    if (size() >= m_capacity) {
        result.evicted = evictFor(work);
        if (!result.evicted) {
            return {PushOutcome::Full};
        }
    }
    insert(std::move(work));
    return result;
}

std::optional<QueuedRequest> AdmissionQueue::pop(BootTime now)
{
    while (m_levels[s_mayNotWait].size + m_levels[s_mayWait].size > 0) {
        if (auto work = popFrom(levelToServe(), now)) {
            ++m_dispatches;
            return work;
        }
    }
    return std::nullopt;
}

void AdmissionQueue::requeue(const QueuedRequest &work)
{
    Level &level = levelOf(work);
    insert(work);
    const auto tenant = level.byTenant.at(work.tenant);
    tenant->credit += s_dispatchCost;
    tenant->turnBegun = true;
    level.turns.splice(level.turns.begin(), level.turns, tenant);
    --m_dispatches;
}

std::vector<QueuedRequest> AdmissionQueue::expire(BootTime now)
{
    for (auto &level : m_levels) {
        for (auto tenant = level.turns.begin(); tenant != level.turns.end();) {
            const auto current = tenant++;
            moveExpired(level, *current, now);
            if (current->work.empty()) {
                removeTenant(level, current);
            }
        }
    }
    return std::exchange(m_expired, {});
}

bool AdmissionQueue::cancel(const QueuedRequest &work)
{
    Level &level = levelOf(work);
    const auto found = level.byTenant.find(work.tenant);
    if (found == level.byTenant.end()) {
        return false;
    }
    const auto tenant = found->second;
    const auto [begin, end] = tenant->work.equal_range(work.deadline);
    const auto place = std::find_if(begin, end, [&work](const auto &entry) { return entry.second.ticket == work.ticket; });
    if (place == end) {
        return false;
    }
    tenant->work.erase(place);
    --level.size;
    if (tenant->work.empty()) {
        removeTenant(level, tenant);
    }
    return true;
}

void AdmissionQueue::setServiceTime(std::chrono::nanoseconds serviceTime)
{
    assert(serviceTime.count() >= 0);
    m_serviceTime = serviceTime;
}

std::size_t AdmissionQueue::size() const
{
    return m_levels[s_mayNotWait].size + m_levels[s_mayWait].size;
}

AdmissionQueue::Level &AdmissionQueue::levelOf(const QueuedRequest &work)
{
    return m_levels[work.mayWait ? s_mayWait : s_mayNotWait];
}

AdmissionQueue::Level &AdmissionQueue::levelToServe()
{
    const bool lowerTurn = m_dispatches % s_lowerLevelTurn == s_lowerLevelTurn - 1;
    const bool upperEmpty = m_levels[s_mayNotWait].size == 0;
    const bool lowerEmpty = m_levels[s_mayWait].size == 0;
    return m_levels[!lowerEmpty && (lowerTurn || upperEmpty) ? s_mayWait : s_mayNotWait];
}

void AdmissionQueue::insert(QueuedRequest work)
{
    Level &level = levelOf(work);
    auto [found, isNew] = level.byTenant.try_emplace(work.tenant);
    if (isNew) {
        TenantQueue queue;
        queue.tenant = work.tenant;
        found->second = level.turns.insert(level.turns.end(), std::move(queue));
    }
    found->second->weight = work.tenantWeight;
    const BootTime deadline = work.deadline;
    found->second->work.emplace(deadline, std::move(work));
    ++level.size;
}

void AdmissionQueue::removeTenant(Level &level, std::list<TenantQueue>::iterator tenant)
{
    // Credit does not outlive the tenant's work, otherwise an idle tenant could save up for a burst.
    level.byTenant.erase(tenant->tenant);
    level.turns.erase(tenant);
}

void AdmissionQueue::moveExpired(Level &level, TenantQueue &tenant, BootTime now)
{
    while (!tenant.work.empty() && !canMeet(tenant.work.begin()->first, now)) {
        m_expired.push_back(std::move(tenant.work.begin()->second));
        tenant.work.erase(tenant.work.begin());
        --level.size;
    }
}

std::optional<QueuedRequest> AdmissionQueue::popFrom(Level &level, BootTime now)
{
    // A round gives each tenant its weight, so the loop ends after at most 100 rounds, and after one with a tenant of the usual weight.
    while (!level.turns.empty()) {
        const auto tenant = level.turns.begin();
        moveExpired(level, *tenant, now);
        if (tenant->work.empty()) {
            removeTenant(level, tenant);
            continue;
        }
        if (!tenant->turnBegun) {
            tenant->credit += tenant->weight;
            tenant->turnBegun = true;
        }
        if (tenant->credit < s_dispatchCost) {
            tenant->turnBegun = false;
            level.turns.splice(level.turns.end(), level.turns, tenant);
            continue;
        }
        tenant->credit -= s_dispatchCost;
        QueuedRequest work = std::move(tenant->work.begin()->second);
        tenant->work.erase(tenant->work.begin());
        --level.size;
        if (tenant->work.empty()) {
            removeTenant(level, tenant);
        }
        return work;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::evictFor(const QueuedRequest &work)
{
    const auto share = [](const TenantQueue &tenant, std::size_t more) {
        return static_cast<double>(tenant.work.size() + more) / static_cast<double>(tenant.weight);
    };
    Level &upper = m_levels[s_mayNotWait];
    Level &lower = m_levels[s_mayWait];
    // The lower level keeps the part of the queue that matches its part of the dispatches.
    const std::size_t reserved = m_capacity / s_lowerLevelTurn;
    const bool takesFromOther = work.mayWait ? lower.size < reserved : lower.size > reserved;
    Level &level = takesFromOther == work.mayWait ? upper : lower;
    if (level.size == 0) {
        return std::nullopt;
    }
    const auto largest = std::max_element(level.turns.begin(), level.turns.end(), [&share](const auto &a, const auto &b) { return share(a, 0) < share(b, 0); });
    if (!takesFromOther) {
        const auto own = level.byTenant.find(work.tenant);
        const double ownShare = own == level.byTenant.end() ? 1.0 / work.tenantWeight : share(*own->second, 1);
        if (share(*largest, 0) <= ownShare) {
            return std::nullopt;
        }
    }
    const auto last = std::prev(largest->work.end());
    QueuedRequest evicted = std::move(last->second);
    largest->work.erase(last);
    --level.size;
    if (largest->work.empty()) {
        removeTenant(level, largest);
    }
    return evicted;
}

bool AdmissionQueue::canMeet(BootTime deadline, BootTime now) const
{
    return now + m_serviceTime <= deadline;
}

} // namespace Trefoil
