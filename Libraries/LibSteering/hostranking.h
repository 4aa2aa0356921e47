#pragma once

#include <LibConfiguration/configuration.h>

#include <cstdint>
#include <vector>

namespace Trefoil
{

/// The properties of a host that the ranking uses.
struct RankedHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    bool leaving = false;
};

/// Orders the hosts that a caller should try: those of its home region first, spread over zones by a hash of block and host, then those of the other
/// regions by delay. Leaving hosts are omitted. Immutable: each change of the host list creates a new ranking.
/// The orders are precomputed for a fixed number of partitions of the client blocks, so that a look-up only reads one.
class HostRanking
{
public:
    /// Computes all orders; hosts is not referenced after the call, and rank() returns indices into it.
    /// Precondition: regions are in the order of the look-up table.
    HostRanking(const std::vector<RankedHost> &hosts, const std::vector<RegionId> &regions, const std::vector<LinkConfiguration> &links);

    /// Indices of hosts, best first. partition is that of the look-up entry.
    /// Precondition: region is an index into the regions. Thread safety: safe from any thread; does not allocate.
    const std::vector<std::uint16_t> &rank(std::uint16_t region, std::uint32_t partition) const;

private:
    using Order = std::vector<std::uint16_t>;

    std::size_t m_regionCount = 0;
    /// One order for each combination of partition and home region.
    std::vector<Order> m_orders;
};

} // namespace Trefoil
