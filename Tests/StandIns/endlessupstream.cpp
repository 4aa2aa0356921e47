#include <StandIns/endlessupstream.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cassert>

namespace Trefoil
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace
{

/// Repeated bytes are joined into writes of about this size, unless they are sent at intervals.
constexpr std::size_t s_writeBytes = std::size_t{16} * 1024;
/// Keeps the system from taking megabytes ahead of the reader, so that bytesSent() tells what the reader took.
constexpr int s_sendBufferBytes = 64 * 1024;
constexpr std::size_t s_kilobyte = 1024;

} // namespace

std::string responseHead(const std::string &id, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nTrefoil-Request-Id: " + id + "\r\n" + fields;
}

std::string completeResponse(const std::string &id, std::size_t bodyBytes)
{
    return responseHead(id, "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n") + std::string(bodyBytes, 'b');
}

std::string chunkOf(std::size_t bytes, const std::string &extension)
{
    static constexpr const char *digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = bytes; left > 0; left /= 16) {
        size.insert(size.begin(), digits[left % 16]);
    }
    return size + extension + "\r\n" + std::string(bytes, 'b') + "\r\n";
}

EndlessScript endlessScript(const std::string &shape, const std::string &id)
{
    const std::string chunked = responseHead(id, "Transfer-Encoding: chunked\r\n\r\n");
    const std::string filler(s_kilobyte, 'x');
    if (shape == "no-response") {
        return {"", 0ms, filler};
    }
    if (shape == "empty-lines") {
        return {"", 0ms, "\r\n"};
    }
    if (shape == "reason-phrase") {
        return {"HTTP/1.1 200 ", 0ms, filler};
    }
    if (shape == "header-field") {
        return {"HTTP/1.1 200 OK\r\nField: ", 0ms, filler};
    }
    if (shape == "header-fields") {
        return {"HTTP/1.1 200 OK\r\n", 0ms, "Field: value\r\n"};
    }
    if (shape == "header-slowly") {
        return {"HTTP/1.1 200 OK\r\nField: ", 0ms, "x", 20ms};
    }
    if (shape == "huge-length") {
        return {responseHead(id, "Content-Length: 1000000000000\r\n\r\n"), 0ms, filler};
    }
    if (shape == "no-length") {
        return {responseHead(id, "\r\n"), 0ms, filler};
    }
    if (shape == "chunks") {
        return {chunked, 0ms, chunkOf(4 * s_kilobyte)};
    }
    if (shape == "tiny-chunks") {
        return {chunked, 0ms, chunkOf(1)};
    }
    if (shape == "chunk-extension") {
        return {chunked + "1;", 0ms, filler};
    }
    if (shape == "chunk-extensions") {
        return {chunked, 0ms, chunkOf(1, ";extension=" + filler)};
    }
    if (shape == "trailer-fields") {
        return {chunked + "0\r\n", 0ms, "Field: value\r\n"};
    }
    if (shape == "interim") {
        return {"", 0ms, "HTTP/1.1 100 Continue\r\n\r\n"};
    }
    if (shape == "interim-fields") {
        return {"", 0ms, "HTTP/1.1 103 Early Hints\r\nField: " + filler + "\r\n\r\n"};
    }
    if (shape == "foreign") {
        return {"", 0ms, completeResponse("foreign", 4)};
    }
    if (shape == "foreign-large") {
        return {"", 0ms, completeResponse("foreign", std::size_t{1024} * s_kilobyte)};
    }
    assert(shape == "behind-response");
    return {completeResponse(id, 4), 0ms, filler};
}

class EndlessUpstream::State : public std::enable_shared_from_this<State>
{
public:
    State(asio::io_context &context, EndlessScript script)
        : m_context(context)
        , m_acceptor(context)
        , m_script(std::move(script))
        , m_block(m_script.repeated)
    {
        while (m_script.interval.count() == 0 && m_block.size() < s_writeBytes) {
            m_block += m_script.repeated;
        }
    }

    Result<void> listen()
    {
        boost::system::error_code error;
        m_acceptor.open(tcp::v4(), error);
        if (!error) {
            m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0}, error);
        }
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return Error{ErrorCode::Unavailable, "cannot listen: " + error.message()};
        }
        m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        asio::spawn(m_context, [self = shared_from_this()](const asio::yield_context &yield) { self->acceptAll(yield); });
        return boost::outcome_v2::success();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    std::string m_address{};
    std::uint64_t m_bytesSent = 0;
    int m_connections = 0;
    int m_sending = 0;

private:
    void acceptAll(const asio::yield_context &yield)
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket(m_context);
            m_acceptor.async_accept(socket, yield[error]);
            if (error) {
                return;
            }
            ++m_connections;
            asio::spawn(m_context, [self = shared_from_this(), peer = std::move(socket)](const asio::yield_context &inner) mutable {
                ++self->m_sending;
                self->serve(peer, inner);
                --self->m_sending;
            });
        }
    }

    void serve(tcp::socket &socket, const asio::yield_context &yield)
    {
        boost::system::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        socket.set_option(asio::socket_base::send_buffer_size(s_sendBufferBytes), error);
        std::string request;
        asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", yield[error]);
        std::uint64_t sent = 0;
        sent += send(socket, m_script.opening, error, yield);
        wait(m_script.pause, error, yield);
        while (!error && sent < m_script.totalBytes) {
            sent += send(socket, m_block, error, yield);
            wait(m_script.interval, error, yield);
        }
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    }

    std::size_t send(tcp::socket &socket, const std::string &bytes, boost::system::error_code &error, const asio::yield_context &yield)
    {
        if (error) {
            return 0;
        }
        const std::size_t count = asio::async_write(socket, asio::buffer(bytes), yield[error]);
        m_bytesSent += count;
        return count;
    }

    void wait(std::chrono::milliseconds time, boost::system::error_code &error, const asio::yield_context &yield)
    {
        if (error || time.count() == 0) {
            return;
        }
        asio::steady_timer timer(m_context, time);
        timer.async_wait(yield[error]);
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    EndlessScript m_script;
    std::string m_block;
};

Result<std::unique_ptr<EndlessUpstream>> EndlessUpstream::create(asio::io_context &context, EndlessScript script)
{
    auto state = std::make_shared<State>(context, std::move(script));
    auto listening = state->listen();
    if (listening.has_error()) {
        return listening.error();
    }
    return std::unique_ptr<EndlessUpstream>(new EndlessUpstream(std::move(state)));
}

EndlessUpstream::EndlessUpstream(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

EndlessUpstream::~EndlessUpstream()
{
    m_state->close();
}

const std::string &EndlessUpstream::address() const
{
    return m_state->m_address;
}

std::uint64_t EndlessUpstream::bytesSent() const
{
    return m_state->m_bytesSent;
}

int EndlessUpstream::connections() const
{
    return m_state->m_connections;
}

int EndlessUpstream::sendingConnections() const
{
    return m_state->m_sending;
}

} // namespace Trefoil
