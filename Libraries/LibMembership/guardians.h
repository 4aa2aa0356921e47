#pragma once

#include <LibCore/strongid.h>

#include <cstddef>
#include <vector>

namespace Trefoil
{

/// Number of guardians of a host in a deployment that is large enough.
constexpr std::size_t s_targetGuardianCount = 5;

struct GuardianCandidate
{
    HostId id;
    RegionId region;
    ZoneId zone;
};

/// Chooses up to 3 guardians of the host's region, in different availability zones where possible, and up to 2 of other
/// regions. Each host ranks the candidates in an order of its own, so that the load spreads; preferred candidates come
/// first, so that guardians that work are kept.
/// Precondition: self is not among the candidates. Thread safety: safe from any thread.
std::vector<HostId> chooseGuardians(const GuardianCandidate &self, const std::vector<GuardianCandidate> &candidates, const std::vector<HostId> &preferred = {});

} // namespace Trefoil
