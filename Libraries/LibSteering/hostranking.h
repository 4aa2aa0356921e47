#pragma once

#include <LibConfiguration/configuration.h>

#include <cstdint>
#include <vector>

namespace Trefoil
{

/// A host as the ranking sees it.
struct RankedHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    bool leaving = false;
};

/// Hosts that a caller should try, in order: those of its home region first, spread over zones by a hash of block and host, then those
/// of the other regions by delay. Leaving hosts are omitted. Immutable: each change of the host list makes a new ranking.
/// The orders are computed ahead for a fixed number of partitions of the client blocks, so that a look-up only reads one.
class HostRanking
{
public:
    /// Precondition: hosts outlive no call; ranks are indices into this list. regions are in the order of the look-up table.
    HostRanking(const std::vector<RankedHost> &hosts, const std::vector<RegionId> &regions, const std::vector<LinkConfiguration> &links);

    /// Indices of hosts, best first. partition is that of the look-up entry.
    /// Precondition: region is an index into the regions. Thread safety: safe from any thread; no allocation.
    const std::vector<std::uint16_t> &rank(std::uint16_t region, std::uint32_t partition) const;

private:
    using Order = std::vector<std::uint16_t>;

    std::size_t m_regionCount = 0;
    /// One order for each partition and home region.
    std::vector<Order> m_orders;
};

} // namespace Trefoil
