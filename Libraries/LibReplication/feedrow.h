#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Values of a feed: the changes of one table in the store, in the order in which they took effect.
namespace Trefoil
{

/// Taken from one counter of the whole store; grows with each transaction.
using FeedVersion = std::uint64_t;

/// One row as a change left it.
struct FeedRow
{
    std::string key;
    std::string value;
    FeedVersion version = 0;
    /// The row was dropped; it has no value.
    bool removed = false;
};

struct FeedRows
{
    std::vector<FeedRow> rows;
    /// The rows hold all changes up to this version.
    FeedVersion version = 0;
};

/// The history from the version asked for is no longer kept; the table must be read in full.
struct HistoryTruncated
{
};

/// The call failed. A write that got no answer may still be performed.
struct StoreFailure
{
    std::string reason;
};

using ReadResult = std::variant<FeedRows, StoreFailure>;
using FeedResult = std::variant<FeedRows, HistoryTruncated, StoreFailure>;

} // namespace Trefoil
