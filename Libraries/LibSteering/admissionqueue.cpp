#include <LibSteering/admissionqueue.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_mayNotWaitLevel = 0;
constexpr std::size_t s_mayWaitLevel = 1;
/// One in this many dispatches goes to requests that may wait, so that they do not starve.
constexpr std::uint32_t s_lowerLevelInterval = 16;
/// Credit that one dispatch costs. A tenant of the default weight, 100, earns it in one turn.
constexpr std::int64_t s_dispatchCost = 100;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0);
}

PushResult AdmissionQueue::push(QueuedRequest request, BootTime now)
{
    assert(request.tenantWeight > 0);
    if (!canMeet(request.deadline, now)) {
        return {PushOutcome::DeadlineTooClose};
    }
    PushResult result;
    if (size() >= m_capacity) {
        result.evicted = evictFor(request);
        if (!result.evicted) {
            return {PushOutcome::Full};
        }
    }
    insert(std::move(request));
    return result;
}

std::optional<QueuedRequest> AdmissionQueue::pop(BootTime now)
{
    while (m_levels[s_mayNotWaitLevel].size + m_levels[s_mayWaitLevel].size > 0) {
        if (auto request = popFromLevel(nextLevel(), now)) {
            ++m_dispatches;
            return request;
        }
    }
    return std::nullopt;
}

void AdmissionQueue::requeue(const QueuedRequest &request)
{
    Level &level = levelOf(request);
    insert(request);
    const auto tenant = level.byTenant.at(request.tenant);
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
            if (current->requests.empty()) {
                removeTenant(level, current);
            }
        }
    }
    return std::exchange(m_expired, {});
}

bool AdmissionQueue::cancel(const QueuedRequest &request)
{
    Level &level = levelOf(request);
    const auto found = level.byTenant.find(request.tenant);
    if (found == level.byTenant.end()) {
        return false;
    }
    const auto tenant = found->second;
    const auto [begin, end] = tenant->requests.equal_range(request.deadline);
    const auto position = std::find_if(begin, end, [&request](const auto &entry) { return entry.second.ticket == request.ticket; });
    if (position == end) {
        return false;
    }
    tenant->requests.erase(position);
    --level.size;
    if (tenant->requests.empty()) {
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
    return m_levels[s_mayNotWaitLevel].size + m_levels[s_mayWaitLevel].size;
}

AdmissionQueue::Level &AdmissionQueue::levelOf(const QueuedRequest &request)
{
    return m_levels[request.mayWait ? s_mayWaitLevel : s_mayNotWaitLevel];
}

AdmissionQueue::Level &AdmissionQueue::nextLevel()
{
    const bool lowerTurn = m_dispatches % s_lowerLevelInterval == s_lowerLevelInterval - 1;
    const bool upperEmpty = m_levels[s_mayNotWaitLevel].size == 0;
    const bool lowerEmpty = m_levels[s_mayWaitLevel].size == 0;
    return m_levels[!lowerEmpty && (lowerTurn || upperEmpty) ? s_mayWaitLevel : s_mayNotWaitLevel];
}

void AdmissionQueue::insert(QueuedRequest request)
{
    Level &level = levelOf(request);
    auto [found, isNew] = level.byTenant.try_emplace(request.tenant);
    if (isNew) {
        TenantQueue queue;
        queue.tenant = request.tenant;
        found->second = level.turns.insert(level.turns.end(), std::move(queue));
    }
    found->second->weight = request.tenantWeight;
    const BootTime deadline = request.deadline;
    found->second->requests.emplace(deadline, std::move(request));
    ++level.size;
}

void AdmissionQueue::removeTenant(Level &level, std::list<TenantQueue>::iterator tenant)
{
    // A tenant without queued requests loses its credit, otherwise an idle tenant could accumulate credit for a burst.
    level.byTenant.erase(tenant->tenant);
    level.turns.erase(tenant);
}

void AdmissionQueue::moveExpired(Level &level, TenantQueue &tenant, BootTime now)
{
    while (!tenant.requests.empty() && !canMeet(tenant.requests.begin()->first, now)) {
        m_expired.push_back(std::move(tenant.requests.begin()->second));
        tenant.requests.erase(tenant.requests.begin());
        --level.size;
    }
}

std::optional<QueuedRequest> AdmissionQueue::popFromLevel(Level &level, BootTime now)
{
    // Each round adds a tenant's weight to its credit, so the loop ends after at most 100 rounds, and after one round if a tenant has the default
    // weight.
    while (!level.turns.empty()) {
        const auto tenant = level.turns.begin();
        moveExpired(level, *tenant, now);
        if (tenant->requests.empty()) {
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
        QueuedRequest request = std::move(tenant->requests.begin()->second);
        tenant->requests.erase(tenant->requests.begin());
        --level.size;
        if (tenant->requests.empty()) {
            removeTenant(level, tenant);
        }
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::evictFor(const QueuedRequest &request)
{
    const auto share = [](const TenantQueue &tenant, std::size_t more) {
        return static_cast<double>(tenant.requests.size() + more) / static_cast<double>(tenant.weight);
    };
    Level &upper = m_levels[s_mayNotWaitLevel];
    Level &lower = m_levels[s_mayWaitLevel];
    // The lower level is guaranteed the same fraction of the queue as of the dispatches.
    const std::size_t reserved = m_capacity / s_lowerLevelInterval;
    const bool evictsFromOtherLevel = request.mayWait ? lower.size < reserved : lower.size > reserved;
    Level &level = evictsFromOtherLevel == request.mayWait ? upper : lower;
    if (level.size == 0) {
        return std::nullopt;
    }
    const auto largest = std::max_element(level.turns.begin(), level.turns.end(), [&share](const auto &a, const auto &b) { return share(a, 0) < share(b, 0); });
    if (!evictsFromOtherLevel) {
        const auto own = level.byTenant.find(request.tenant);
        const double ownShare = own == level.byTenant.end() ? 1.0 / request.tenantWeight : share(*own->second, 1);
        if (share(*largest, 0) <= ownShare) {
            return std::nullopt;
        }
    }
    const auto last = std::prev(largest->requests.end());
    QueuedRequest evicted = std::move(last->second);
    largest->requests.erase(last);
    --level.size;
    if (largest->requests.empty()) {
        removeTenant(level, largest);
    }
    return evicted;
}

bool AdmissionQueue::canMeet(BootTime deadline, BootTime now) const
{
    return now + m_serviceTime <= deadline;
}

} // namespace Trefoil
