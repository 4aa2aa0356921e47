#pragma once

#include <LibMembership/granttable.h>

namespace Trefoil
{

/// The grants that a host should hold, from the present ones: more where a part is free and the host has less than its
/// fair share, less where another host lacks its share. Shares within an eighth are left alone, so that in a large region
/// a host that joins costs at most about eight releases, and one that restarts none.
/// Preconditions: hosts, the number among which the totals are divided, is at least 1; host is a member.
/// Thread safety: safe from any thread.
std::map<ResourceId, std::int64_t> plannedGrants(const GrantTable &table, const HostId &host, const std::vector<Resource> &resources, std::size_t hosts);

} // namespace Trefoil
