#pragma once

#include <LibCore/bootclock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// A small HTTP client for requests between the system and its platform: short bodies, one request at a time on each connection.
namespace Trefoil
{

struct JsonClientSettings
{
    /// IP:port of the server.
    std::string address;
    /// Local IP of the connections; empty leaves the choice to the system.
    std::string sourceAddress;
    /// Sent as the Authorization header when not empty.
    std::string authorization{};
    std::size_t maximumBodyBytes = std::size_t{64} * 1024 * 1024;
    std::size_t maximumIdleConnections = 8;
    /// As in ConnectionPoolSettings.
    std::chrono::milliseconds unacknowledgedTimeout{0};
    /// Longest wait for a connection, within the deadline of the request. A lost first packet is sent again only after
    /// seconds, so that a new connection gets through earlier.
    std::chrono::milliseconds connectTimeout = std::chrono::hours(1);
    /// Name of a header whose value is returned with each response; empty for none.
    std::string returnedHeader{};
};

struct JsonRequest
{
    /// GET, POST, PUT or DELETE.
    std::string method = "GET";
    std::string target;
    std::string body{};
    /// Entity tag of the copy that the caller holds; an unchanged resource is then answered with 304 and no body.
    std::string ifNoneMatch{};
    /// The request is given up when no answer has begun by then, so that a long transfer and a lost request differ.
    std::optional<BootTime> answerBegins{};
    /// Called once the head of the answer was read; may be empty.
    std::function<void()> answerBegan{};
};

/// A complete response with a declared length.
struct JsonResponse
{
    int status = 0;
    std::string body;
    std::string entityTag;
    /// Value of JsonClientSettings::returnedHeader, joined with commas when the response holds it several times; nothing when it doesn't hold it.
    std::optional<std::string> returnedHeader{};

    /// The body as JSON; a discarded value when it is not JSON. Thread safety: safe for concurrent readers.
    nlohmann::json json() const;
};

/// No byte of the request was written; it certainly has no effect.
struct RequestNotSent
{
    std::string reason;
};

/// The request may have been processed; no complete response arrived.
struct RequestAmbiguous
{
    std::string reason;
};

using JsonResult = std::variant<JsonResponse, RequestNotSent, RequestAmbiguous>;

/// Sends requests over kept-alive connections.
/// Thread safety: one thread at a time, the one that runs the io_context; several coroutines of that thread may send at once.
class JsonClient
{
public:
    /// Precondition: settings.address is a valid IP:port; context outlives the client.
    JsonClient(boost::asio::io_context &context, JsonClientSettings settings);

    /// Sends one request and waits for its response until the deadline. A connection is reused only after a complete response.
    /// Precondition: the coroutine runs on the client's io_context.
    JsonResult request(const JsonRequest &request, BootTime deadline, const boost::asio::yield_context &yield);

    /// Bytes of bodies and headers written and read, for measurements.
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }
    std::uint64_t bytesReceived() const
    {
        return m_bytesReceived;
    }

private:
    std::variant<boost::beast::tcp_stream, RequestNotSent> connection(BootTime deadline, const boost::asio::yield_context &yield);
    void keep(boost::beast::tcp_stream stream);
    RequestAmbiguous unanswered(const boost::system::error_code &error);

    boost::asio::io_context &m_context;
    JsonClientSettings m_settings;
    std::vector<boost::beast::tcp_stream> m_idle;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace Trefoil
