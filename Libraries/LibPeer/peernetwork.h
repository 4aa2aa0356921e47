#pragma once

#include <LibCore/result.h>
#include <LibPeer/messages.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Trefoil
{

/// Where a peer listens.
struct PeerEndpoint
{
    HostId host;
    /// IP:port.
    std::string address;
};

struct PeerNetworkSettings
{
    HostId host;
    Incarnation incarnation;
    /// Listening IP:port.
    std::string listenAddress;
    /// Local IP of outgoing connections; empty leaves the choice to the system.
    std::string sourceAddress;
    std::string secret;
};

/// Websocket links to the other hosts. Links are opened when a message is first sent to a peer and opened again, after a
/// delay with jitter, when they fail or stay silent for 2 s while something is awaited. Delivery is not guaranteed.
/// Both sides prove that they hold the secret before any other message is read.
class PeerNetwork
{
public:
    using Handler = std::function<void(const HostId &from, const PeerMessage &message)>;

    /// Binds the listening address. Precondition: context is run by one thread, the control thread.
    static Result<std::unique_ptr<PeerNetwork>> create(boost::asio::io_context &context, PeerNetworkSettings settings, Handler handler);

    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// Replaces the known peers; links to peers that are no longer named are closed. A host that was never named may
    /// still open links and be answered over them, since a fresh host finds its peers before they find it.
    /// Thread safety: control thread only.
    void setPeers(const std::vector<PeerEndpoint> &peers);

    /// Sends a message when the peer is known or has a link open; drops it when the peer's send queue is full or the
    /// message waited 2 s for a link. The handler is never called from within send().
    /// Thread safety: control thread only.
    void send(const HostId &peer, const PeerMessage &message);

    /// Bytes sent and received since the start, for measurements. Thread safety: any thread.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Closes all links and the listening socket. Thread safety: control thread only.
    void close();

private:
    class Implementation;
    explicit PeerNetwork(std::shared_ptr<Implementation> implementation);

    /// Shared with the handlers that are still pending when the network is destroyed.
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
