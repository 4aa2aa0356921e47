#pragma once

#include <LibReplication/feedrow.h>

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>

namespace Trefoil
{

/// Time limits of a long-polling call for changes.
struct FeedCallTiming
{
    /// The store holds the call open for this long while there are no changes.
    std::chrono::milliseconds holdTime;
    /// The call fails when no response has begun this long after the hold time.
    std::chrono::milliseconds responseTimeout;
    /// Called when the response has begun to arrive; may be empty.
    std::function<void()> responseBegan{};
};

/// Read access to the tables of the store and their change feeds. Thread safety: one thread at a time, the one that runs the context.
class FeedStore
{
public:
    /// Reads all rows of a table. Pages may be from different times: rows may be newer than the returned version, but not older. The
    /// call fails when the response to a page has not begun within responseTimeout.
    /// Precondition: the coroutine runs on the store's context.
    virtual ReadResult readTable(const std::string &table, std::chrono::milliseconds responseTimeout, const boost::asio::yield_context &yield) = 0;

    /// Waits for changes after a version. A result without rows means that there were none within the hold time.
    /// Precondition: as for readTable(); timing.holdTime is at most 30 s.
    virtual FeedResult awaitChanges(const std::string &table, FeedVersion after, const FeedCallTiming &timing, const boost::asio::yield_context &yield) = 0;

protected:
    FeedStore() = default;
    ~FeedStore() = default;
    FeedStore(const FeedStore &) = default;
    FeedStore &operator=(const FeedStore &) = default;
};

} // namespace Trefoil
