#pragma once

#include <LibCore/backoff.h>
#include <LibReplication/feedsharing.h>
#include <LibReplication/feedstore.h>

#include <functional>
#include <memory>
#include <optional>

namespace Trefoil
{

/// Callbacks of a watch, all called on the thread of the context.
struct TableWatchHandlers
{
    /// The table was read in full; the rows replace all earlier ones.
    std::function<void(const FeedRows &table)> replace;
    /// Rows that have changed since, in order.
    std::function<void(const std::vector<FeedRow> &rows)> change;
    /// The first failed call to the store after a success (false), or the first successful one after a failure (true).
    std::function<void(bool isReachable, const std::string &reason)> reachabilityChanged;
};

/// How often a watch calls the store; the store limits the rate of calls. A lost call looks like one that the store holds: it is
/// noticed, and a change that it would have delivered is received, after the sum of holdTime and responseTimeout. After a failure of
/// the store or of the publisher, calls are not held, so that a reachable store responds at once.
struct TableWatchTiming
{
    /// Delay after a change, in which further changes are batched.
    std::chrono::milliseconds batchDelay;
    /// How long the store holds a call while there are no changes.
    std::chrono::milliseconds holdTime;
    /// How long after the hold time a response may begin. Responses of a slower store are used too, since calls after a failure
    /// overlap.
    std::chrono::milliseconds responseTimeout;
    /// Upper bound from the start of a failed call to the start of the next one; a call itself may take longer.
    std::chrono::milliseconds maximumRetryInterval;
    /// After a failure of the store or of a publisher, how long a call may be unanswered before the next one is sent.
    std::chrono::milliseconds probeInterval;
    /// Replaces batchDelay and holdTime while this host is a publisher.
    PublisherTiming publisher;
    /// Age of the copy's last proof from which the store is called without a hold, whatever the publisher says. Unset if the age doesn't matter.
    std::optional<std::chrono::milliseconds> maximumProofAge{};
};

/// Keeps a copy of one table current: reads it in full, then applies the changes from the store's feed or from a publisher, and
/// reads it in full again when the store has truncated its history or has come back from an older copy. Responses older than the current version, or of
/// an earlier era than the one that FeedSharing knows, are ignored.
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

    /// Watches the table until the context stops. Precondition: runs in a coroutine of the context.
    void run(const boost::asio::yield_context &yield);

    /// The store has answered a call for another table, so that one for this table is worth an immediate try. Precondition: none.
    void retryNow();

    /// Whether the last call to the store succeeded and no full read is due. Precondition: none.
    bool isReachable() const
    {
        return m_isReachable && !isFullReadDue();
    }

    /// Era of the copy; within the handlers, that of the rows that they get. Precondition: none.
    StoreEra era() const
    {
        return m_era;
    }

    /// When the store or a publisher last confirmed that the copy is current; unset before the first time. Precondition: none.
    BootTime confirmedAt() const
    {
        return m_confirmedAt;
    }

    /// Start of the latest call to the store, by this host or the one that the copy is from, that showed that the copy was current. A change that
    /// the copy lacks was acknowledged later. Unset before the first such call. Precondition: none.
    BootTime provenAt() const
    {
        return m_provenAt;
    }

private:
    struct Probes;
    struct FullReads;

    /// Whether the copy can't be brought up to date by changes.
    bool isFullReadDue() const
    {
        return m_needsFullRead || (m_hasTable && m_era < m_sharing.era());
    }
    /// Records the era of an answer. One of an earlier era counts as a failed call.
    template<typename Answer>
    Answer checkEra(Answer answer);

    /// The store has answered a call; the copy is current unless the answer was partial.
    void recordSuccess(bool isCurrent, BootTime calledAt);
    /// Calls the store itself each time the copy's last proof reaches the age at which that is due, until the context stops.
    void renewProofs(std::chrono::milliseconds maximumAge, const boost::asio::yield_context &yield);
    void recordFailure(const std::string &reason, BootTime calledAt, std::chrono::milliseconds holdTime);
    void delayRetry(BootTime failedCall, const boost::asio::yield_context &yield);
    bool readFullTable(const boost::asio::yield_context &yield);
    /// Copies the table from another host at the start. False when it is to be read from the store.
    bool copyTable(const boost::asio::yield_context &yield);
    /// Copies the table from a publisher when a later era of the store is known. False when it is to be read from the store.
    bool copyNewEra(const boost::asio::yield_context &yield);
    void replaceTable(const FeedRows &table);
    ReadResult awaitFullRead(const boost::asio::yield_context &yield);
    void startFullRead();
    bool readChanges(const boost::asio::yield_context &yield);
    bool readFeed(std::chrono::milliseconds holdTime, std::chrono::milliseconds batchDelay, const boost::asio::yield_context &yield);
    void startProbing();
    void probe(Probes &probes, const boost::asio::yield_context &yield);
    void awaitProbes(const boost::asio::yield_context &yield);
    /// The call began at calledAt with a version of calledEra.
    bool applyResult(const FeedResult &result, BootTime calledAt, StoreEra calledEra);
    bool readFromPublisher(const HostId &publisher, const boost::asio::yield_context &yield);
    void applyPublished(const FeedRows &changes, BootTime requestedAt, StoreEra requestedEra);
    /// Applies the changes after the current version; returns whether there were any.
    bool applyChanges(const FeedRows &changes);

    boost::asio::io_context &m_context;
    FeedStore &m_store;
    FeedSharing &m_sharing;
    std::string m_table;
    TableWatchTiming m_timing;
    TableWatchHandlers m_handlers;
    FeedVersion m_version = 0;
    StoreEra m_era;
    BootTime m_confirmedAt{};
    BootTime m_provenAt{};
    bool m_needsFullRead = true;
    /// Whether the table was read or copied in full since the start.
    bool m_hasTable = false;
    /// Whether the other hosts had time to show which of them publish the feeds.
    bool m_isRoleKnown = false;
    /// No call for changes has succeeded since the last full read.
    bool m_isFullReadUnconfirmed = false;
    /// The last answer of the feed left changes out, so that the next call must not wait.
    bool m_hasBacklog = false;
    bool m_isReachable = true;
    std::shared_ptr<FullReads> m_fullReads;
    /// Set while probes are sent after a failure, also in parallel to requests to another publisher.
    std::shared_ptr<Probes> m_probes;
    Backoff m_backoff;
    pcg32 m_random;
};

} // namespace Trefoil
