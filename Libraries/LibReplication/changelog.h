#pragma once

#include <LibReplication/feedrow.h>

#include <cstddef>
#include <deque>

namespace Trefoil
{

/// Bounded log of the latest changes of one table, kept for subscribers. Thread safety: one thread at a time.
class ChangeLog
{
public:
    /// Keeps rows of maximumBytes in total; a single row may exceed it. Precondition: none.
    explicit ChangeLog(std::size_t maximumBytes);

    /// Discards all changes after a full read, which does not contain the changes before it. Precondition: none.
    void reset(FeedVersion version);

    /// Appends changes after the current version, in order. Precondition: reset() was called.
    void append(const FeedRows &changes);

    /// Returns all changes after a version; no rows for a version that is ahead of this log. Precondition: none.
    std::variant<FeedRows, HistoryTruncated> since(FeedVersion after) const;

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::deque<FeedRow> m_rows;
    /// The log contains all changes after this version.
    FeedVersion m_startVersion = 0;
    FeedVersion m_version = 0;
    bool m_isInitialized = false;
};

} // namespace Trefoil
