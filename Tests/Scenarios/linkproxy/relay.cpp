#include "relay.h"

#include <boost/asio/write.hpp>

namespace Trefoil::LinkProxy
{

namespace
{

constexpr std::size_t chunkSize = 16384;
/// Chunks on the way in one direction; a full link stops the sender, as a full socket buffer does.
constexpr std::size_t maximumChunks = 256;
constexpr std::chrono::milliseconds silencePollInterval{5};

void closeAbruptly(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

Relay::Direction::Direction(boost::asio::io_context &context, Tcp::socket &fromSocket, Tcp::socket &toSocket, EndpointIndex fromIndex, EndpointIndex toIndex)
    : input(fromSocket)
    , output(toSocket)
    , from(fromIndex)
    , to(toIndex)
    , changed(context)
{
    changed.expires_at(std::chrono::steady_clock::time_point::max());
}

Relay::Relay(boost::asio::io_context &context, const LinkTable &links, Tcp::socket accepted, EndpointIndex source, EndpointIndex destination)
    : m_context(context)
    , m_links(links)
    , m_client(std::move(accepted))
    , m_server(context)
    , m_source(source)
    , m_destination(destination)
    , m_forward(context, m_client, m_server, source, destination)
    , m_backward(context, m_server, m_client, destination, source)
{
}

void Relay::start(const Tcp::endpoint &target)
{
    boost::asio::spawn(m_context, [self = shared_from_this(), target](const boost::asio::yield_context &yield) { self->connect(target, yield); });
}

void Relay::reset()
{
    m_closed = true;
    closeAbruptly(m_client);
    closeAbruptly(m_server);
    m_forward.changed.cancel();
    m_backward.changed.cancel();
}

void Relay::silence()
{
    m_silenced = true;
}

EndpointIndex Relay::source() const
{
    return m_source;
}

EndpointIndex Relay::destination() const
{
    return m_destination;
}

void Relay::connect(const Tcp::endpoint &target, const boost::asio::yield_context &yield)
{
    boost::system::error_code error;
    const auto sourceAddress = m_client.remote_endpoint(error).address();
    m_server.open(target.protocol(), error);
    m_server.bind({sourceAddress, 0}, error);
    m_server.async_connect(target, yield[error]);
    if (error || m_closed) {
        reset();
        return;
    }
    for (auto *socket : {&m_client, &m_server}) {
        socket->set_option(Tcp::no_delay(true), error);
    }
    for (auto *direction : {&m_forward, &m_backward}) {
        boost::asio::spawn(m_context, [self = shared_from_this(), direction](const boost::asio::yield_context &inner) { self->read(*direction, inner); });
        boost::asio::spawn(m_context, [self = shared_from_this(), direction](const boost::asio::yield_context &inner) { self->write(*direction, inner); });
    }
}

void Relay::read(Direction &direction, const boost::asio::yield_context &yield)
{
    std::string buffer(chunkSize, '\0');
    boost::system::error_code error;
    while (!m_closed && !error) {
        if (direction.chunks.size() >= maximumChunks) {
            pause(std::chrono::steady_clock::now() + silencePollInterval, yield);
            continue;
        }
        const auto size = direction.input.async_read_some(boost::asio::buffer(buffer), yield[error]);
        // The end of the stream and a reset take as long as bytes do and are held back by a silent link as well.
        const bool isReset = error && error != boost::asio::error::eof;
        const auto delay = m_links.link(direction.from, direction.to).delay;
        direction.chunks.push_back({std::chrono::steady_clock::now() + delay, buffer.substr(0, size), isReset});
        direction.changed.cancel();
    }
}

void Relay::write(Direction &direction, const boost::asio::yield_context &yield)
{
    while (!m_closed) {
        boost::system::error_code error;
        if (direction.chunks.empty()) {
            direction.changed.async_wait(yield[error]);
            continue;
        }
        const auto deliverAt = direction.chunks.front().deliverAt;
        if (deliverAt > std::chrono::steady_clock::now()) {
            pause(deliverAt, yield);
            continue;
        }
        if (isSilent(direction)) {
            pause(std::chrono::steady_clock::now() + silencePollInterval, yield);
            continue;
        }
        const Chunk chunk = std::move(direction.chunks.front());
        direction.chunks.pop_front();
        if (chunk.isReset) {
            reset();
            return;
        }
        if (chunk.bytes.empty()) {
            direction.output.shutdown(Tcp::socket::shutdown_send, error);
            return;
        }
        boost::asio::async_write(direction.output, boost::asio::buffer(chunk.bytes), yield[error]);
        if (error) {
            reset();
        }
    }
}

bool Relay::isSilent(const Direction &direction) const
{
    return m_silenced || m_links.link(direction.from, direction.to).mode == LinkMode::Silent;
}

void Relay::pause(std::chrono::steady_clock::time_point until, const boost::asio::yield_context &yield)
{
    boost::asio::steady_timer timer(m_context, until);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace Trefoil::LinkProxy
