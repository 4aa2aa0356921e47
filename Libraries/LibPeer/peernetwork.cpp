#include <LibPeer/peernetwork.h>

#include <LibConfiguration/validation.h>
#include <LibCore/constanttime.h>
#include <LibPeer/codec.h>
#include <LibPeer/peerlink.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>

namespace Trefoil
{

using boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds s_checkInterval{250};
constexpr std::chrono::milliseconds s_shortestRetryDelay{50};
constexpr std::chrono::milliseconds s_longestRetryDelay{2000};
/// A control message that waited this long for a link is out of date; what it told is repeated by newer ones.
constexpr std::chrono::milliseconds s_longestWait{2000};
constexpr std::size_t s_mostWaitingMessages = 64;
/// Bounds the memory and sockets that strangers can hold; a restarted region of 170 hosts fits.
constexpr std::size_t s_mostUnprovedLinks = 512;

Result<tcp::endpoint> parseAddress(const std::string &address)
{
    if (!isValidAddress(address)) {
        return Error{ErrorCode::InvalidInput, fmt::format("\"{}\" is not an IPv4 number and port", address)};
    }
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    return tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
}

struct WaitingMessage
{
    BootTime since;
    std::string encoded;
};

/// A known peer and the link that this host opened to it.
struct Peer
{
    tcp::endpoint endpoint;
    std::shared_ptr<PeerLink> link;
    std::deque<WaitingMessage> waiting;
    std::chrono::milliseconds retryDelay = s_shortestRetryDelay;
    std::optional<BootTime> retryAt;
};

} // namespace

class PeerNetwork::Implementation : public std::enable_shared_from_this<PeerNetwork::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, PeerNetworkSettings settings, std::optional<boost::asio::ip::address> source, Handler handler)
        : m_acceptor(context)
        , m_timer(context)
        , m_settings(std::move(settings))
        , m_source(std::move(source))
        , m_handler(std::move(handler))
        , m_random(std::random_device{}())
    {
    }

    Result<void> listen(const tcp::endpoint &endpoint)
    {
        boost::system::error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return Error{ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", m_settings.listenAddress, error.message())};
        }
        acceptNext();
        scheduleCheck();
        return boost::outcome_v2::success();
    }

    void setPeers(const std::vector<PeerEndpoint> &peers)
    {
        std::map<HostId, tcp::endpoint> wanted;
        for (const auto &peer : peers) {
            const auto endpoint = parseAddress(peer.address);
            if (peer.host != m_settings.host && endpoint.has_value()) {
                wanted.emplace(peer.host, endpoint.value());
            }
        }
        removePeersExcept(wanted);
        for (const auto &[host, endpoint] : wanted) {
            m_peers[host].endpoint = endpoint;
        }
    }

    void send(const HostId &host, const PeerMessage &message)
    {
        if (m_isClosed) {
            return;
        }
        const std::string encoded = encodePeerMessage(message);
        if (const auto link = establishedLink(host)) {
            link->send(encoded);
            return;
        }
        const auto position = m_peers.find(host);
        if (position == m_peers.end()) {
            return;
        }
        Peer &peer = position->second;
        if (peer.waiting.size() >= s_mostWaitingMessages) {
            return;
        }
        peer.waiting.push_back({BootClock::now(), encoded});
        if (!peer.link && !peer.retryAt) {
            openLink(host, peer);
        }
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_timer.cancel();
        for (const auto &link : allLinks()) {
            link->close("the network is closed");
        }
        m_peers.clear();
        m_incoming.clear();
    }

    std::uint64_t bytesSent() const
    {
        return m_bytesSent.load(std::memory_order_relaxed);
    }

    std::uint64_t bytesReceived() const
    {
        return m_bytesReceived.load(std::memory_order_relaxed);
    }

private:
    Hello ownHello() const
    {
        return {m_settings.host, m_settings.incarnation, m_settings.secret};
    }

    void acceptNext()
    {
        m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            if (self->m_isClosed) {
                return;
            }
            if (!error) {
                self->accept(std::move(socket));
                self->acceptNext();
                return;
            }
            // Running out of descriptors must not end in a busy loop; the next check tries again.
            self->m_acceptAgain = true;
        });
    }

    void accept(tcp::socket socket)
    {
        const auto unproved = std::count_if(m_incoming.begin(), m_incoming.end(), [](const auto &link) { return !link->isEstablished(); });
        if (static_cast<std::size_t>(unproved) >= s_mostUnprovedLinks) {
            return;
        }
        m_incoming.insert(PeerLink::accept(std::move(socket), ownHello(), linkEvents(std::nullopt)));
    }

    void openLink(const HostId &host, Peer &peer)
    {
        peer.retryAt.reset();
        tcp::socket socket(m_acceptor.get_executor());
        peer.link = PeerLink::connect(std::move(socket), m_source, peer.endpoint, ownHello(), linkEvents(host));
    }

    /// Events of a link that this host opened to expectedHost, or of an accepted one.
    PeerLinkEvents linkEvents(const std::optional<HostId> &expectedHost)
    {
        const std::weak_ptr<Implementation> weak = weak_from_this();
        PeerLinkEvents events;
        events.helloReceived = [weak, expectedHost](PeerLink & /*link*/, const Hello &hello) {
            const auto self = weak.lock();
            return self && self->isWelcome(hello, expectedHost);
        };
        events.established = [weak](PeerLink &link) {
            if (const auto self = weak.lock()) {
                self->flush(link.remoteHost());
            }
        };
        events.messageReceived = [weak](PeerLink &link, const PeerMessage &message) {
            if (const auto self = weak.lock()) {
                self->m_handler(link.remoteHost(), message);
            }
        };
        events.closed = [weak, expectedHost](PeerLink &link, const std::string & /*reason*/) {
            if (const auto self = weak.lock()) {
                self->linkClosed(link, expectedHost);
            }
        };
        events.bytesSent = [weak](std::size_t bytes) {
            if (const auto self = weak.lock()) {
                self->m_bytesSent.fetch_add(bytes, std::memory_order_relaxed);
            }
        };
        events.bytesReceived = [weak](std::size_t bytes) {
            if (const auto self = weak.lock()) {
                self->m_bytesReceived.fetch_add(bytes, std::memory_order_relaxed);
            }
        };
        return events;
    }

    bool isWelcome(const Hello &hello, const std::optional<HostId> &expectedHost) const
    {
        const bool isExpected = !expectedHost || hello.host == *expectedHost;
        return equalInConstantTime(hello.secret, m_settings.secret) && isExpected && hello.host != m_settings.host;
    }

    /// The link that this host opened, otherwise one that the peer opened; null when there is none.
    std::shared_ptr<PeerLink> establishedLink(const HostId &host) const
    {
        const auto peer = m_peers.find(host);
        if (peer != m_peers.end() && peer->second.link && peer->second.link->isEstablished()) {
            return peer->second.link;
        }
        for (const auto &link : m_incoming) {
            if (link->isEstablished() && link->remoteHost() == host) {
                return link;
            }
        }
        return nullptr;
    }

    void flush(const HostId &host)
    {
        const auto position = m_peers.find(host);
        if (position == m_peers.end()) {
            return;
        }
        Peer &peer = position->second;
        peer.retryDelay = s_shortestRetryDelay;
        dropOutdated(peer, BootClock::now());
        std::deque<WaitingMessage> waiting;
        waiting.swap(peer.waiting);
        for (const auto &message : waiting) {
            if (const auto link = establishedLink(host)) {
                link->send(message.encoded);
            }
        }
    }

    static void dropOutdated(Peer &peer, BootTime now)
    {
        while (!peer.waiting.empty() && now - peer.waiting.front().since > s_longestWait) {
            peer.waiting.pop_front();
        }
    }

    void linkClosed(PeerLink &link, const std::optional<HostId> &expectedHost)
    {
        if (!expectedHost) {
            m_incoming.erase(link.shared_from_this());
            return;
        }
        const auto position = m_peers.find(*expectedHost);
        if (position == m_peers.end() || position->second.link.get() != &link) {
            return;
        }
        Peer &peer = position->second;
        peer.link.reset();
        // Jitter keeps the hosts of a zone from returning to a restarted peer in step.
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(peer.retryDelay * jitter(m_random));
        peer.retryAt = BootClock::now() + delay;
        peer.retryDelay = std::min(peer.retryDelay * 2, s_longestRetryDelay);
        scheduleRetry(*expectedHost, delay);
    }

    void scheduleRetry(const HostId &host, std::chrono::milliseconds delay)
    {
        if (m_isClosed) {
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_acceptor.get_executor(), delay);
        timer->async_wait([weak = weak_from_this(), host, timer](const boost::system::error_code & /*error*/) {
            const auto self = weak.lock();
            if (self && !self->m_isClosed) {
                self->retry(host);
            }
        });
    }

    void retry(const HostId &host)
    {
        const auto position = m_peers.find(host);
        if (position == m_peers.end() || position->second.link || !position->second.retryAt) {
            return;
        }
        Peer &peer = position->second;
        peer.retryAt.reset();
        dropOutdated(peer, BootClock::now());
        if (!peer.waiting.empty()) {
            openLink(host, peer);
        }
    }

    void removePeersExcept(const std::map<HostId, tcp::endpoint> &wanted)
    {
        std::vector<std::shared_ptr<PeerLink>> unwanted;
        for (auto position = m_peers.begin(); position != m_peers.end();) {
            const auto match = wanted.find(position->first);
            const bool isRemoved = match == wanted.end();
            const bool isMoved = !isRemoved && match->second != position->second.endpoint;
            if ((isRemoved || isMoved) && position->second.link) {
                unwanted.push_back(position->second.link);
            }
            for (const auto &link : m_incoming) {
                if (isRemoved && link->isEstablished() && link->remoteHost() == position->first) {
                    unwanted.push_back(link);
                }
            }
            position = isRemoved || isMoved ? m_peers.erase(position) : std::next(position);
        }
        for (const auto &link : unwanted) {
            link->close("the peer is no longer known");
        }
    }

    std::vector<std::shared_ptr<PeerLink>> allLinks() const
    {
        std::vector<std::shared_ptr<PeerLink>> links(m_incoming.begin(), m_incoming.end());
        for (const auto &[host, peer] : m_peers) {
            if (peer.link) {
                links.push_back(peer.link);
            }
        }
        return links;
    }

    void scheduleCheck()
    {
        m_timer.expires_after(s_checkInterval);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (error || !self || self->m_isClosed) {
                return;
            }
            self->check();
            self->scheduleCheck();
        });
    }

    void check()
    {
        const BootTime now = BootClock::now();
        for (const auto &link : allLinks()) {
            link->checkSilence(now);
        }
        for (auto &[host, peer] : m_peers) {
            dropOutdated(peer, now);
        }
        if (m_acceptAgain) {
            m_acceptAgain = false;
            acceptNext();
        }
    }

    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    PeerNetworkSettings m_settings;
    std::optional<boost::asio::ip::address> m_source;
    Handler m_handler;
    std::mt19937_64 m_random;
    std::map<HostId, Peer> m_peers;
    std::set<std::shared_ptr<PeerLink>> m_incoming;
    bool m_acceptAgain = false;
    bool m_isClosed = false;
    std::atomic<std::uint64_t> m_bytesSent{0};
    std::atomic<std::uint64_t> m_bytesReceived{0};
};

PeerNetwork::PeerNetwork(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

PeerNetwork::~PeerNetwork()
{
    close();
}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::create(boost::asio::io_context &context, PeerNetworkSettings settings, Handler handler)
{
    const auto endpoint = parseAddress(settings.listenAddress);
    if (endpoint.has_error()) {
        return endpoint.error();
    }
    std::optional<boost::asio::ip::address> source;
    if (!settings.sourceAddress.empty()) {
        boost::system::error_code error;
        source = boost::asio::ip::make_address(settings.sourceAddress, error);
        if (error) {
            return Error{ErrorCode::InvalidInput, fmt::format("\"{}\" is not an IP number", settings.sourceAddress)};
        }
    }
    if (settings.secret.empty()) {
        return Error{ErrorCode::InvalidInput, "the peer secret is empty"};
    }
    auto implementation = std::make_shared<Implementation>(context, std::move(settings), std::move(source), std::move(handler));
    const auto listening = implementation->listen(endpoint.value());
    if (listening.has_error()) {
        return listening.error();
    }
    return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(implementation)));
}

void PeerNetwork::setPeers(const std::vector<PeerEndpoint> &peers)
{
    m_implementation->setPeers(peers);
}

void PeerNetwork::send(const HostId &peer, const PeerMessage &message)
{
    m_implementation->send(peer, message);
}

std::uint64_t PeerNetwork::bytesSent() const
{
    return m_implementation->bytesSent();
}

std::uint64_t PeerNetwork::bytesReceived() const
{
    return m_implementation->bytesReceived();
}

void PeerNetwork::close()
{
    m_implementation->close();
}

} // namespace Trefoil
