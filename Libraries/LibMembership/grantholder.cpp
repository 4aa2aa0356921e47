#include <LibMembership/grantholder.h>

#include <LibMembership/hostrow.h>
#include <LibMembership/shares.h>

#include <algorithm>

namespace Trefoil
{

Result<GrantRows> grantRowsFrom(const std::vector<TableRow> &rows, const RegionId &region)
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
    updateWindows(now);
}

void GrantHolder::adopt(GrantRows rows, BootTime now)
{
    if (rows.grantsVersion <= m_rows.grantsVersion) {
        return;
    }
    m_rows = std::move(rows);
    m_ambiguousVersion.reset();
    for (auto position = m_lowered.begin(); position != m_lowered.end();) {
        const bool done = m_rows.table.grant(m_host, position->first).amount <= position->second;
        position = done ? m_lowered.erase(position) : std::next(position);
    }
    updateWindows(now);
}

void GrantHolder::updateWindows(BootTime now)
{
    for (const Resource &resource : m_resources) {
        if (resource.window == Milliseconds(0)) {
            continue;
        }
        const std::int64_t present = m_rows.table.grant(m_host, resource.id).amount;
        std::int64_t &known = m_windowedGrants[resource.id];
        auto &windows = m_windows[resource.id];
        while (!windows.empty() && windows.front().usableFrom <= now) {
            windows.pop_front();
        }
        if (present > known) {
            windows.push_back({present - known, now + resource.window});
        }
        // A smaller grant first loses what was not usable yet.
        for (std::int64_t lost = known - present; lost > 0 && !windows.empty();) {
            const std::int64_t part = std::min(lost, windows.back().amount);
            windows.back().amount -= part;
            lost -= part;
            if (windows.back().amount == 0) {
                windows.pop_back();
            }
        }
        known = present;
    }
}

void GrantHolder::clear()
{
    m_rows.table = {};
    m_lowered.clear();
    m_windows.clear();
    m_windowedGrants.clear();
}

std::int64_t GrantHolder::maturing(const ResourceId &resource, BootTime now) const
{
    const auto position = m_windows.find(resource);
    std::int64_t sum = 0;
    if (position != m_windows.end()) {
        for (const Window &window : position->second) {
            sum += window.usableFrom > now ? window.amount : 0;
        }
    }
    return sum;
}

std::int64_t GrantHolder::limit(const Resource &resource, BootTime now) const
{
    const Grant grant = m_rows.table.grant(m_host, resource.id);
    std::int64_t usable = grant.usable(resource.total);
    if (resource.window != Milliseconds(0)) {
        // A resource that is new to this configuration has no windows yet.
        const auto known = m_windowedGrants.find(resource.id);
        const std::int64_t matured = (known == m_windowedGrants.end() ? 0 : known->second) - maturing(resource.id, now);
        usable = std::min(usable, std::max<std::int64_t>(0, matured));
    }
    const auto lowered = m_lowered.find(resource.id);
    return lowered == m_lowered.end() ? usable : std::min(usable, lowered->second);
}

void GrantHolder::lower(const ResourceId &resource, std::int64_t own, std::int64_t planned)
{
    const auto position = m_lowered.find(resource);
    // While an earlier release may still take effect, its limits must not rise again.
    if (m_ambiguousVersion == m_rows.grantsVersion) {
        if (position != m_lowered.end()) {
            position->second = std::min(position->second, planned);
        } else if (planned < own) {
            m_lowered[resource] = planned;
        }
        return;
    }
    if (planned < own) {
        m_lowered[resource] = planned;
    } else if (position != m_lowered.end()) {
        m_lowered.erase(position);
    }
}

std::vector<Resource> GrantHolder::resourcesToRelease() const
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
    std::vector<Resource> all = resourcesToRelease();
    all.insert(all.end(), m_resources.begin(), m_resources.end());
    for (const Resource &resource : all) {
        const Grant grant = m_rows.table.grant(m_host, resource.id);
        const std::int64_t own = grant.usable(resource.total);
        const auto planned = plan.find(resource.id);
        const std::int64_t target = planned == plan.end() ? 0 : planned->second;
        lower(resource.id, own, target);
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

void GrantHolder::updateIsAmbiguous()
{
    m_ambiguousVersion = m_rows.grantsVersion;
}

} // namespace Trefoil
