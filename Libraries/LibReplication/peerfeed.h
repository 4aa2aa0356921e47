#pragma once

#include <LibCore/strongid.h>
#include <LibPeer/messages.h>
#include <LibReplication/storeera.h>

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

/// The publisher does not read the store, has lost it, its log does not reach back far enough, or its copy is of another era.
struct PublisherRejected
{
    /// Era of the publisher's copy.
    StoreEra era{};
};

/// The publisher did not respond in time.
struct PublisherUnresponsive
{
};

using PeerFeedResult = std::variant<FeedRows, PublisherRejected, PublisherUnresponsive>;

/// Requests the changes of tables from another host. Thread safety: the thread of the context.
class PeerFeed
{
public:
    using Send = std::function<void(const HostId &to, const PeerMessage &message)>;

    /// Precondition: context outlives the object; send is set.
    PeerFeed(boost::asio::io_context &context, Send send);

    /// Waits for changes after a version. The publisher holds the request for holdTime at most; a response that is later by
    /// responseMargin counts as lost. Precondition: runs in a coroutine of the context.
    PeerFeedResult awaitChanges(const HostId &publisher,
        const std::string &table,
        const StorePosition &after,
        std::chrono::milliseconds holdTime,
        std::chrono::milliseconds responseMargin,
        const boost::asio::yield_context &yield);

    /// Completes the request that the response belongs to; ignores others. Precondition: none.
    void receive(const HostId &from, const ChangesSince &response);

private:
    struct Call;

    boost::asio::io_context &m_context;
    Send m_send;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Call *> m_calls;
};

} // namespace Trefoil
