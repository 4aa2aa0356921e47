#pragma once

#include <LibReplication/feedrow.h>

#include <cstddef>
#include <deque>

namespace Trefoil
{

/// The latest changes of one table, kept for hosts that follow this one. Thread safety: one thread at a time.
class ChangeLog
{
public:
    /// The log holds rows of maximumBytes together, and a single one of any size. Precondition: none.
    explicit ChangeLog(std::size_t maximumBytes);

    /// Starts anew after a full read, which doesn't tell what changed before. Precondition: none.
    void reset(FeedVersion version);

    /// Takes changes after the current version, in order. Precondition: reset() was called.
    void append(const FeedRows &changes);

    /// All changes after a version; none for a version that this log hasn't reached. Precondition: none.
    std::variant<FeedRows, HistoryTruncated> since(FeedVersion after) const;

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::deque<FeedRow> m_rows;
    /// Changes after this version are in the log.
    FeedVersion m_startVersion = 0;
    FeedVersion m_version = 0;
    bool m_isInitialized = false;
};

} // namespace Trefoil
