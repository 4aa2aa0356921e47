#include <LibMembership/shares.h>

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace Trefoil
{

namespace
{

using Plan = std::map<ResourceId, std::int64_t>;

/// Resources that are distributed together.
using Group = std::vector<const Resource *>;

bool isFarBelow(std::int64_t held, std::int64_t share)
{
    return held * 8 < share * 7;
}

/// Plans one host's grants of the resources of one group.
class GroupPlanner
{
public:
    GroupPlanner(const GrantTable &table, const HostId &host, const Group &group, std::size_t hosts)
        : m_table(table)
        , m_host(host)
        , m_group(group)
    {
        std::int64_t total = 0;
        for (const Resource *resource : group) {
            total += resource->total;
            m_planned[resource->id] = table.grant(host, resource->id).usable(resource->total);
            m_free[resource->id] = table.freeAmount(*resource);
            m_freeSum += m_free[resource->id];
        }
        m_total = total;
        m_fairShare = GrantTable::fairShare(total, hosts);
        m_roundedDownShare = total / static_cast<std::int64_t>(hosts);
        for (const auto &member : table.members()) {
            m_held[member] = heldBy(member);
        }
    }

    Plan run()
    {
        if (const std::int64_t surplus = amountToRelease(); surplus > 0) {
            release(surplus);
        } else {
            acquire(amountToAcquire());
        }
        return m_planned;
    }

private:
    std::int64_t heldBy(const HostId &member) const
    {
        std::int64_t held = 0;
        for (const Resource *resource : m_group) {
            held += m_table.grant(member, resource->id).usable(resource->total);
        }
        return held;
    }

    /// Sum of the deficits of the hosts far below their fair shares, without that of the excluded host.
    std::int64_t deficitOfOthers(const HostId &excluded) const
    {
        std::int64_t deficit = 0;
        for (const auto &[member, held] : m_held) {
            if (member != excluded && isFarBelow(held, m_roundedDownShare)) {
                deficit += m_roundedDownShare - held;
            }
        }
        return deficit;
    }

    /// All hosts divide the deficit in the same way among the hosts above their share, in descending order of the amounts
    /// held, and each releases only its own part.
    std::int64_t amountToRelease() const
    {
        std::int64_t deficit = deficitOfOthers(m_host) - m_freeSum;
        if (deficit <= 0 || m_held.at(m_host) <= m_roundedDownShare) {
            return 0;
        }
        std::vector<std::pair<std::int64_t, HostId>> holders;
        for (const auto &[member, held] : m_held) {
            if (held > m_roundedDownShare) {
                holders.emplace_back(-held, member);
            }
        }
        std::sort(holders.begin(), holders.end());
        const std::int64_t kept = (m_roundedDownShare * 7 + 7) / 8;
        for (const auto &[negativeHeld, member] : holders) {
            const std::int64_t part = std::min(deficit, -negativeHeld - kept);
            if (member == m_host) {
                return part;
            }
            deficit -= part;
            if (deficit <= 0) {
                break;
            }
        }
        return 0;
    }

    std::int64_t amountToAcquire() const
    {
        const std::int64_t held = m_held.at(m_host);
        const bool muchIsFree = m_freeSum * 8 > m_total;
        if (held >= m_fairShare || (!isFarBelow(held, m_fairShare) && !muchIsFree)) {
            return 0;
        }
        const std::int64_t reserved = isFarBelow(held, m_roundedDownShare) ? 0 : deficitOfOthers(m_host);
        return std::min(m_fairShare - held, std::max<std::int64_t>(0, m_freeSum - reserved));
    }

    /// Tie-breaker that differs between hosts, so that they spread over the resources of a group.
    std::uint64_t order(const ResourceId &resource) const
    {
        const std::string text = m_host.value() + '\n' + resource.value();
        return XXH3_64bits(text.data(), text.size());
    }

    std::int64_t step(std::int64_t amount) const
    {
        return m_group.size() == 1 ? amount : 1;
    }

    void release(std::int64_t amount)
    {
        while (amount > 0) {
            const auto largest = std::max_element(m_planned.begin(), m_planned.end(), [this](const auto &a, const auto &b) {
                return std::make_pair(a.second, order(a.first)) < std::make_pair(b.second, order(b.first));
            });
            const std::int64_t part = std::min(step(amount), largest->second);
            if (part <= 0) {
                return;
            }
            largest->second -= part;
            amount -= part;
        }
    }

    void acquire(std::int64_t amount)
    {
        while (amount > 0) {
            auto best = m_planned.end();
            for (auto candidate = m_planned.begin(); candidate != m_planned.end(); ++candidate) {
                if (m_free[candidate->first] > 0 && (best == m_planned.end() || isBetter(*candidate, *best))) {
                    best = candidate;
                }
            }
            if (best == m_planned.end()) {
                return;
            }
            const std::int64_t part = std::min(step(amount), m_free[best->first]);
            best->second += part;
            m_free[best->first] -= part;
            amount -= part;
        }
    }

    bool isBetter(const Plan::value_type &a, const Plan::value_type &b)
    {
        return std::make_tuple(a.second, -m_free[a.first], order(a.first)) < std::make_tuple(b.second, -m_free[b.first], order(b.first));
    }

    const GrantTable &m_table;
    const HostId &m_host;
    const Group &m_group;
    Plan m_planned;
    Plan m_free;
    std::map<HostId, std::int64_t> m_held;
    std::int64_t m_freeSum = 0;
    std::int64_t m_total = 0;
    std::int64_t m_fairShare = 0;
    std::int64_t m_roundedDownShare = 0;
};

const Resource *find(const std::vector<Resource> &resources, const ResourceId &id)
{
    const auto position = std::find_if(resources.begin(), resources.end(), [&id](const Resource &resource) { return resource.id == id; });
    return position == resources.end() ? nullptr : &*position;
}

std::int64_t proportionalPart(const Resource &resource, const std::vector<Resource> &resources, const Plan &plan)
{
    const Resource *base = find(resources, *resource.proportionalTo);
    if (base == nullptr || base->total == 0) {
        return 0;
    }
    return resource.total * plan.at(base->id) / base->total;
}

} // namespace

std::map<ResourceId, std::int64_t> plannedGrants(const GrantTable &table, const HostId &host, const std::vector<Resource> &resources, std::size_t hosts)
{
    assert(hosts >= 1);
    std::map<std::string, Group> groups;
    for (const Resource &resource : resources) {
        if (!resource.proportionalTo) {
            groups[resource.group.empty() ? "resource " + resource.id.value() : "group " + resource.group].push_back(&resource);
        }
    }
    Plan plan;
    for (const auto &[name, group] : groups) {
        plan.merge(GroupPlanner(table, host, group, hosts).run());
    }
    for (const Resource &resource : resources) {
        if (resource.proportionalTo) {
            const std::int64_t reachable = table.grant(host, resource.id).usable(resource.total) + table.freeAmount(resource);
            plan[resource.id] = std::min(reachable, proportionalPart(resource, resources, plan));
        }
    }
    return plan;
}

} // namespace Trefoil
