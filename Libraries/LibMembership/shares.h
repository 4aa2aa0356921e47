#pragma once

#include <LibMembership/granttable.h>

namespace Trefoil
{

/// Computes the grants that a host should hold, from the current ones: more where part of a resource is free and the host
/// holds less than its fair share, less where another host falls short of its share. Deviations of up to an eighth of a
/// share are left as they are, so that in a large region a host that joins causes at most about eight releases, and a host
/// that restarts causes none.
/// Preconditions: hosts, the number of hosts among which the totals are divided, is at least 1; host is a member.
/// Thread safety: safe from any thread.
std::map<ResourceId, std::int64_t> plannedGrants(const GrantTable &table, const HostId &host, const std::vector<Resource> &resources, std::size_t hosts);

} // namespace Trefoil
