#pragma once

#include <LibReplication/feedrow.h>

#include <boost/asio/spawn.hpp>
#include <chrono>

namespace Trefoil
{

/// How long a call for changes may take.
struct FeedCallTiming
{
    /// The store holds the call for this long while there are no changes.
    std::chrono::milliseconds holdTime;
    /// Beyond that, the call is given up when no answer has begun.
    std::chrono::milliseconds responseTimeout;
};

/// The store's calls by which tables are followed. Thread safety: one thread at a time, the one that runs the context.
class FeedStore
{
public:
    /// All rows of a table. Its pages may be of different times: rows may be newer than the version returned, but not older. The call
    /// is given up when an answer has not begun in time. Precondition: the coroutine runs on the store's context.
    virtual ReadResult readTable(const std::string &table, std::chrono::milliseconds responseTimeout, const boost::asio::yield_context &yield) = 0;

    /// Waits for changes after a version. An answer without rows means that there were none in that time.
    /// Precondition: as for readTable(); wait.held is at most 30 s.
    virtual FeedResult awaitChanges(const std::string &table, FeedVersion after, const FeedCallTiming &timing, const boost::asio::yield_context &yield) = 0;

protected:
    FeedStore() = default;
    ~FeedStore() = default;
    FeedStore(const FeedStore &) = default;
    FeedStore &operator=(const FeedStore &) = default;
};

} // namespace Trefoil
