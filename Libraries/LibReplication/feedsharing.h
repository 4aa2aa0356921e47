#pragma once

#include <LibReplication/changeserver.h>
#include <LibReplication/peerfeed.h>
#include <LibReplication/publisherchoice.h>

namespace Trefoil
{

/// Timing of a publisher; the sum bounds how long the host and its subscribers take to notice that the store is unreachable.
struct PublisherTiming
{
    /// Delay after a change, in which further changes are batched.
    std::chrono::milliseconds batchDelay;
    /// How long the store, and a publisher, hold a request while there are no changes.
    std::chrono::milliseconds holdTime;
    /// A response that is later than the hold time by this much counts as lost.
    std::chrono::milliseconds responseMargin;
};

/// Shares the change feeds of the store among the hosts of an availability zone: this host either reads them and publishes the
/// changes, or subscribes to a host that does. Thread safety: the thread of the context.
class FeedSharing
{
public:
    /// Returns the live hosts of the own availability zone, including this one.
    using LiveHosts = std::function<std::vector<HostId>()>;

    /// Precondition: context outlives the object; send and liveHosts are set.
    FeedSharing(boost::asio::io_context &context, PublisherChoiceSettings choice, const PeerFeed::Send &send, LiveHosts liveHosts);

    /// Registers a table whose feed is shared. Precondition: none.
    void addTable(const std::string &table, const PublisherTiming &timing);

    /// Current role of this host. Precondition: none.
    FeedRole role(BootTime now) const
    {
        return m_choice.role(m_liveHosts(), now);
    }

    /// Waits for changes from a publisher. Returns nothing when it rejects the request or does not respond; it is then excluded for a while.
    /// Precondition: runs in a coroutine of the context; addTable() was called for the table.
    std::optional<FeedRows> awaitChanges(const HostId &publisher, const std::string &table, FeedVersion after, const boost::asio::yield_context &yield);

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
};

} // namespace Trefoil
