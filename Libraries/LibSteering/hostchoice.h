#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Trefoil
{

/// What a host can carry; 0 for a figure that is not known.
struct HostCapacity
{
    /// Part of a processor core.
    double cores = 0;
    double linkMegabits = 0;
    double descriptors = 0;
};

/// A live host among which entry hosts are chosen.
struct EntryHostCandidate
{
    /// Stable hash of the host's id; it orders hosts of equal capacity.
    std::uint64_t hash = 0;
    HostCapacity capacity;
};

/// Requests per second that a host can carry, by the scarcest of the resources that are known; 0 when none is known. Only the ratio between two
/// hosts is meaningful. Precondition: no figure is negative. Thread safety: safe from any thread.
double carriedRequests(const HostCapacity &capacity);

/// Chooses the hosts that callers are sent to, and returns their indices in ascending order.
/// Callers spread evenly over the hosts that a look-up lists, so that a list carries as much as its weakest host times the number of hosts. The
/// strongest hosts are listed whose list carries the most after losing one of two or three hosts, or two of more: a weaker host is added only where
/// the list carries more with it. The choice depends on the candidates alone, not on measured load, so that hosts that know of the same live hosts
/// choose alike. Hosts without a known figure count as the average of the others.
/// Precondition: no figure is negative. Thread safety: safe from any thread.
std::vector<std::size_t> chooseEntryHosts(const std::vector<EntryHostCandidate> &candidates);

} // namespace Trefoil
