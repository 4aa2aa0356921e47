#pragma once

#include <LibCore/bootclock.h>
#include <LibPeer/messages.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace Trefoil
{

/// websocketpp without its own sockets, locks and logs: the link owns the socket and runs on one thread.
struct PeerWebsocketConfig : public websocketpp::config::core
{
    using type = PeerWebsocketConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    // NOLINTNEXTLINE(readability-identifier-naming): named by the library
    struct transport_config : public websocketpp::config::core::transport_config
    {
        using concurrency_type = PeerWebsocketConfig::concurrency_type;
        using elog_type = PeerWebsocketConfig::elog_type;
        using alog_type = PeerWebsocketConfig::alog_type;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    // A host holds hundreds of links; control messages are small.
    static const std::size_t connection_read_buffer_size = 2048;
};

using PeerWebsocket = websocketpp::connection<PeerWebsocketConfig>;

class PeerLink;

/// What a link tells the network that owns it, on the control thread.
struct PeerLinkEvents
{
    /// The other side's first message; false closes the link.
    std::function<bool(PeerLink &link, const Hello &hello)> helloReceived;
    /// Both sides have proved that they hold the secret.
    std::function<void(PeerLink &link)> established;
    std::function<void(PeerLink &link, const PeerMessage &message)> messageReceived;
    /// Called once for each link, also when it never opened.
    std::function<void(PeerLink &link, const std::string &reason)> closed;
    std::function<void(std::size_t bytes)> bytesSent;
    std::function<void(std::size_t bytes)> bytesReceived;
};

/// One websocket connection between two hosts. websocketpp makes and reads the frames; the socket belongs to the link,
/// so that outgoing connections can be bound to a local address and a silent one can be dropped without a handshake.
/// Thread safety: control thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /// A link over an accepted socket.
    static std::shared_ptr<PeerLink> accept(boost::asio::ip::tcp::socket socket, Hello ownHello, PeerLinkEvents events);

    /// A link that connects to a remote address, from the given local one when there is one.
    static std::shared_ptr<PeerLink> connect(boost::asio::ip::tcp::socket socket,
        const std::optional<boost::asio::ip::address> &source,
        const boost::asio::ip::tcp::endpoint &remote,
        Hello ownHello,
        PeerLinkEvents events);

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends an encoded message. Returns false, and drops it, when the send queue is full.
    /// Precondition: the link is established.
    bool send(const std::string &encoded);

    /// True from the mutual proof of the secret until the link is closed.
    bool isEstablished() const;

    bool isClosed() const;

    /// The host at the other end. Precondition: the link is or was established.
    const HostId &remoteHost() const;

    /// Closes the link when nothing was received for 2 s while something was awaited; after 1 s it sends a ping, so that
    /// a peer that has nothing to answer is not mistaken for a silent one. Closes a link that was idle for a minute.
    void checkSilence(BootTime now);

    /// Drops the connection at once.
    void close(const std::string &reason);

private:
    PeerLink(boost::asio::ip::tcp::socket socket, Hello ownHello, PeerLinkEvents events);

    void startWebsocket(const std::shared_ptr<PeerWebsocket> &websocket);
    void readNext();
    void feed(std::size_t size);
    void opened();
    void payloadReceived(const std::string &payload);
    void receiveHello(const Hello &hello);
    void sendFrame(const std::string &encoded);
    std::error_code queueBytes(const char *bytes, std::size_t size);
    void writeNext();
    void await(BootTime now);
    void noteSignOfLife();

    boost::asio::ip::tcp::socket m_socket;
    Hello m_ownHello;
    PeerLinkEvents m_events;
    std::shared_ptr<PeerWebsocket> m_websocket;
    bool m_isOutgoing = false;
    bool m_isEstablished = false;
    bool m_isClosed = false;
    bool m_isFeeding = false;
    HostId m_remoteHost;

    std::array<char, 8192> m_readBuffer{};
    /// Bytes that the running write sends, and bytes that wait for it.
    std::string m_writing;
    std::string m_waiting;

    std::optional<BootTime> m_awaitingSince;
    bool m_pingSent = false;
    BootTime m_lastUse;
};

} // namespace Trefoil
