#pragma once

#include <LibCore/backoff.h>
#include <LibReplication/feedsharing.h>
#include <LibReplication/feedstore.h>

#include <functional>
#include <memory>

namespace Trefoil
{

/// What a watch tells its owner, all on the thread of the context.
struct TableWatchHandlers
{
    /// All rows of the table.
    std::function<void(const std::vector<FeedRow> &rows)> replace;
    /// Rows that changed since, in order.
    std::function<void(const std::vector<FeedRow> &rows)> change;
    /// The first failure of the store after a success (false), or the first success after a failure (true).
    std::function<void(bool isReachable, const std::string &reason)> reachabilityChanged;
};

/// How often a watch calls the store, whose calls are limited. A call that the store has lost looks like one that it holds: it is
/// noticed, and the change that it would have told is known, after the sum of longestWait and responseTimeout. After a failure, of the store
/// or of the host that was followed, calls aren't held, so that a store that can be reached answers at once.
struct TableWatchTiming
{
    /// After a change, further ones are left to gather for this long.
    std::chrono::milliseconds batchDelay;
    /// How long the store holds a call without changes.
    std::chrono::milliseconds holdTime;
    /// How long the beginning of an answer may take, beyond the hold. A store that needs longer is heard too, as calls after a
    /// failure overlap.
    std::chrono::milliseconds responseTimeout;
    /// From the start of a call that failed to the start of the next one, at most; a call may itself take longer.
    std::chrono::milliseconds maximumRetryInterval;
    /// After a failure of the store or of a publisher, how long the answer to a call is awaited before the next one follows.
    std::chrono::milliseconds probeInterval;
    /// Takes the place of batchDelay and longestWait while this host reads for others.
    PublisherTiming publisher;
};

/// Follows one table: a full read of the store, then the changes from the store's feed or from another host; a full read again
/// when the store has lost the history. Answers that are older than what is known are not used.
/// Thread safety: the thread of the context.
class TableWatch
{
public:
    /// Precondition: context, store and sharing outlive the watch; all handlers are set.
    TableWatch(boost::asio::io_context &context,
        FeedStore &store,
        FeedSharing &sharing,
        std::string table,
        const TableWatchTiming &timing,
        TableWatchHandlers handlers);

    /// Follows the table until the context stops. Precondition: runs in a coroutine of the context.
    void run(const boost::asio::yield_context &yield);

    /// Whether the last call to the store was answered. Precondition: none.
    bool isReachable() const
    {
        return m_isReachable && !m_needsFullRead;
    }

    /// When the store, or a host that reads it, last said what the table holds; unset before the first time. Precondition: none.
    BootTime confirmedAt() const
    {
        return m_confirmedAt;
    }

private:
    struct Probes;
    struct FullReads;

    void recordSuccess();
    void recordFailure(const std::string &reason, BootTime calledAt, std::chrono::milliseconds holdTime);
    void delayRetry(BootTime failedCall, const boost::asio::yield_context &yield);
    bool readFullTable(const boost::asio::yield_context &yield);
    ReadResult awaitFullRead(const boost::asio::yield_context &yield);
    void startFullRead();
    bool readChanges(const boost::asio::yield_context &yield);
    bool readFeed(std::chrono::milliseconds held, std::chrono::milliseconds batchDelay, const boost::asio::yield_context &yield);
    void startProbing();
    void probe(Probes &probes, const boost::asio::yield_context &yield);
    void awaitProbes(const boost::asio::yield_context &yield);
    bool applyResult(const FeedResult &result);
    bool readFromPublisher(const HostId &publisher, const boost::asio::yield_context &yield);
    /// True when some of the changes were not known.
    bool applyChanges(const FeedRows &changes);

    boost::asio::io_context &m_context;
    FeedStore &m_store;
    FeedSharing &m_sharing;
    std::string m_table;
    TableWatchTiming m_timing;
    TableWatchHandlers m_handlers;
    FeedVersion m_version = 0;
    BootTime m_confirmedAt{};
    bool m_needsFullRead = true;
    /// No call for changes was answered since the last full read.
    bool m_isFullReadUnconfirmed = false;
    bool m_isReachable = true;
    std::shared_ptr<FullReads> m_fullReads;
    /// Set while calls after a failure go out, also beside the requests to another publisher.
    std::shared_ptr<Probes> m_probes;
    Backoff m_backoff;
    pcg32 m_random;
};

} // namespace Trefoil
