#include <LibHttp/jsonclient.h>

#include <LibHttp/abandonment.h>
#include <LibHttp/endpoint.h>
#include <LibHttp/responsereader.h>
#include <LibHttp/silence.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace Trefoil
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

/// Lower statuses are those of interim responses.
constexpr unsigned s_firstFinalStatus = 200;
/// Longest pause within a body; a server that stops halfway would otherwise hold the request until its deadline.
constexpr std::chrono::milliseconds s_longestPause{1000};

/// True when the server has closed the idle connection, or sent bytes that nobody asked for.
bool isSpent(beast::tcp_stream &stream)
{
    boost::system::error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

http::request<http::string_body> httpRequest(const JsonRequest &request, const JsonClientSettings &settings)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, settings.address);
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    if (!request.ifNoneMatch.empty()) {
        message.set(http::field::if_none_match, request.ifNoneMatch);
    }
    if (!settings.authorization.empty()) {
        message.set(http::field::authorization, settings.authorization);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

std::optional<std::string> headerIn(const http::response<http::string_body> &response, const std::string &name)
{
    std::optional<std::string> joined;
    if (name.empty()) {
        return joined;
    }
    const auto fields = response.equal_range(name);
    for (auto it = fields.first; it != fields.second; ++it) {
        const std::string value(it->value().data(), it->value().size());
        joined = joined ? *joined + ", " + value : value;
    }
    return joined;
}

} // namespace

nlohmann::json JsonResponse::json() const
{
    return nlohmann::json::parse(body, nullptr, false);
}

JsonClient::JsonClient(asio::io_context &context, JsonClientSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
{
}

std::variant<beast::tcp_stream, RequestNotSent> JsonClient::connection(BootTime deadline, const asio::yield_context &yield)
{
    while (!m_idle.empty()) {
        beast::tcp_stream stream = std::move(m_idle.back());
        m_idle.pop_back();
        if (!isSpent(stream)) {
            return stream;
        }
    }
    beast::tcp_stream stream(m_context);
    boost::system::error_code error;
    stream.socket().open(tcp::v4(), error);
    if (!error && !m_settings.sourceAddress.empty()) {
        stream.socket().bind({asio::ip::make_address(m_settings.sourceAddress, error), 0}, error);
    }
    if (error) {
        return RequestNotSent{"cannot open a socket: " + error.message()};
    }
    const auto endpoint = parseEndpoint(m_settings.address);
    if (endpoint.has_error()) {
        return RequestNotSent{endpoint.error().message};
    }
    stream.expires_after(std::clamp<BootClock::duration>(deadline - BootClock::now(), BootClock::duration(0), m_settings.connectTimeout));
    stream.async_connect(endpoint.value(), yield[error]);
    if (error) {
        return RequestNotSent{"cannot connect to " + m_settings.address + ": " + error.message()};
    }
    stream.socket().set_option(tcp::no_delay(true), error);
    detectSilence(stream.socket(), m_settings.unacknowledgedTimeout);
    return stream;
}

void JsonClient::keep(beast::tcp_stream stream)
{
    if (m_idle.size() >= m_settings.maximumIdleConnections) {
        return;
    }
    setResetOnClose(stream.socket(), false);
    stream.expires_never();
    m_idle.push_back(std::move(stream));
}

RequestAmbiguous JsonClient::unanswered(const boost::system::error_code &error)
{
    if (error == beast::error::timeout) {
        // What silenced this connection may have silenced all that were open; a new one tells.
        m_idle.clear();
    }
    return RequestAmbiguous{"no complete response: " + error.message()};
}

JsonResult JsonClient::request(const JsonRequest &request, BootTime deadline, const asio::yield_context &yield)
{
    if (deadline <= BootClock::now()) {
        return RequestNotSent{"the deadline has passed"};
    }
    auto connected = connection(deadline, yield);
    if (std::holds_alternative<RequestNotSent>(connected)) {
        return std::get<RequestNotSent>(connected);
    }
    auto &stream = std::get<beast::tcp_stream>(connected);
    const auto message = httpRequest(request, m_settings);
    // A write that is given up must not take effect later.
    setResetOnClose(stream.socket(), true);
    stream.expires_after(std::max(deadline - BootClock::now(), BootClock::duration(0)));
    boost::system::error_code error;
    m_bytesSent += http::async_write(stream, message, yield[error]);
    if (error) {
        return RequestAmbiguous{"cannot write the request: " + error.message()};
    }
    beast::flat_buffer buffer(s_responseBufferLimit);
    ResponseReader::Parser parser;
    parser.body_limit(m_settings.maximumBodyBytes);
    ResponseReader reader(stream, buffer, parser, deadline);
    bool hasBegun = false;
    while (!parser.is_done()) {
        const BootTime limit = parser.is_header_done() ? BootClock::now() + s_longestPause : request.answerBegins.value_or(deadline);
        stream.expires_after(std::max(std::min(limit, deadline) - BootClock::now(), BootClock::duration(0)));
        error = reader.step(yield);
        if (error) {
            m_bytesReceived += reader.bytesParsed();
            return unanswered(error);
        }
        if (parser.is_header_done() && !reader.declaresLength()) {
            m_bytesReceived += reader.bytesParsed();
            return RequestAmbiguous{"the response declares no length"};
        }
        if (parser.is_header_done() && !std::exchange(hasBegun, true) && request.answerBegan) {
            request.answerBegan();
        }
    }
    m_bytesReceived += reader.bytesParsed();
    // The response still follows on this connection, where the next request would take it for its own.
    if (parser.get().result_int() < s_firstFinalStatus) {
        return RequestAmbiguous{"an interim response, which no request asks for"};
    }
    const bool reusable = parser.keep_alive() && buffer.size() == 0;
    auto response = parser.release();
    if (reusable) {
        keep(std::move(stream));
    }
    const auto tag = response[http::field::etag];
    auto header = headerIn(response, m_settings.returnedHeader);
    return JsonResponse{static_cast<int>(response.result_int()), std::move(response.body()), std::string(tag.data(), tag.size()), std::move(header)};
}

} // namespace Trefoil
