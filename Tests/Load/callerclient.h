#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Trefoil::Load
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// No byte of the request was written.
struct NotSent
{
    std::string reason;
};

/// The request was written, at least in part; no complete response arrived.
struct NoResponse
{
    std::string reason;
};

using ExchangeResult = std::variant<HttpResponse, NotSent, NoResponse>;

/// HTTP client with kept-alive connections, written apart from the product's own, so that it can check it.
/// Thread safety: the thread that runs the io_context; many coroutines at once.
class CallerClient
{
public:
    explicit CallerClient(boost::asio::io_context &context);

    /// Sends a request to "IP:port" from a local IP number (empty for any) and waits for its response until the limit.
    /// A connection is kept only after a complete response.
    ExchangeResult exchange(const std::string &address,
        const std::string &sourceAddress,
        const HttpRequest &request,
        std::chrono::milliseconds limit,
        const boost::asio::yield_context &yield);

private:
    using Key = std::pair<std::string, std::string>;

    std::variant<boost::beast::tcp_stream, NotSent> connect(const Key &key, std::chrono::milliseconds limit, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    std::map<Key, std::vector<boost::beast::tcp_stream>> m_idle;
};

} // namespace Trefoil::Load
