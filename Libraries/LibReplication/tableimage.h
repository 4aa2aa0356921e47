#pragma once

#include <LibReplication/feedrow.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Trefoil
{

/// The current rows of one table, kept for hosts that start and would otherwise read the whole table from the store.
/// Thread safety: one thread at a time.
class TableImage
{
public:
    /// Keeps rows of maximumBytes in total; a larger table is not kept. Precondition: none.
    explicit TableImage(std::size_t maximumBytes);

    /// Replaces all rows after a full read. Precondition: none.
    void replace(const FeedRows &table);

    /// Applies changes in order. Precondition: none.
    void apply(const FeedRows &changes);

    /// All rows in the order of their keys; nothing before the first full read, or when the table is too large. Precondition: none.
    std::optional<FeedRows> rows() const;

private:
    void set(const FeedRow &row);

    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::map<std::string, FeedRow> m_rows;
    FeedVersion m_version = 0;
    StoreEra m_era;
    bool m_isComplete = false;
};

} // namespace Trefoil
