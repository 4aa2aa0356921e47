#pragma once

#include <LibReplication/feedrow.h>

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace Trefoil
{

/// Bounded log of the latest change of each row of one table, kept for subscribers. Changes that a later one of the same row replaces are discarded: a
/// subscriber that returns after a partition would receive every version of a large configuration. Thread safety: one thread at a time.
class ChangeLog
{
public:
    /// Keeps rows of maximumBytes in total; a single row may exceed it. Precondition: none.
    explicit ChangeLog(std::size_t maximumBytes);

    /// Discards all changes after a full read, which does not contain the changes before it and is of an era of the store. Precondition: none.
    void reset(FeedVersion version, StoreEra era = {});

    /// Era of the store that the changes are from. Precondition: none.
    StoreEra era() const
    {
        return m_era;
    }

    /// Appends changes after the current version, in order. Precondition: reset() was called; the changes are of era().
    void append(const FeedRows &changes);

    /// Returns the latest change of each row that changed after a version; no rows for a version that is ahead of this log. Precondition: the version is of era(), or 0.
    std::variant<FeedRows, HistoryTruncated> since(FeedVersion after) const;

private:
    void discard(std::list<FeedRow>::iterator row);

    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    /// In the order of their versions, one for each key.
    std::list<FeedRow> m_rows;
    std::unordered_map<std::string, std::list<FeedRow>::iterator> m_rowsByKey;
    /// The log contains all changes after this version, apart from replaced ones.
    FeedVersion m_startVersion = 0;
    FeedVersion m_version = 0;
    StoreEra m_era;
    bool m_isInitialized = false;
};

} // namespace Trefoil
