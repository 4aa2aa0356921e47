#pragma once

#include <LibConfiguration/configuration.h>
#include <LibCore/result.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Trefoil
{

/// One client block: an IPv4 prefix and the index of its home region.
struct ClientBlock
{
    /// First address in host byte order; bits below the prefix are zero.
    std::uint32_t first = 0;
    /// From 0 to 32.
    std::uint8_t prefixLength = 0;
    std::uint16_t region = 0;
};

/// Home region and partition of an address.
struct LookupEntry
{
    std::uint16_t region = 0;
    /// Identifies the part of the block that contains the address; used to spread callers over hosts.
    std::uint32_t partition = 0;
};

/// Maps client addresses to home regions; the longest prefix wins where blocks nest. Immutable: a new configuration creates a new table.
/// Nested blocks are flattened into sorted disjoint ranges, which are found through an index on the upper 16 bits and a short binary search.
class LookupTable
{
public:
    /// Creates the table of a configuration; all malformed blocks and unknown regions are reported together.
    /// Precondition: none. Thread safety: safe from any thread.
    static Result<LookupTable> create(const Configuration &configuration);

    /// Preconditions: blocks are distinct, and each block's region is an index into regions.
    explicit LookupTable(std::vector<ClientBlock> blocks, std::vector<RegionId> regions);

    /// The entry of an address in host byte order; nothing for an address outside all blocks. Precondition: none. Thread safety: safe from any
    /// thread.
    std::optional<LookupEntry> find(std::uint32_t address) const;

    /// Home region of an address in host byte order; null for an address outside all blocks. Precondition: none. Thread safety: safe from any thread.
    const RegionId *homeRegion(std::uint32_t address) const;

    /// Regions in the order of their indices. Precondition: none. Thread safety: safe from any thread.
    const std::vector<RegionId> &regions() const;

    /// Memory that the arrays occupy. Precondition: none. Thread safety: safe from any thread.
    Bytes memory() const;

private:
    void addRange(std::uint64_t first, std::uint16_t region);
    void buildIndex();

    std::vector<RegionId> m_regions;
    /// First address of each range; a range ends where the next one begins.
    std::vector<std::uint32_t> m_rangeStarts;
    std::vector<std::uint16_t> m_rangeRegions;
    /// For each value of the upper 16 bits, the first range that begins there or later.
    std::vector<std::uint32_t> m_index;
};

} // namespace Trefoil
