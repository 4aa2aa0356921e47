#pragma once

#include <LibReplication/changeserver.h>
#include <LibReplication/peerfeed.h>
#include <LibReplication/startsource.h>
#include <LibReplication/subscriptionwait.h>

namespace Trefoil
{

/// Shares the change feeds of the store among the hosts of an availability zone: this host either reads them and publishes the
/// changes, or subscribes to a host that does. Thread safety: the thread of the context.
class FeedSharing
{
public:
    /// Returns the live hosts of the own availability zone, including this one.
    using LiveHosts = std::function<std::vector<HostId>()>;
    /// Returns what this host knows of its zone; the failed hosts are filled in by this object.
    using Knowledge = std::function<StartKnowledge(BootTime now)>;

    /// Precondition: context outlives the object; send and liveHosts are set.
    FeedSharing(boost::asio::io_context &context, PublisherChoiceSettings choice, const PeerFeed::Send &send, LiveHosts liveHosts);

    /// Registers a table whose feed is shared. Precondition: none.
    void addTable(const std::string &table, const PublisherTiming &timing);

    /// Lets the first copies of these tables come from other hosts. Without this call, all are read from the store.
    /// Precondition: knowledge is set.
    void shareStarts(std::set<std::string> tables, Knowledge knowledge);

    /// From where the first copy of a table comes; waits while that is undecided. Precondition: runs in a coroutine of the context.
    std::variant<ReadFromStore, CopyFrom> awaitStartSource(const std::string &table, const boost::asio::yield_context &yield);

    /// Copies a whole table from another host; nothing when it doesn't send one of era() in time.
    /// Precondition: as for awaitChanges().
    std::optional<FeedRows> copyTable(const HostId &host, const std::string &table, const boost::asio::yield_context &yield);

    /// Copies a whole table of era() from a publisher. Returns nothing when it doesn't send one in time; it is then excluded for a while.
    /// Precondition: as for awaitChanges().
    std::optional<FeedRows> copyEra(const HostId &publisher, const std::string &table, const boost::asio::yield_context &yield);

    /// Highest era of the store that this host knows of; 0 before the first answer. Precondition: none.
    StoreEra era() const
    {
        return m_era.value_or(StoreEra());
    }

    /// Records the era that the store or another host stated, and logs a new one. Precondition: none.
    void recordEra(StoreEra era);

    /// Waits until the other hosts of the zone had time to send beacons, so that the role of this host is known. Returns at once in small
    /// zones and without shareStarts(). Precondition: runs in a coroutine of the context.
    void awaitRole(const boost::asio::yield_context &yield);

    /// Current role of this host. Precondition: none.
    FeedRole role(BootTime now) const
    {
        return m_choice.role(m_liveHosts(), now);
    }

    /// As PublisherChoice::substitute(). Precondition: none.
    std::optional<HostId> substitute(BootTime now) const
    {
        return m_choice.substitute(m_liveHosts(), now);
    }

    /// Waits for changes after a position, which the store confirmed at a point in time. Returns nothing when the publisher rejects the
    /// request, does not respond before the copy is too old, or is of an earlier era than era(); it is then excluded for a while, unless it
    /// is of a later era than the request.
    /// Precondition: runs in a coroutine of the context; addTable() was called for the table.
    std::optional<FeedRows> awaitChanges(
        const HostId &publisher, const std::string &table, const StorePosition &after, BootTime confirmedAt, const boost::asio::yield_context &yield);

    /// Handles a message from another host; messages unrelated to feeds are ignored. Precondition: none.
    void receive(const HostId &from, const PeerMessage &message, BootTime now);

    /// Responds to subscribers whose wait is over, and rejects their requests once this host has lost the store, until the context stops.
    /// Precondition: runs in a coroutine of the context.
    void serveSubscribers(const boost::asio::yield_context &yield);

    /// Serves the subscribers of this host. Precondition: none.
    ChangeServer &server()
    {
        return m_server;
    }

private:
    boost::asio::io_context &m_context;
    PublisherChoice m_choice;
    PeerFeed m_feed;
    ChangeServer m_server;
    LiveHosts m_liveHosts;
    std::map<std::string, PublisherTiming> m_timings;
    std::set<std::string> m_sharedStarts;
    Knowledge m_knowledge;
    /// Hosts that sent no copy to this one while it started.
    std::set<HostId> m_failedStartSources;
    /// Unset before the first answer.
    std::optional<StoreEra> m_era;
};

} // namespace Trefoil
