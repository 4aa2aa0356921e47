#include <LibMembership/granttable.h>

#include <algorithm>
#include <cassert>

namespace Trefoil
{

using nlohmann::json;

namespace
{

/// Maximum total that the configuration allows; products of a grant and a total then fit into 64 bits.
constexpr std::int64_t s_maximumTotal = 1000000000;

std::int64_t scaledDown(std::int64_t amount, std::int64_t numerator, std::int64_t denominator)
{
    assert(denominator > 0);
    return amount * numerator / denominator;
}

std::int64_t scaledUp(std::int64_t amount, std::int64_t numerator, std::int64_t denominator)
{
    assert(denominator > 0);
    return (amount * numerator + denominator - 1) / denominator;
}

/// Sums of the grants, by the total to which they refer.
std::map<std::int64_t, std::int64_t> sumsByTotal(const std::map<HostId, Grant> &grants)
{
    std::map<std::int64_t, std::int64_t> sums;
    for (const auto &[host, grant] : grants) {
        sums[grant.total] += grant.amount;
    }
    return sums;
}

/// True when the fractions amount / total add up to at most 1.
bool isWithinTotals(const std::map<std::int64_t, std::int64_t> &sums)
{
    // Allows for rounding. The smallest possible grant, 1 of the maximum total, is a thousand times larger.
    constexpr long double tolerance = 1e-12L;
    long double fraction = 0;
    for (const auto &[total, amount] : sums) {
        fraction += static_cast<long double>(amount) / static_cast<long double>(total);
    }
    return fraction <= 1 + tolerance;
}

bool isCount(const json &value)
{
    return value.is_number_integer() && value >= 0 && value <= s_maximumTotal;
}

bool isGrant(const json &value)
{
    return value.is_array() && value.size() == 2 && isCount(value[0]) && isCount(value[1]) && value[0] <= value[1] && value[0] > 0;
}

} // namespace

std::int64_t Grant::usable(std::int64_t currentTotal) const
{
    if (currentTotal >= total) {
        return amount;
    }
    return scaledDown(amount, currentTotal, total);
}

Result<GrantTable> GrantTable::fromJson(const json &value)
{
    const Error error{ErrorCode::Protocol, "the row of grants is malformed"};
    if (!value.is_object() || !value.contains("members") || !value["members"].is_array() || !value.contains("grants") || !value["grants"].is_object()) {
        return error;
    }
    GrantTable table;
    for (const auto &member : value["members"]) {
        if (!member.is_string()) {
            return error;
        }
        table.addMember(HostId(member.get<std::string>()));
    }
    for (const auto &[resource, grants] : value["grants"].items()) {
        if (!grants.is_object()) {
            return error;
        }
        for (const auto &[host, grant] : grants.items()) {
            if (!isGrant(grant) || table.m_members.count(HostId(host)) == 0) {
                return error;
            }
            table.m_grants[ResourceId(resource)][HostId(host)] = {grant[0].get<std::int64_t>(), grant[1].get<std::int64_t>()};
        }
    }
    if (!table.isSound()) {
        return Error{ErrorCode::Protocol, "the row of grants exceeds a total"};
    }
    return table;
}

json GrantTable::toJson() const
{
    json members = json::array();
    for (const auto &member : m_members) {
        members.push_back(member.value());
    }
    json resources = json::object();
    for (const auto &[resource, grants] : m_grants) {
        json &entry = resources[resource.value()] = json::object();
        for (const auto &[host, grant] : grants) {
            entry[host.value()] = {grant.amount, grant.total};
        }
    }
    return {{"members", std::move(members)}, {"grants", std::move(resources)}};
}

void GrantTable::addMember(const HostId &host)
{
    m_members.insert(host);
}

Grant GrantTable::grant(const HostId &host, const ResourceId &resource) const
{
    const auto position = m_grants.find(resource);
    if (position == m_grants.end()) {
        return {};
    }
    const auto entry = position->second.find(host);
    return entry == position->second.end() ? Grant{} : entry->second;
}

std::int64_t GrantTable::freeAmount(const Resource &resource) const
{
    const auto position = m_grants.find(resource.id);
    if (position == m_grants.end()) {
        return resource.total;
    }
    std::int64_t used = 0;
    std::int64_t sum = 0;
    for (const auto &[total, amount] : sumsByTotal(position->second)) {
        used += scaledUp(amount, resource.total, total);
        sum += amount;
    }
    // Hosts that have not applied a lowered total yet may still use their whole grants.
    return std::max<std::int64_t>(0, resource.total - std::max(used, sum));
}

std::int64_t GrantTable::granted(const ResourceId &resource) const
{
    const auto position = m_grants.find(resource);
    std::int64_t sum = 0;
    if (position != m_grants.end()) {
        for (const auto &[host, grant] : position->second) {
            sum += grant.amount;
        }
    }
    return sum;
}

std::int64_t GrantTable::fairShare(std::int64_t total, std::size_t hosts)
{
    const auto count = static_cast<std::int64_t>(hosts);
    return (total + count - 1) / count;
}

std::int64_t GrantTable::acquire(const HostId &host, const Resource &resource, std::int64_t amount)
{
    assert(m_members.count(host) != 0);
    assert(amount >= 0);
    const std::int64_t acquired = std::min(amount, freeAmount(resource));
    if (acquired <= 0) {
        return 0;
    }
    Grant &grant = m_grants[resource.id][host];
    assert(grant.amount == 0 || grant.total == resource.total);
    grant = {grant.amount + acquired, resource.total};
    return acquired;
}

void GrantTable::release(const HostId &host, const Resource &resource, std::int64_t amount)
{
    assert(amount >= 0 && amount <= grant(host, resource.id).usable(resource.total));
    const auto position = m_grants.find(resource.id);
    if (position == m_grants.end()) {
        return;
    }
    if (amount > 0) {
        position->second[host] = {amount, resource.total};
        return;
    }
    position->second.erase(host);
    if (position->second.empty()) {
        m_grants.erase(position);
    }
}

void GrantTable::reclaim(const HostId &host)
{
    m_members.erase(host);
    for (auto position = m_grants.begin(); position != m_grants.end();) {
        position->second.erase(host);
        position = position->second.empty() ? m_grants.erase(position) : std::next(position);
    }
}

bool GrantTable::isSound() const
{
    return std::all_of(m_grants.begin(), m_grants.end(), [](const auto &entry) { return isWithinTotals(sumsByTotal(entry.second)); });
}

std::vector<ResourceId> GrantTable::resourcesOf(const HostId &host) const
{
    std::vector<ResourceId> resources;
    for (const auto &[resource, grants] : m_grants) {
        if (grants.count(host) != 0) {
            resources.push_back(resource);
        }
    }
    return resources;
}

} // namespace Trefoil
