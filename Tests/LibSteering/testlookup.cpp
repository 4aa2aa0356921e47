#include <LibSteering/hostranking.h>
#include <LibSteering/lookuptable.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <map>
#include <pcg_random.hpp>
#include <string>

using namespace Trefoil;

namespace
{

std::vector<RegionId> regionNames(int count)
{
    std::vector<RegionId> regions;
    regions.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        regions.emplace_back("region" + std::to_string(i));
    }
    return regions;
}

std::uint32_t maskOf(unsigned prefixLength)
{
    return prefixLength == 0 ? 0 : ~std::uint32_t{0} << (32 - prefixLength);
}

/// Region of the longest prefix that contains the address, by a search over all blocks; -1 outside all blocks.
int regionByLinearSearch(const std::vector<ClientBlock> &blocks, std::uint32_t address)
{
    int best = -1;
    int bestLength = -1;
    for (const auto &block : blocks) {
        if ((address & maskOf(block.prefixLength)) == block.first && block.prefixLength > bestLength) {
            best = block.region;
            bestLength = block.prefixLength;
        }
    }
    return best;
}

} // namespace

// Guards against wrong home regions where blocks nest, are adjacent, or reach the ends of the address space.
Test(LookupTable, agreesWithSearchOverAllBlocks)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        pcg32 generator(seed);
        std::map<std::pair<std::uint32_t, unsigned>, ClientBlock> distinct;
        for (std::uint32_t i = 0; i < 1 + generator(60); ++i) {
            // Few distinct upper bits make blocks nest; they include the ends of the address space.
            const auto length = static_cast<std::uint8_t>(generator(20) == 0 ? generator(33) : 4 + generator(29));
            const std::uint32_t upper = generator(3) == 0 ? 0xffff0000U : generator(4) << 24U;
            const std::uint32_t first = (upper | (generator() & 0x0003ffffU)) & maskOf(length);
            distinct[{first, length}] = {first, length, static_cast<std::uint16_t>(generator(5))};
        }
        std::vector<ClientBlock> blocks;
        blocks.reserve(distinct.size());
        for (const auto &entry : distinct) {
            blocks.push_back(entry.second);
        }
        const LookupTable table(blocks, regionNames(5));
        const auto check = [&](std::uint32_t address) {
            const auto found = table.find(address);
            cr_assert_eq(found ? found->region : -1, regionByLinearSearch(blocks, address), "seed %u address %u", seed, address);
        };
        for (const auto &block : blocks) {
            const std::uint32_t last = block.first | ~maskOf(block.prefixLength);
            for (const std::uint32_t address : {block.first - 1, block.first, last, last + 1}) {
                check(address);
            }
        }
        for (int i = 0; i < 200; ++i) {
            check(generator());
        }
    }
}

// Guards against a configuration of which only the first error is reported, and against a wrong byte order.
Test(LookupTable, createdFromConfiguration)
{
    Configuration configuration;
    for (const char *region : {"gulf", "plains"}) {
        configuration.regions.push_back({RegionId(region), {}});
    }
    configuration.clientBlocks = {{"10.0.0.0/8", RegionId("gulf")}, {"10.1.0.0/16", RegionId("plains")}};
    const auto table = LookupTable::create(configuration);
    cr_assert(table.has_value());
    cr_assert_eq(table.value().homeRegion(0x0a000001)->value(), "gulf");
    cr_assert_eq(table.value().homeRegion(0x0a010001)->value(), "plains");
    cr_assert_null(table.value().homeRegion(0x0b000001));
    configuration.clientBlocks = {{"10.0.0.0/33", RegionId("gulf")}, {"10.1.0.0/16", RegionId("hill")}};
    cr_assert_eq(LookupTable::create(configuration).error().findings.size(), 2);
}

// Guards against leaving hosts in the order, a wrong order of regions, a second choice in the same zone, and hosts to which no caller is sent.
Test(HostRanking, homeRegionThenByDelaySpreadOverZones)
{
    const auto regions = regionNames(3);
    std::vector<RankedHost> hosts;
    for (int i = 0; i < 12; ++i) {
        const int region = i % 3;
        const std::string zone = "zone" + std::to_string(region) + (i / 3 % 2 == 0 ? "a" : "b");
        hosts.push_back({HostId("host" + std::to_string(i)), regions[static_cast<std::size_t>(region)], ZoneId(zone), i == 0});
    }
    std::vector<LinkConfiguration> links;
    links.push_back({regions[0], regions[1], Milliseconds(20), KilobitsPerSecond(1)});
    links.push_back({regions[0], regions[2], Milliseconds(10), KilobitsPerSecond(1)});
    links.push_back({regions[1], regions[2], Milliseconds(30), KilobitsPerSecond(1)});
    const HostRanking ranking(hosts, regions, links);
    std::map<std::uint16_t, int> leads;
    for (std::uint32_t partition = 0; partition < 4000; ++partition) {
        const auto &order = ranking.rank(0, partition);
        cr_assert_eq(order.size(), 3 + 2 + 2);
        for (std::size_t i = 0; i < order.size(); ++i) {
            cr_assert_neq(order[i], 0, "a leaving host is ranked");
            const std::size_t expected = i < 3 ? 0 : (i < 5 ? 2 : 1);
            cr_assert_eq(hosts[order[i]].region, regions[expected], "position %zu", i);
        }
        cr_assert_neq(hosts[order[0]].zone, hosts[order[1]].zone);
        ++leads[order[0]];
    }
    cr_assert_eq(leads.size(), 3);
    for (const auto &[host, count] : leads) {
        cr_assert(count > 900 && count < 1800, "host %d leads %d of 4000", host, count);
    }
}
