#pragma once

#include <LibCore/strongid.h>

#include <cstddef>
#include <vector>

namespace Trefoil
{

/// Number of guardians of a host, where the deployment has enough other hosts.
constexpr std::size_t s_targetGuardianCount = 5;

struct GuardianCandidate
{
    HostId id;
    RegionId region;
    ZoneId zone;
};

/// Chooses up to 3 guardians from the host's region, in different availability zones where possible, and up to 2 from
/// other regions. The candidates are ranked by a hash that differs for each host, so that the load is spread; preferred
/// candidates rank first, so that responsive guardians are kept.
/// Precondition: self is not among the candidates. Thread safety: safe from any thread.
std::vector<HostId> chooseGuardians(const GuardianCandidate &self, const std::vector<GuardianCandidate> &candidates, const std::vector<HostId> &preferred = {});

} // namespace Trefoil
