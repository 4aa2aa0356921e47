#include "callerclient.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Trefoil::Load
{

namespace
{

namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds connectLimit{1000};

/// Whether the peer has closed an idle connection or sent bytes that nobody asked for.
bool isStale(Tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error != boost::asio::error::would_block;
}

} // namespace

CallerClient::CallerClient(boost::asio::io_context &context)
    : m_context(context)
{
}

std::variant<boost::beast::tcp_stream, NotSent> CallerClient::connect(const Key &key, std::chrono::milliseconds limit, const boost::asio::yield_context &yield)
{
    auto &idle = m_idle[key];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (!isStale(stream.socket())) {
            return stream;
        }
    }
    boost::system::error_code error;
    boost::beast::tcp_stream stream(m_context);
    stream.expires_after(std::min(limit, connectLimit));
    const auto colon = key.first.rfind(':');
    const auto ip = boost::asio::ip::make_address_v4(key.first.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        return NotSent{"\"" + key.first + "\" is not IP:port"};
    }
    const auto port = static_cast<unsigned short>(std::stoi(key.first.substr(colon + 1)));
    if (!key.second.empty()) {
        stream.socket().open(Tcp::v4(), error);
        stream.socket().bind({boost::asio::ip::make_address_v4(key.second), 0}, error);
    }
    stream.async_connect(Tcp::endpoint(ip, port), yield[error]);
    if (error) {
        return NotSent{"connect: " + error.message()};
    }
    stream.socket().set_option(Tcp::no_delay(true), error);
    return stream;
}

ExchangeResult CallerClient::exchange(const std::string &address,
    const std::string &sourceAddress,
    const HttpRequest &request,
    std::chrono::milliseconds limit,
    const boost::asio::yield_context &yield)
{
    const Key key{address, sourceAddress};
    auto connected = connect(key, limit, yield);
    if (std::holds_alternative<NotSent>(connected)) {
        return std::get<NotSent>(connected);
    }
    auto &stream = std::get<boost::beast::tcp_stream>(connected);
    stream.expires_after(limit);
    boost::system::error_code error;
    Http::async_write(stream, request, yield[error]);
    if (error) {
        return NoResponse{"write: " + error.message()};
    }
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    Http::async_read(stream, buffer, parser, yield[error]);
    if (error) {
        return NoResponse{"read: " + error.message()};
    }
    HttpResponse response = parser.release();
    if (response.keep_alive() && buffer.size() == 0) {
        stream.expires_never();
        m_idle[key].push_back(std::move(stream));
    }
    return response;
}

} // namespace Trefoil::Load
