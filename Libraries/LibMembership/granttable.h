#pragma once

#include <LibCore/result.h>
#include <LibMembership/resources.h>

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace Trefoil
{

/// A host's share of a resource, and the resource's total when the share was acquired.
struct Grant
{
    std::int64_t amount = 0;
    std::int64_t total = 0;

    /// Amount that the holder may use while the total is currentTotal: the whole grant, or its proportional part when the
    /// total was lowered.
    std::int64_t usable(std::int64_t currentTotal) const;
};

/// The grants of one region's hosts: the content of the row grants/<region>.
///
/// Invariant of each resource: the sum of amount / total over all grants is at most 1. Each host uses at most
/// floor(amount * min(1, current / total)), so the hosts together stay within any current total. This also holds while
/// some hosts have an older copy of the row, because a host's grant is changed only by the host itself, or by reclaim()
/// after its lease has ended.
/// Thread safety: as for a value.
class GrantTable
{
public:
    static Result<GrantTable> fromJson(const nlohmann::json &value);
    nlohmann::json toJson() const;

    void addMember(const HostId &host);
    const std::set<HostId> &members() const
    {
        return m_members;
    }

    /// The host's grant; zero when it has none.
    Grant grant(const HostId &host, const ResourceId &resource) const;

    /// The part of the resource's current total that hosts can acquire.
    std::int64_t freeAmount(const Resource &resource) const;

    /// Sum of all grants of a resource.
    std::int64_t granted(const ResourceId &resource) const;

    /// ceil(total / hosts). Precondition: hosts is at least 1.
    static std::int64_t fairShare(std::int64_t total, std::size_t hosts);

    /// Adds up to amount to the host's grant, limited by freeAmount(), and returns how much was added.
    /// Preconditions: the host is a member; its grant is zero or refers to the current total; amount is not negative.
    std::int64_t acquire(const HostId &host, const Resource &resource, std::int64_t amount);

    /// Lowers the host's grant to amount, which then refers to the current total.
    /// Preconditions: amount is at most what the host may use of the current total, and the host uses no more than amount.
    void release(const HostId &host, const Resource &resource, std::int64_t amount);

    /// Removes a host and all its grants. Precondition: the host has left, or the conditions of ReclaimAttempt hold.
    void reclaim(const HostId &host);

    /// True when the invariant holds for every resource.
    bool isSound() const;

    /// Resources of which the host holds a grant.
    std::vector<ResourceId> resourcesOf(const HostId &host) const;

private:
    std::set<HostId> m_members;
    std::map<ResourceId, std::map<HostId, Grant>> m_grants;
};

} // namespace Trefoil
