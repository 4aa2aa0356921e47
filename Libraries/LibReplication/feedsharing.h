#pragma once

#include <LibReplication/changeserver.h>
#include <LibReplication/peerfeed.h>
#include <LibReplication/publisherchoice.h>

namespace Trefoil
{

/// How long a host and those that follow it may take to notice that it has lost the store.
struct PublisherTiming
{
    /// After a change, further ones are left to gather for this long.
    std::chrono::milliseconds batchDelay;
    /// How long the store, and a publisher, hold a call without changes.
    std::chrono::milliseconds holdTime;
    /// Delay of an answer, beyond the wait, after which it counts as lost.
    std::chrono::milliseconds responseMargin;
};

/// A host's part in sharing the feeds of the store among the hosts of an availability zone: it reads them itself and passes the
/// changes on, or follows a host that does. Thread safety: the thread of the context.
class FeedSharing
{
public:
    /// Live hosts of the own availability zone, this one included.
    using LiveHosts = std::function<std::vector<HostId>()>;

    /// Precondition: context outlives the object; send and liveHosts are set.
    FeedSharing(boost::asio::io_context &context, PublisherChoiceSettings choice, const PeerFeed::Send &send, LiveHosts liveHosts);

    /// Declares a table that is shared. Precondition: none.
    void addTable(const std::string &table, const PublisherTiming &timing);

    /// Precondition: none.
    FeedRole role(BootTime now) const
    {
        return m_choice.role(m_liveHosts(), now);
    }

    /// Waits for changes at a publisher. Nothing when it is of no use; it is then left out for a while.
    /// Precondition: runs in a coroutine of the context; addTable() was called for the table.
    std::optional<FeedRows> awaitChanges(const HostId &publisher, const std::string &table, FeedVersion after, const boost::asio::yield_context &yield);

    /// Takes a message of another host; those that don't concern feeds are ignored. Precondition: none.
    void receive(const HostId &from, const PeerMessage &message, BootTime now);

    /// Answers subscribers that have waited long enough, or must learn that this host has lost the store, until the context stops.
    /// Precondition: runs in a coroutine of the context.
    void serveSubscribers(const boost::asio::yield_context &yield);

    /// Changes for the hosts that follow this one. Precondition: none.
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
