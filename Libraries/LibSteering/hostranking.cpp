#define XXH_INLINE_ALL
#include <LibSteering/hostranking.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>
#include <xxhash.h>

namespace Trefoil
{

namespace
{

/// Large enough that nearly all of the 170 hosts of a region come first in some partition, and small enough to recompute all orders at each change
/// of the host list.
constexpr std::size_t s_partitions = 512;
/// Maximum number of hosts listed for the home region.
constexpr std::size_t s_homeRegionHosts = 4;
/// Maximum number of hosts listed for each other region.
constexpr std::size_t s_otherRegionHosts = 2;

std::chrono::milliseconds delayBetween(const RegionId &from, const RegionId &to, const std::vector<LinkConfiguration> &links)
{
    for (const auto &link : links) {
        if ((link.from == from && link.to == to) || (link.from == to && link.to == from)) {
            return link.delay;
        }
    }
    return std::chrono::milliseconds::max();
}

/// Hosts of a region that are not leaving, at most s_homeRegionHosts, for one partition by descending hash. The first two are in different zones where
/// possible.
std::vector<std::uint16_t> orderInRegion(const std::vector<RankedHost> &hosts, const RegionId &region, std::size_t partition)
{
    std::vector<std::pair<XXH64_hash_t, std::uint16_t>> scored;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (hosts[i].region != region || hosts[i].leaving) {
            continue;
        }
        const auto &name = hosts[i].id.value();
        scored.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), partition), static_cast<std::uint16_t>(i));
    }
    std::sort(scored.rbegin(), scored.rend());
    if (scored.size() > 2) {
        const ZoneId &leader = hosts[scored.front().second].zone;
        const auto other = std::find_if(scored.begin() + 1, scored.end(), [&](const auto &entry) { return hosts[entry.second].zone != leader; });
        if (other != scored.end()) {
            std::rotate(scored.begin() + 1, other, other + 1);
        }
    }
    std::vector<std::uint16_t> order;
    order.reserve(s_homeRegionHosts);
    for (std::size_t i = 0; i < std::min(s_homeRegionHosts, scored.size()); ++i) {
        order.push_back(scored[i].second);
    }
    return order;
}

/// Regions by delay; those of equal delay are rotated by the partition, so that the callers of a failed region spread over them.
std::vector<std::size_t> rotatedTies(std::vector<std::size_t> byDelay,
    std::size_t partition,
    const std::vector<RegionId> &regions,
    const RegionId &home,
    const std::vector<LinkConfiguration> &links)
{
    for (auto begin = byDelay.begin(); begin != byDelay.end();) {
        const auto delay = delayBetween(home, regions[*begin], links);
        const auto end = std::find_if(begin, byDelay.end(), [&](std::size_t other) { return delayBetween(home, regions[other], links) != delay; });
        std::rotate(begin, begin + static_cast<std::ptrdiff_t>(partition) % (end - begin), end);
        begin = end;
    }
    return byDelay;
}

} // namespace

HostRanking::HostRanking(const std::vector<RankedHost> &hosts, const std::vector<RegionId> &regions, const std::vector<LinkConfiguration> &links)
    : m_regionCount(regions.size())
{
    assert(hosts.size() < std::numeric_limits<std::uint16_t>::max());
    // For each region, the other regions from the nearest to the farthest.
    std::vector<std::vector<std::size_t>> byDelay(regions.size());
    for (std::size_t home = 0; home < regions.size(); ++home) {
        for (std::size_t other = 0; other < regions.size(); ++other) {
            if (other != home) {
                byDelay[home].push_back(other);
            }
        }
        std::stable_sort(byDelay[home].begin(), byDelay[home].end(), [&](std::size_t a, std::size_t b) {
            return delayBetween(regions[home], regions[a], links) < delayBetween(regions[home], regions[b], links);
        });
    }
    m_orders.reserve(s_partitions * regions.size());
    for (std::size_t partition = 0; partition < s_partitions; ++partition) {
        std::vector<Order> ordersByRegion;
        ordersByRegion.reserve(regions.size());
        for (const auto &region : regions) {
            ordersByRegion.push_back(orderInRegion(hosts, region, partition));
        }
        for (std::size_t home = 0; home < regions.size(); ++home) {
            Order order = ordersByRegion[home];
            for (const std::size_t other : rotatedTies(byDelay[home], partition, regions, regions[home], links)) {
                const auto end = ordersByRegion[other].begin() + static_cast<std::ptrdiff_t>(std::min(s_otherRegionHosts, ordersByRegion[other].size()));
                order.insert(order.end(), ordersByRegion[other].begin(), end);
            }
            m_orders.push_back(std::move(order));
        }
    }
}

const std::vector<std::uint16_t> &HostRanking::rank(std::uint16_t region, std::uint32_t partition) const
{
    assert(region < m_regionCount);
    // Multiplicative hashing by 2^32 over the golden ratio, so that neighbouring blocks fall into different partitions.
    constexpr std::uint32_t spread = 2654435769U;
    constexpr unsigned shift = 23;
    static_assert(s_partitions == std::size_t{1} << (32U - shift));
    return m_orders[((partition * spread) >> shift) * m_regionCount + region];
}

} // namespace Trefoil
