#pragma once

#include <LibCore/era.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Values of a change feed: the changes of one table of the store, in the order in which they took effect.
namespace Trefoil
{

/// Value of the store-wide transaction counter; grows with each transaction of an era.
using FeedVersion = std::uint64_t;

/// State of one row after a change.
struct FeedRow
{
    std::string key;
    std::string value;
    FeedVersion version = 0;
    /// The row was removed; value is empty.
    bool removed = false;
};

struct FeedRows
{
    std::vector<FeedRow> rows;
    /// The rows include all changes up to this version.
    FeedVersion version = 0;
    /// The store may hold later changes already, since the answer of a feed is bounded.
    bool mayBePartial = false;
    /// The rows are all rows of the table, not only changed ones.
    bool isWholeTable = false;
    /// How long ago the store confirmed that the rows include all changes; 0 for rows from the store itself.
    std::chrono::milliseconds age{0};
    /// Time since the start of the call to the store that showed this; 0 for rows from the store itself.
    std::chrono::milliseconds proofAge{0};
    /// Era of the store that the rows and the version are from.
    StoreEra era{};
};

/// The feed no longer reaches back to the requested version; the table must be read in full.
struct HistoryTruncated
{
    /// Era of the store that answered.
    StoreEra era{};
};

/// The call failed. A write without a response may still take effect.
struct StoreFailure
{
    std::string reason;
};

using ReadResult = std::variant<FeedRows, StoreFailure>;
using FeedResult = std::variant<FeedRows, HistoryTruncated, StoreFailure>;

} // namespace Trefoil
