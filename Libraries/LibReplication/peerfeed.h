#pragma once

#include <LibCore/strongid.h>
#include <LibPeer/messages.h>
#include <LibReplication/feedrow.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace Trefoil
{

/// The publisher doesn't read the store, has lost it, or doesn't know the changes.
struct PublisherRejected
{
};

/// The publisher gave no answer in time.
struct PublisherUnresponsive
{
};

using PeerFeedResult = std::variant<FeedRows, PublisherRejected, PublisherUnresponsive>;

/// Reads the changes of tables from another host. Thread safety: the thread of the context.
class PeerFeed
{
public:
    using Send = std::function<void(const HostId &to, const PeerMessage &message)>;

    /// Precondition: context outlives the object; send is set.
    PeerFeed(boost::asio::io_context &context, Send send);

    /// Waits for changes after a version. Precondition: runs in a coroutine of the context.
    PeerFeedResult awaitChanges(const HostId &publisher,
        const std::string &table,
        FeedVersion after,
        std::chrono::milliseconds holdTime,
        std::chrono::milliseconds responseMargin,
        const boost::asio::yield_context &yield);

    /// Takes an answer. Precondition: none.
    void receive(const HostId &from, const ChangesSince &response);

private:
    struct Call;

    boost::asio::io_context &m_context;
    Send m_send;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Call *> m_calls;
};

} // namespace Trefoil
