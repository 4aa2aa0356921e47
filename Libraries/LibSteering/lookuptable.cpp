#include <LibSteering/lookuptable.h>

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <cassert>
#include <limits>
#include <unordered_map>
#include <utility>

namespace Trefoil
{

namespace
{

constexpr std::uint16_t s_noRegion = std::numeric_limits<std::uint16_t>::max();
constexpr unsigned s_indexShift = 16;
constexpr std::size_t s_indexSize = std::size_t{1} << s_indexShift;
constexpr unsigned s_addressBits = 32;

std::uint64_t endOf(const ClientBlock &block)
{
    return std::uint64_t{block.first} + (std::uint64_t{1} << (s_addressBits - block.prefixLength));
}

} // namespace

Result<LookupTable> LookupTable::create(const Configuration &configuration)
{
    std::vector<RegionId> regions;
    std::unordered_map<RegionId, std::uint16_t> indexOf;
    for (const auto &region : configuration.regions) {
        indexOf.emplace(region.id, static_cast<std::uint16_t>(regions.size()));
        regions.push_back(region.id);
    }
    std::vector<ClientBlock> blocks;
    blocks.reserve(configuration.clientBlocks.size());
    Findings findings;
    for (std::size_t i = 0; i < configuration.clientBlocks.size(); ++i) {
        const auto &declared = configuration.clientBlocks[i];
        const std::string path = "/clientBlocks/" + std::to_string(i);
        boost::system::error_code error;
        const auto network = boost::asio::ip::make_network_v4(declared.block, error);
        if (error) {
            findings.push_back({path + "/block", "\"" + declared.block + "\" is not an IPv4 block", "for example 198.51.100.0/24"});
            continue;
        }
        const auto region = indexOf.find(declared.region);
        if (region == indexOf.end()) {
            findings.push_back({path + "/region", "region \"" + declared.region.value() + "\" is not declared", ""});
            continue;
        }
        blocks.push_back({network.network().to_uint(), static_cast<std::uint8_t>(network.prefix_length()), region->second});
    }
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "the client blocks have faults", std::move(findings)};
    }
    return LookupTable(std::move(blocks), std::move(regions));
}

LookupTable::LookupTable(std::vector<ClientBlock> blocks, std::vector<RegionId> regions)
    : m_regions(std::move(regions))
{
    std::sort(blocks.begin(), blocks.end(), [](const ClientBlock &a, const ClientBlock &b) {
        return std::make_pair(a.first, a.prefixLength) < std::make_pair(b.first, b.prefixLength);
    });
    m_rangeStarts.reserve(blocks.size() * 2 + 1);
    m_rangeRegions.reserve(blocks.size() * 2 + 1);
    addRange(0, s_noRegion);
    // Blocks that contain the current position, the outermost first.
    std::vector<ClientBlock> open;
    const auto closeUntil = [this, &open](std::uint64_t position) {
        while (!open.empty() && endOf(open.back()) <= position) {
            const std::uint64_t end = endOf(open.back());
            open.pop_back();
            addRange(end, open.empty() ? s_noRegion : open.back().region);
        }
    };
    for (const auto &block : blocks) {
        assert(block.region < m_regions.size());
        closeUntil(block.first);
        addRange(block.first, block.region);
        open.push_back(block);
    }
    closeUntil(std::uint64_t{1} << s_addressBits);
    m_rangeStarts.shrink_to_fit();
    m_rangeRegions.shrink_to_fit();
    buildIndex();
}

std::optional<LookupEntry> LookupTable::find(std::uint32_t address) const
{
    const std::uint32_t upper = address >> s_indexShift;
    const auto begin = m_rangeStarts.begin() + m_index[upper];
    const auto end = m_rangeStarts.begin() + m_index[upper + 1];
    // The last range that does not begin after the address; it may begin before the index entry. It exists because range 0 begins at address 0.
    const auto range = static_cast<std::size_t>(std::upper_bound(begin, end, address) - m_rangeStarts.begin()) - 1;
    if (m_rangeRegions[range] == s_noRegion) {
        return std::nullopt;
    }
    return LookupEntry{m_rangeRegions[range], static_cast<std::uint32_t>(range)};
}

const RegionId *LookupTable::homeRegion(std::uint32_t address) const
{
    const auto entry = find(address);
    return entry ? &m_regions[entry->region] : nullptr;
}

const std::vector<RegionId> &LookupTable::regions() const
{
    return m_regions;
}

Bytes LookupTable::memory() const
{
    const std::size_t ranges = m_rangeStarts.capacity() * sizeof(std::uint32_t) + m_rangeRegions.capacity() * sizeof(std::uint16_t);
    return Bytes(static_cast<std::int64_t>(ranges + m_index.capacity() * sizeof(std::uint32_t)));
}

void LookupTable::addRange(std::uint64_t first, std::uint16_t region)
{
    if (first >> s_addressBits != 0) {
        return;
    }
    const auto start = static_cast<std::uint32_t>(first);
    if (!m_rangeStarts.empty() && m_rangeStarts.back() == start) {
        // A nested block begins where its outer block does, or a block directly follows another one that has ended.
        m_rangeRegions.back() = region;
        return;
    }
    m_rangeStarts.push_back(start);
    m_rangeRegions.push_back(region);
}

void LookupTable::buildIndex()
{
    m_index.resize(s_indexSize + 1);
    std::size_t range = 0;
    for (std::size_t upper = 0; upper < s_indexSize; ++upper) {
        while (range < m_rangeStarts.size() && (m_rangeStarts[range] >> s_indexShift) < upper) {
            ++range;
        }
        m_index[upper] = static_cast<std::uint32_t>(range);
    }
    m_index[s_indexSize] = static_cast<std::uint32_t>(m_rangeStarts.size());
}

} // namespace Trefoil
