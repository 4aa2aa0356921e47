#include <LibPeer/peernetwork.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <map>

using boost::asio::ip::tcp;
using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const char *const s_ip = "127.0.0.1";

std::string freeAddress()
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address(s_ip), 0));
    return fmt::format("{}:{}", s_ip, acceptor.local_endpoint().port());
}

tcp::endpoint endpointOf(const std::string &address)
{
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    return {boost::asio::ip::make_address(s_ip), port};
}

/// One network with the messages that reached it; acknowledges heartbeats.
struct Host
{
    Host(boost::asio::io_context &context, const std::string &name, std::string listenAddress, const std::string &secret = "secret")
        : id(name)
        , address(std::move(listenAddress))
    {
        PeerNetworkSettings settings{id, Incarnation(1), address, s_ip, secret};
        auto result = PeerNetwork::create(context, settings, [this](const HostId &from, const PeerMessage &message) {
            received.emplace_back(from, message);
            if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
                network->send(from, HeartbeatAck{heartbeat->sequence, heartbeat->epoch, heartbeat->configuration, true});
            }
        });
        cr_assert(result.has_value());
        network = std::move(result.value());
    }

    template<typename Message>
    std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::count_if(received.begin(), received.end(), [](const auto &entry) { return std::holds_alternative<Message>(entry.second); }));
    }

    HostId id;
    std::string address;
    std::vector<std::pair<HostId, PeerMessage>> received;
    std::unique_ptr<PeerNetwork> network;
};

/// Forwards connections to one target. Connections that are open when it is told so go silent for good.
class SilencingProxy
{
public:
    SilencingProxy(boost::asio::io_context &context, tcp::endpoint target)
        : m_context(context)
        , m_target(std::move(target))
        , m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address(s_ip), 0))
    {
        acceptNext();
    }

    std::string address() const
    {
        return fmt::format("{}:{}", s_ip, m_acceptor.local_endpoint().port());
    }

    void silenceOpenConnections()
    {
        for (const auto &pipe : m_pipes) {
            pipe->silent = true;
        }
    }

private:
    struct Pipe
    {
        Pipe(tcp::socket from, boost::asio::io_context &context)
            : caller(std::move(from))
            , target(context)
        {
        }
        tcp::socket caller;
        tcp::socket target;
        std::array<char, 4096> toTarget{};
        std::array<char, 4096> toCaller{};
        bool silent = false;
    };

    void acceptNext()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            auto pipe = std::make_shared<Pipe>(std::move(socket), m_context);
            pipe->target.connect(m_target);
            m_pipes.push_back(pipe);
            forward(pipe, pipe->caller, pipe->target, pipe->toTarget);
            forward(pipe, pipe->target, pipe->caller, pipe->toCaller);
            acceptNext();
        });
    }

    static void forward(const std::shared_ptr<Pipe> &pipe, tcp::socket &from, tcp::socket &to, std::array<char, 4096> &buffer)
    {
        from.async_read_some(boost::asio::buffer(buffer), [pipe, &from, &to, &buffer](const boost::system::error_code &error, std::size_t size) {
            if (error || pipe->silent) {
                return;
            }
            boost::system::error_code ignored;
            boost::asio::write(to, boost::asio::buffer(buffer, size), ignored);
            forward(pipe, from, to, buffer);
        });
    }

    boost::asio::io_context &m_context;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Pipe>> m_pipes;
};

PeerMessage heartbeat(std::uint64_t sequence)
{
    return Heartbeat{sequence, Incarnation(1), Epoch(1), ConfigurationVersion(1), SlotCount(1), false};
}

/// Runs the context until the condition holds; false when it does not within the limit.
template<typename Condition>
bool runUntil(boost::asio::io_context &context, std::chrono::milliseconds limit, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.run_for(5ms);
    }
    return condition();
}

} // namespace

// Guards against messages that are lost while links open, sent twice, or attributed to the wrong host.
Test(PeerNetwork, threeHostsExchangeMessages)
{
    boost::asio::io_context context;
    Host first(context, "first", freeAddress());
    Host second(context, "second", freeAddress());
    Host third(context, "third", freeAddress());
    const std::vector<PeerEndpoint> peers{{first.id, first.address}, {second.id, second.address}, {third.id, third.address}};
    for (auto *host : {&first, &second, &third}) {
        host->network->setPeers(peers);
    }
    for (auto *host : {&first, &second, &third}) {
        for (const auto &peer : peers) {
            host->network->send(peer.host, heartbeat(1));
            host->network->send(peer.host, heartbeat(2));
        }
    }
    const auto allArrived = [&] { return first.count<HeartbeatAck>() >= 4 && second.count<HeartbeatAck>() >= 4 && third.count<HeartbeatAck>() >= 4; };
    cr_assert(runUntil(context, 2s, allArrived));
    context.run_for(50ms);
    cr_assert_eq(first.count<Heartbeat>(), 4);
    cr_assert_eq(first.received.size(), 8);
    cr_assert(std::none_of(first.received.begin(), first.received.end(), [&](const auto &entry) { return entry.first == first.id; }));
    cr_assert_gt(first.network->bytesSent(), 0);
    cr_assert_gt(first.network->bytesReceived(), 0);
}

// Guards against hosts with another secret, or under another host's name, that get a message in or out.
Test(PeerNetwork, wrongSecretOrNameIsRefused)
{
    boost::asio::io_context context;
    Host host(context, "host", freeAddress());
    Host stranger(context, "stranger", freeAddress(), "another");
    Host misnamed(context, "misnamed", freeAddress());
    stranger.network->setPeers({{host.id, host.address}});
    host.network->setPeers({{stranger.id, stranger.address}, {HostId("expected"), misnamed.address}});
    stranger.network->send(host.id, heartbeat(1));
    host.network->send(stranger.id, heartbeat(1));
    host.network->send(HostId("expected"), heartbeat(1));
    context.run_for(600ms);
    cr_assert(host.received.empty());
    cr_assert(stranger.received.empty());
    cr_assert(misnamed.received.empty());
}

// Guards against waiting for ever on a connection that went silent while new ones work.
Test(PeerNetwork, silentLinkIsOpenedAnew)
{
    boost::asio::io_context context;
    Host host(context, "host", freeAddress());
    Host peer(context, "peer", freeAddress());
    SilencingProxy proxy(context, endpointOf(peer.address));
    host.network->setPeers({{peer.id, proxy.address()}});
    host.network->send(peer.id, heartbeat(1));
    cr_assert(runUntil(context, 2s, [&] { return host.count<HeartbeatAck>() == 1; }));

    proxy.silenceOpenConnections();
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t sequence = 2;
    const auto answered = [&] {
        host.network->send(peer.id, heartbeat(sequence++));
        return host.count<HeartbeatAck>() > 1;
    };
    cr_assert(runUntil(context, 4s, answered));
    cr_assert(std::chrono::steady_clock::now() - start >= 1900ms);
}

// Guards against a link that is closed although its peer is alive and only has nothing to answer.
Test(PeerNetwork, quietPeerKeepsItsLink)
{
    boost::asio::io_context context;
    Host host(context, "host", freeAddress());
    Host peer(context, "peer", freeAddress());
    host.network->setPeers({{peer.id, peer.address}});
    host.network->send(peer.id, CommitAck{ConfigurationVersion(1)});
    cr_assert(runUntil(context, 2s, [&] { return peer.received.size() == 1; }));
    context.run_for(2600ms);
    // The peer does not know the host and can answer only over the host's link.
    peer.network->send(host.id, CommitAck{ConfigurationVersion(2)});
    cr_assert(runUntil(context, 1s, [&] { return host.received.size() == 1; }));
}

// Guards against a peer that stays lost after its process was restarted on the same address.
Test(PeerNetwork, restartedPeerIsReachedAgain)
{
    boost::asio::io_context context;
    Host host(context, "host", freeAddress());
    auto peer = std::make_unique<Host>(context, "peer", freeAddress());
    const std::string address = peer->address;
    host.network->setPeers({{peer->id, address}});
    host.network->send(peer->id, heartbeat(1));
    cr_assert(runUntil(context, 2s, [&] { return host.count<HeartbeatAck>() == 1; }));
    peer.reset();
    context.run_for(50ms);
    host.network->send(HostId("peer"), heartbeat(2));
    context.run_for(50ms);
    peer = std::make_unique<Host>(context, "peer", address);
    host.network->send(HostId("peer"), heartbeat(3));
    cr_assert(runUntil(context, 3s, [&] { return host.count<HeartbeatAck>() >= 2; }));
}

// Guards against malformed input on the listening port that ends the process or disturbs other links.
Test(PeerNetwork, malformedStreamsAreClosed)
{
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
                                "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::string streams[] = {std::string(5000, '\x00'),
        "GET / HTTP/1.1\r\n\r\n",
        std::string(100000, 'a'),
        upgrade + std::string("\x82\x84\x00\x00\x00\x00\xff\xff\xff\xff", 10),
        upgrade + std::string("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00", 14),
        upgrade + std::string("\xff\xff\xff\xff", 4)};
    boost::asio::io_context context;
    Host host(context, "host", freeAddress());
    Host peer(context, "peer", freeAddress());
    peer.network->setPeers({{host.id, host.address}});
    for (const auto &stream : streams) {
        tcp::socket socket(context);
        socket.connect(endpointOf(host.address));
        boost::asio::async_write(socket, boost::asio::buffer(stream), [](const boost::system::error_code & /*error*/, std::size_t /*size*/) {});
        bool closed = false;
        std::string answer(65536, '\0');
        std::function<void()> readAll = [&] {
            socket.async_read_some(boost::asio::buffer(answer), [&](const boost::system::error_code &error, std::size_t /*size*/) {
                closed = static_cast<bool>(error);
                if (!closed) {
                    readAll();
                }
            });
        };
        readAll();
        // A stream that ends before its request does is closed by the silence limit.
        cr_assert(runUntil(context, 3s, [&] { return closed; }), "stream of %zu bytes was not closed", stream.size());
    }
    peer.network->send(host.id, heartbeat(1));
    cr_assert(runUntil(context, 2s, [&] { return peer.count<HeartbeatAck>() == 1; }));
}

// Guards against memory that grows without bound for a peer that accepts connections but never reads.
Test(PeerNetwork, queuesAreBounded)
{
    boost::asio::io_context context;
    boost::asio::io_context frozenContext;
    Host host(context, "host", freeAddress());
    Host frozen(frozenContext, "frozen", freeAddress());
    host.network->setPeers({{frozen.id, frozen.address}});
    host.network->send(frozen.id, heartbeat(1));
    cr_assert(runUntil(context, 2s, [&] {
        frozenContext.run_for(1ms);
        return frozen.received.size() == 1;
    }));
    const std::string commands(1U << 20U, 'x');
    for (int i = 0; i < 100; ++i) {
        host.network->send(frozen.id, Prepare{"operation", ConfigurationVersion(1), std::string(32, '0'), commands});
        context.run_for(1ms);
    }
    frozenContext.restart();
    const auto before = frozen.received.size();
    runUntil(context, 1s, [&] {
        frozenContext.run_for(5ms);
        return false;
    });
    cr_assert_lt(frozen.received.size() - before, 50);
    cr_assert_gt(frozen.received.size(), before);
}
