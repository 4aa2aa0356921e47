#include <LibPeer/peerlink.h>

#include <LibPeer/codec.h>

#include <boost/asio/write.hpp>

namespace Trefoil
{

using boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds s_silenceLimit{2000};
constexpr std::chrono::milliseconds s_pingAfter{1000};
constexpr std::chrono::seconds s_idleLimit{60};

/// Room for one configuration with 850,000 client blocks as JSON text (about 45 MB).
constexpr std::size_t s_maximumMessageSize = std::size_t{64} << 20U;
/// A Hello is far smaller; the limit bounds what a stranger can make the host hold.
constexpr std::size_t s_maximumUnprovedMessageSize = 4096;
/// A peer that reads too slowly loses messages above this, except for one that is larger by itself.
constexpr std::size_t s_maximumQueuedBytes = std::size_t{4} << 20U;

using WebsocketServer = websocketpp::server<PeerWebsocketConfig>;
using WebsocketClient = websocketpp::client<PeerWebsocketConfig>;

WebsocketServer &websocketServer()
{
    static WebsocketServer server;
    return server;
}

WebsocketClient &websocketClient()
{
    static WebsocketClient client;
    return client;
}

} // namespace

PeerLink::PeerLink(tcp::socket socket, Hello ownHello, PeerLinkEvents events)
    : m_socket(std::move(socket))
    , m_ownHello(std::move(ownHello))
    , m_events(std::move(events))
    , m_lastUse(BootClock::now())
{
    await(m_lastUse);
}

std::shared_ptr<PeerLink> PeerLink::accept(tcp::socket socket, Hello ownHello, PeerLinkEvents events)
{
    std::shared_ptr<PeerLink> link(new PeerLink(std::move(socket), std::move(ownHello), std::move(events)));
    boost::system::error_code ignored;
    link->m_socket.set_option(tcp::no_delay(true), ignored);
    link->startWebsocket(websocketServer().get_connection());
    link->readNext();
    return link;
}

std::shared_ptr<PeerLink> PeerLink::connect(
    tcp::socket socket, const std::optional<boost::asio::ip::address> &source, const tcp::endpoint &remote, Hello ownHello, PeerLinkEvents events)
{
    std::shared_ptr<PeerLink> link(new PeerLink(std::move(socket), std::move(ownHello), std::move(events)));
    link->m_isOutgoing = true;
    boost::system::error_code error;
    link->m_socket.open(remote.protocol(), error);
    if (!error && source) {
        link->m_socket.bind(tcp::endpoint(*source, 0), error);
    }
    if (error) {
        // The caller must hold the link before it hears that it is closed.
        boost::asio::post(link->m_socket.get_executor(), [link, message = error.message()] { link->close(message); });
        return link;
    }
    link->m_socket.set_option(tcp::no_delay(true), error);
    link->m_socket.async_connect(remote, [link](const boost::system::error_code &connectError) {
        if (connectError) {
            link->close(connectError.message());
            return;
        }
        if (link->m_isClosed) {
            return;
        }
        std::error_code websocketError;
        const auto websocket = websocketClient().get_connection("ws://peer/", websocketError);
        if (websocketError) {
            link->close(websocketError.message());
            return;
        }
        link->startWebsocket(websocket);
        link->readNext();
    });
    return link;
}

void PeerLink::startWebsocket(const std::shared_ptr<PeerWebsocket> &websocket)
{
    m_websocket = websocket;
    m_websocket->set_max_message_size(s_maximumUnprovedMessageSize);
    const std::weak_ptr<PeerLink> weak = weak_from_this();
    const auto withLink = [weak](const auto &function) {
        const auto link = weak.lock();
        if (link && !link->m_isClosed) {
            function(*link);
        }
    };
    m_websocket->set_write_handler([weak](const websocketpp::connection_hdl & /*handle*/, const char *bytes, std::size_t size) {
        const auto link = weak.lock();
        return link ? link->queueBytes(bytes, size) : std::error_code();
    });
    m_websocket->set_open_handler([withLink](const websocketpp::connection_hdl & /*handle*/) { withLink([](PeerLink &link) { link.opened(); }); });
    m_websocket->set_message_handler([withLink](const websocketpp::connection_hdl & /*handle*/, const PeerWebsocket::message_ptr &message) {
        withLink([&message](PeerLink &link) { link.payloadReceived(message->get_payload()); });
    });
    m_websocket->set_close_handler(
        [withLink](const websocketpp::connection_hdl & /*handle*/) { withLink([](PeerLink &link) { link.close("closed by the peer"); }); });
    m_websocket->set_fail_handler(
        [withLink](const websocketpp::connection_hdl & /*handle*/) { withLink([](PeerLink &link) { link.close("handshake failed"); }); });
    m_websocket->start();
}

bool PeerLink::isEstablished() const
{
    return m_isEstablished && !m_isClosed;
}

bool PeerLink::isClosed() const
{
    return m_isClosed;
}

const HostId &PeerLink::remoteHost() const
{
    return m_remoteHost;
}

void PeerLink::readNext()
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->close(error.message());
            return;
        }
        self->feed(size);
        if (!self->m_isClosed) {
            self->readNext();
        }
    });
}

void PeerLink::feed(std::size_t size)
{
    m_events.bytesReceived(size);
    m_lastUse = BootClock::now();
    if (m_isEstablished) {
        // Until the secret is proved, bytes alone do not keep a link open.
        noteSignOfLife();
    }
    m_isFeeding = true;
    const std::size_t consumed = m_websocket->read_all(m_readBuffer.data(), size);
    m_isFeeding = false;
    if (m_isClosed) {
        m_websocket->eof();
        return;
    }
    if (consumed != size) {
        close("bytes after the end of the websocket stream");
    }
}

void PeerLink::opened()
{
    if (m_isOutgoing) {
        sendFrame(encodePeerMessage(m_ownHello));
    }
}

void PeerLink::payloadReceived(const std::string &payload)
{
    auto message = decodePeerMessage(payload);
    if (message.has_error()) {
        close(message.error().message);
        return;
    }
    const Hello *hello = std::get_if<Hello>(&message.value());
    if (m_isEstablished == (hello != nullptr)) {
        close("a Hello must come first, and only once");
        return;
    }
    if (hello != nullptr) {
        receiveHello(*hello);
        return;
    }
    m_events.messageReceived(*this, message.value());
}

void PeerLink::receiveHello(const Hello &hello)
{
    if (!m_events.helloReceived(*this, hello)) {
        close("the peer's Hello was refused");
        return;
    }
    m_remoteHost = hello.host;
    m_websocket->set_max_message_size(s_maximumMessageSize);
    if (!m_isOutgoing) {
        sendFrame(encodePeerMessage(m_ownHello));
    }
    m_isEstablished = true;
    noteSignOfLife();
    m_events.established(*this);
}

bool PeerLink::send(const std::string &encoded)
{
    const std::size_t queued = m_waiting.size() + m_writing.size();
    if (queued != 0 && queued + encoded.size() > s_maximumQueuedBytes) {
        return false;
    }
    m_lastUse = BootClock::now();
    sendFrame(encoded);
    return true;
}

void PeerLink::sendFrame(const std::string &encoded)
{
    await(BootClock::now());
    const std::error_code error = m_websocket->send(encoded, websocketpp::frame::opcode::binary);
    if (error) {
        close(error.message());
    }
}

std::error_code PeerLink::queueBytes(const char *bytes, std::size_t size)
{
    if (m_isClosed) {
        return {};
    }
    m_waiting.append(bytes, size);
    if (m_writing.empty()) {
        writeNext();
    }
    return {};
}

void PeerLink::writeNext()
{
    if (m_waiting.empty()) {
        return;
    }
    m_writing.swap(m_waiting);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->m_events.bytesSent(size);
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->close(error.message());
            return;
        }
        self->m_writing.clear();
        self->writeNext();
    });
}

void PeerLink::await(BootTime now)
{
    if (!m_awaitingSince) {
        m_awaitingSince = now;
    }
}

void PeerLink::noteSignOfLife()
{
    m_awaitingSince.reset();
    m_pingSent = false;
}

void PeerLink::checkSilence(BootTime now)
{
    if (m_isClosed) {
        return;
    }
    if (m_awaitingSince && now - *m_awaitingSince >= s_silenceLimit) {
        close("silent while an answer is awaited");
        return;
    }
    if (m_awaitingSince && now - *m_awaitingSince >= s_pingAfter && isEstablished() && !m_pingSent) {
        m_pingSent = true;
        std::error_code ignored;
        m_websocket->ping("", ignored);
    }
    if (now - m_lastUse >= s_idleLimit) {
        close("idle");
    }
}

void PeerLink::close(const std::string &reason)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_websocket && !m_isFeeding) {
        m_websocket->eof();
    }
    m_events.closed(*this, reason);
}

} // namespace Trefoil
