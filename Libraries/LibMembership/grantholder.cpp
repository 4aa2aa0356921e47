#include <LibMembership/grantholder.h>

#include <LibMembership/hostrow.h>
#include <LibMembership/shares.h>

#include <algorithm>

namespace Trefoil
{

Result<GrantRows> parseGrantRows(const std::vector<TableRow> &rows, const RegionId &region)
{
    GrantRows result;
    if (const TableRow *row = findRow(rows, grantsRowKey(region)); row != nullptr && row->version != 0) {
        auto table = GrantTable::fromJson(row->value);
        if (table.has_error()) {
            return table.error();
        }
        result.table = std::move(table.value());
        result.grantsVersion = row->version;
    }
    if (const TableRow *row = findRow(rows, grantsVersionRowKey(region)); row != nullptr) {
        result.versionRowVersion = row->version;
    }
    return result;
}

void addGrantsUpdate(Transaction &transaction, const RegionId &region, const GrantRows &present, const GrantTable &table)
{
    transaction.conditions.push_back({grantsRowKey(region), present.grantsVersion});
    transaction.conditions.push_back({grantsVersionRowKey(region), present.versionRowVersion});
    transaction.puts.push_back({grantsRowKey(region), table.toJson()});
    transaction.puts.push_back({grantsVersionRowKey(region), nlohmann::json::object()});
}

GrantHolder::GrantHolder(HostId host)
    : m_host(std::move(host))
{
}

void GrantHolder::setResources(std::vector<Resource> resources, BootTime now)
{
    m_resources = std::move(resources);
    updatePendingIncreases(now);
}

void GrantHolder::adopt(GrantRows rows, BootTime now)
{
    if (rows.grantsVersion <= m_rows.grantsVersion) {
        return;
    }
    m_rows = std::move(rows);
    m_ambiguousVersion.reset();
    for (auto position = m_loweredLimits.begin(); position != m_loweredLimits.end();) {
        const bool done = m_rows.table.grant(m_host, position->first).amount <= position->second;
        position = done ? m_loweredLimits.erase(position) : std::next(position);
    }
    updatePendingIncreases(now);
}

void GrantHolder::updatePendingIncreases(BootTime now)
{
    for (const Resource &resource : m_resources) {
        if (resource.window == Milliseconds(0)) {
            continue;
        }
        const std::int64_t present = m_rows.table.grant(m_host, resource.id).amount;
        std::int64_t &recorded = m_windowedGrants[resource.id];
        auto &increases = m_pendingIncreases[resource.id];
        while (!increases.empty() && increases.front().usableFrom <= now) {
            increases.pop_front();
        }
        if (present > recorded) {
            increases.push_back({present - recorded, now + resource.window});
        }
        // A decrease of the grant first reduces the increases that are not usable yet, the latest first.
        for (std::int64_t lost = recorded - present; lost > 0 && !increases.empty();) {
            const std::int64_t part = std::min(lost, increases.back().amount);
            increases.back().amount -= part;
            lost -= part;
            if (increases.back().amount == 0) {
                increases.pop_back();
            }
        }
        recorded = present;
    }
}

void GrantHolder::clear()
{
    m_rows.table = {};
    m_loweredLimits.clear();
    m_pendingIncreases.clear();
    m_windowedGrants.clear();
}

std::int64_t GrantHolder::pendingAmount(const ResourceId &resource, BootTime now) const
{
    const auto position = m_pendingIncreases.find(resource);
    std::int64_t sum = 0;
    if (position != m_pendingIncreases.end()) {
        for (const PendingIncrease &increase : position->second) {
            sum += increase.usableFrom > now ? increase.amount : 0;
        }
    }
    return sum;
}

std::int64_t GrantHolder::limit(const Resource &resource, BootTime now) const
{
    const Grant grant = m_rows.table.grant(m_host, resource.id);
    std::int64_t usable = grant.usable(resource.total);
    if (resource.window != Milliseconds(0)) {
        // For a resource that is new in this configuration no grant has been recorded yet.
        const auto recorded = m_windowedGrants.find(resource.id);
        const std::int64_t matured = (recorded == m_windowedGrants.end() ? 0 : recorded->second) - pendingAmount(resource.id, now);
        usable = std::min(usable, std::max<std::int64_t>(0, matured));
    }
    const auto lowered = m_loweredLimits.find(resource.id);
    return lowered == m_loweredLimits.end() ? usable : std::min(usable, lowered->second);
}

void GrantHolder::lowerLimit(const ResourceId &resource, std::int64_t own, std::int64_t planned)
{
    const auto position = m_loweredLimits.find(resource);
    // While an earlier release may still take effect, the limits that it lowered must not be raised again.
    if (m_ambiguousVersion == m_rows.grantsVersion) {
        if (position != m_loweredLimits.end()) {
            position->second = std::min(position->second, planned);
        } else if (planned < own) {
            m_loweredLimits[resource] = planned;
        }
        return;
    }
    if (planned < own) {
        m_loweredLimits[resource] = planned;
    } else if (position != m_loweredLimits.end()) {
        m_loweredLimits.erase(position);
    }
}

std::vector<Resource> GrantHolder::undeclaredResources() const
{
    std::vector<Resource> released;
    for (const ResourceId &id : m_rows.table.resourcesOf(m_host)) {
        const bool declared = std::any_of(m_resources.begin(), m_resources.end(), [&id](const Resource &resource) { return resource.id == id; });
        if (!declared) {
            released.push_back({id});
        }
    }
    return released;
}

std::optional<GrantTable> GrantHolder::nextTable(std::size_t hosts, const std::function<std::int64_t(const ResourceId &)> &usage)
{
    GrantTable next = m_rows.table;
    bool changed = false;
    const auto plan = plannedGrants(m_rows.table, m_host, m_resources, hosts);
    std::vector<Resource> all = undeclaredResources();
    all.insert(all.end(), m_resources.begin(), m_resources.end());
    for (const Resource &resource : all) {
        const Grant grant = m_rows.table.grant(m_host, resource.id);
        const std::int64_t own = grant.usable(resource.total);
        const auto planned = plan.find(resource.id);
        const std::int64_t target = planned == plan.end() ? 0 : planned->second;
        lowerLimit(resource.id, own, target);
        const std::int64_t kept = std::min(own, target);
        const bool isOutdated = grant.amount != 0 && (grant.total != resource.total || kept < own);
        if (isOutdated && usage(resource.id) > kept) {
            continue;
        }
        if (isOutdated) {
            next.release(m_host, resource, kept);
            changed = true;
        }
        changed = (target > own && next.acquire(m_host, resource, target - own) > 0) || changed;
    }
    if (!changed) {
        return std::nullopt;
    }
    return next;
}

GrantTable GrantHolder::joinedTable(const GrantTable &present, std::size_t hosts) const
{
    GrantTable table = present;
    table.reclaim(m_host);
    table.addMember(m_host);
    const auto plan = plannedGrants(table, m_host, m_resources, hosts);
    for (const Resource &resource : m_resources) {
        table.acquire(m_host, resource, plan.at(resource.id));
    }
    return table;
}

void GrantHolder::recordAmbiguousUpdate()
{
    m_ambiguousVersion = m_rows.grantsVersion;
}

} // namespace Trefoil
