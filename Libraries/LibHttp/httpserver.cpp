#include <LibHttp/httpserver.h>

#include <LibHttp/awaitroom.h>
#include <LibHttp/endpoint.h>
#include <LibHttp/parserfeed.h>
#include <LibHttp/requesthead.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <limits>
#include <list>
#include <optional>
#include <random>
#include <variant>

namespace Trefoil
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace
{

/// After its last response a connection is read for this long, so that the caller gets the response and no reset.
constexpr std::chrono::milliseconds s_lingerTimeout{1000};
/// How often time limits are checked. One timer for all connections costs less than one for each operation.
constexpr std::chrono::milliseconds s_expiryInterval{25};
/// Pause of the accept loop when the process has no file descriptor left.
constexpr std::chrono::milliseconds s_acceptPause{20};
constexpr std::size_t s_lingerLimit = std::size_t{4} * 1024 * 1024;
constexpr std::size_t s_readSize = s_headReadSize;
/// A caller that is still sending the rejected body may read its response only afterwards; 64 MiB take less than 1 s at 1 Gbit/s.
constexpr std::chrono::milliseconds s_rejectedBodyTimeout{5000};
/// Room is free when another large message ends; most take less than a second. Callers come back spread over the same time again.
constexpr std::chrono::duration<double> s_memoryRetryAfter{1};
/// What one header field may cost while its request is read and forwarded, whatever its length: a node of the parser, an entry of HttpHeaders
/// with the spare capacity of its list, and the copies for an attempt. 150 bytes were measured for the first two.
constexpr std::size_t s_fieldCost = 512;
/// From this part of the connection limit on, connections whose callers are slow give way to new ones.
constexpr double s_pressurePart = 7.0 / 8;
/// Callers get this long for a request before their connection gives way; ordinary ones need some milliseconds.
constexpr std::chrono::milliseconds s_timeBeforePressure{1000};
/// As above for reading a response; 540 KB take 0.5 s on a link of 10 Mbit/s.
constexpr std::chrono::milliseconds s_writeTimeBeforePressure{5000};

/// For a connection above the bound.
constexpr std::string_view s_tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n"
                                                  "Trefoil-Outcome: not-run\r\nContent-Length: 98\r\n\r\n"
                                                  R"({"error":"too-many-connections","field":"connection","message":"this host has no connection left"})";

struct ConnectionEnded
{
};

using ReadResult = std::variant<HttpRequest, HttpResponse, ConnectionEnded>;

HttpResponse responseForReadError(const beast::error_code &error, const HttpInputLimits &limits)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return errorResponse(431, "header-too-large", "header", fmt::format("the header exceeds {} bytes", limits.headerLimit));
    }
    if (error == http::error::body_limit) {
        return errorResponse(413, "body-too-large", "body", fmt::format("the body exceeds {} bytes", limits.bodyLimit));
    }
    if (error == http::error::bad_content_length) {
        return errorResponse(400, "malformed-request", "Content-Length", "Content-Length is not one valid length");
    }
    if (error == http::error::bad_transfer_encoding || error == http::error::bad_chunk || error == http::error::bad_chunk_extension) {
        return errorResponse(400, "malformed-request", "Transfer-Encoding", "the chunked body is malformed");
    }
    if (error == http::error::bad_version) {
        return errorResponse(400, "malformed-request", "version", "only HTTP/1.0 and HTTP/1.1 are understood");
    }
    if (error == http::error::bad_method) {
        return errorResponse(400, "malformed-request", "method", "the method is malformed");
    }
    if (error == http::error::bad_target) {
        return errorResponse(400, "malformed-request", "target", "the request target is malformed");
    }
    return errorResponse(400, "malformed-request", "header", error.message());
}

/// Memory that a request needs for its head, in its parsed forms too.
std::size_t costOf(std::string_view head)
{
    return head.size() + s_fieldCost * static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
}

bool beginsWith(const beast::flat_buffer &buffer, std::string_view text)
{
    return std::string_view(static_cast<const char *>(buffer.data().data()), buffer.size()).substr(0, text.size()) == text;
}

/// True when the error says that the input is wrong, not that the connection failed.
bool isInputError(const beast::error_code &error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

} // namespace

class HttpServer::State : public std::enable_shared_from_this<HttpServer::State>
{
public:
    class Connection;

    State(asio::io_context &context, HttpServerSettings settings, Handler handler)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_acceptor(context)
        , m_expiryTimer(context)
    {
    }

    Result<void> listen();
    void startAccepting();
    void closeIdle();
    void closeAll();

    void setInputLimits(const HttpInputLimits &limits)
    {
        m_settings.input = limits;
    }

    void announceClose(std::chrono::milliseconds readTime)
    {
        m_closing = true;
        m_readEnd = Clock::now() + readTime;
    }

    std::string address() const
    {
        boost::system::error_code ignored;
        const auto endpoint = m_acceptor.local_endpoint(ignored);
        return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    }

    std::size_t openConnections() const
    {
        return m_open.load() + (m_isDraining.load() ? 1 : 0);
    }

    std::size_t unansweredRequests() const
    {
        return m_unanswered.load();
    }

private:
    void expireLoop(const asio::yield_context &yield);
    void acceptLoop(const asio::yield_context &yield);
    void serve(tcp::socket socket);
    /// Ends the wait for the slowest caller, if one is slow.
    void makeRoom();
    void count(ConnectionEvent event) const
    {
        if (m_settings.events) {
            m_settings.events->count(event);
        }
    }

    asio::io_context &m_context;
    HttpServerSettings m_settings;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_expiryTimer;
    std::list<Connection *> m_connections;
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_unanswered{0};
    /// The listening socket is about to close and may hold connections.
    std::atomic<bool> m_isDraining{false};
    bool m_closesIdle = false;
    bool m_closing = false;
    /// Requests that are still being read then are rejected.
    Clock::time_point m_readEnd = Clock::time_point::max();
    std::minstd_rand m_random{std::random_device{}()};
};

/// One connection of a caller; lives as long as its coroutine.
class HttpServer::State::Connection final : public CallerConnection
{
public:
    Connection(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
        , m_buffer(m_state->m_settings.input.headerLimit + s_readSize)
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_address = m_socket.remote_endpoint(ignored).address().to_string();
        m_position = m_state->m_connections.insert(m_state->m_connections.end(), this);
        m_state->m_open.fetch_add(1);
    }

    ~Connection()
    {
        setUnanswered(false);
        m_state->m_connections.erase(m_position);
        m_state->m_open.fetch_sub(1);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    const std::string &address() const override
    {
        return m_address;
    }

    Cancellation &cancellation() override
    {
        if (!m_watching) {
            m_watching = true;
            watchCaller();
        }
        return *m_cancellation;
    }

    BootTime headerReadAt() const override
    {
        return m_headerReadAt;
    }

    void run(const asio::yield_context &yield)
    {
        bool keepOpen = true;
        while (keepOpen) {
            keepOpen = serveOne(yield);
        }
        linger(yield);
    }

    /// Ends the current operation when its time is over.
    void cancelIfExpired(Clock::time_point now)
    {
        if (now < m_expiry && !(m_isReading && now >= m_state->m_readEnd)) {
            return;
        }
        m_timedOut = true;
        cancelOperation();
    }

    /// Ends the connection if it waits for a request of which no byte has arrived. A read that has completed already isn't affected by
    /// this, and its request is answered.
    bool endIfIdle()
    {
        beast::error_code error;
        if (!m_idle || m_socket.available(error) > 0) {
            return false;
        }
        cancelOperation();
        return true;
    }

    /// How early this connection gives way to new ones: the lowest rank is first, nothing is never.
    std::optional<int> pressureRank(Clock::time_point now) const
    {
        if (m_isWriting && now - m_writingSince >= s_writeTimeBeforePressure) {
            return s_slowReaderRank;
        }
        if (!m_isReading || m_awaitsRoom || now - m_readingSince < s_timeBeforePressure) {
            return std::nullopt;
        }
        if (!m_idle) {
            return s_slowSenderRank;
        }
        return m_hasServed ? s_idleRank : s_silentRank;
    }

    /// Ends the current read or write as at its time limit.
    void expireNow()
    {
        m_timedOut = true;
        m_readingSince = Clock::now();
        m_writingSince = m_readingSince;
        cancelOperation();
    }

    void close()
    {
        beast::error_code ignored;
        m_socket.close(ignored);
    }

private:
    static constexpr int s_slowSenderRank = 0;
    static constexpr int s_silentRank = 1;
    static constexpr int s_slowReaderRank = 2;
    static constexpr int s_idleRank = 3;

    /// An operation that has completed and whose coroutine hasn't run yet isn't cancelled, so that the time limit stays in force after this.
    void cancelOperation()
    {
        beast::error_code ignored;
        m_socket.cancel(ignored);
    }

    void expireAfter(std::chrono::milliseconds time)
    {
        m_timedOut = false;
        m_expiry = Clock::now() + time;
    }

    bool serveOne(const asio::yield_context &yield)
    {
        const bool keepOpen = readAndAnswer(yield);
        setUnanswered(false);
        return keepOpen;
    }

    void setUnanswered(bool isUnanswered)
    {
        if (isUnanswered == m_isUnanswered) {
            return;
        }
        m_isUnanswered = isUnanswered;
        if (isUnanswered) {
            m_state->m_unanswered.fetch_add(1);
        } else {
            m_state->m_unanswered.fetch_sub(1);
        }
    }

    bool readAndAnswer(const asio::yield_context &yield)
    {
        m_isReading = true;
        m_readingSince = Clock::now();
        ReadResult read = readRequest(yield);
        m_isReading = false;
        if (std::holds_alternative<ConnectionEnded>(read)) {
            m_ended = true;
            return false;
        }
        if (const auto *refusal = std::get_if<HttpResponse>(&read)) {
            m_reservation.reset();
            writeResponse(*refusal, false, yield);
            return false;
        }
        m_hasServed = true;
        HttpResponse response = handle(std::move(std::get<HttpRequest>(read)), yield);
        m_reservation.reset();
        const bool keepOpen = m_keepAlive && !m_state->m_closing;
        return writeResponse(response, keepOpen, yield) && keepOpen;
    }

    HttpResponse handle(HttpRequest request, const asio::yield_context &yield)
    {
        m_cancellation = std::make_shared<Cancellation>();
        m_watching = false;
        m_expiry = Clock::time_point::max();
        HttpResponse response;
        try {
            response = m_state->m_handler(request, *this, yield);
        } catch (const std::exception &error) {
            response = errorResponse(500, "internal", "", error.what());
        }
        if (m_watching) {
            beast::error_code ignored;
            m_socket.cancel(ignored);
        }
        return response;
    }

    /// Waits until the connection becomes readable while a request is handled: an end of file means that the caller
    /// left. More input means a pipelined request; after it an end can't be seen, so the watch stops.
    void watchCaller()
    {
        m_socket.async_wait(tcp::socket::wait_read, [this, cancellation = std::weak_ptr<Cancellation>(m_cancellation)](const beast::error_code &error) {
            const auto current = cancellation.lock();
            // The cancellation object belongs to one request; when it is gone, so may be this connection.
            if (error || !current) {
                return;
            }
            char byte = 0;
            const ssize_t count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                current->request();
            }
        });
    }

    ReadResult readRequest(const asio::yield_context &yield)
    {
        beast::error_code error;
        if (m_buffer.size() == 0) {
            m_idle = true;
            expireAfter(m_state->m_closing ? s_lingerTimeout : m_state->m_settings.input.idleTimeout);
            const auto space = m_buffer.prepare(s_readSize);
            std::size_t count = m_socket.async_read_some(space, yield[error]);
            m_idle = false;
            if (beast::error_code ignored; error == asio::error::operation_aborted && m_socket.available(ignored) > 0) {
                // A request arrived after the cancellation; closing the socket now would reset its connection.
                count = m_socket.read_some(space, error);
            }
            m_buffer.commit(count);
            if (error) {
                return ConnectionEnded{};
            }
        }
        http::request_parser<http::string_body> parser;
        // The buffer of the connection holds no larger header.
        const std::size_t headerLimit = std::min(m_state->m_settings.input.headerLimit, m_buffer.max_size() - s_readSize);
        parser.header_limit(static_cast<std::uint32_t>(headerLimit));
        parser.body_limit(m_state->m_settings.input.bodyLimit);
        expireAfter(m_state->m_settings.input.headerTimeout);
        const RequestHead head = readHead(m_socket, m_buffer, headerLimit, yield);
        m_isHead = beginsWith(m_buffer, "HEAD ");
        if (const auto *fault = std::get_if<FramingFault>(&head)) {
            return rejectFraming(*fault);
        }
        if (const auto *failed = std::get_if<boost::system::error_code>(&head)) {
            return endOfRead(*failed, "header");
        }
        const std::size_t headCost = costOf(std::get<std::string_view>(head));
        m_headerReadAt = BootClock::now();
        setUnanswered(true);
        // Before it is parsed: the fields of all requests that wait for room would need more memory than there is.
        if (!reserve(headCost, yield)) {
            return rejectForMemory(s_lingerLimit);
        }
        http::async_read_header(m_socket, m_buffer, parser, yield[error]);
        if (error) {
            return endOfRead(error, "header");
        }
        if (!reserve(headCost + declaredBytes(parser), yield)) {
            return rejectForMemory(rejectedBytes(parser));
        }
        m_keepAlive = parser.get().keep_alive();
        // Before the body: the parser adds the trailers that follow it to the headers.
        HttpRequest request = toRequest(parser.get());
        if (!parser.is_done() && !m_state->m_settings.readsBodies) {
            m_keepAlive = false;
            return request;
        }
        if (!parser.is_done()) {
            if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !continueBody(yield)) {
                return ConnectionEnded{};
            }
            if (!readBody(parser, headCost, yield, error)) {
                return rejectForMemory(rejectedBytes(parser));
            }
            if (error) {
                return endOfRead(error, "body");
            }
        }
        request.body = std::move(parser.get().body());
        return request;
    }

    HttpResponse rejectFraming(FramingFault fault) const
    {
        if (const auto &rejections = m_state->m_settings.framingRejections) {
            rejections->count(fault);
        }
        return errorResponse(statusOf(fault), "malformed-request", fieldOf(fault), fmt::format("the request's end can't be told: {}", toText(fault)));
    }

    using RequestParser = http::request_parser<http::string_body>;

    /// Takes room for the request, or waits for it; the expiry of the connection is off meanwhile.
    bool reserve(std::size_t bytes, const asio::yield_context &yield)
    {
        if (!m_state->m_settings.memory) {
            return true;
        }
        if (!m_reservation) {
            m_reservation.emplace(m_state->m_settings.memory, MemoryUse::Request);
        }
        m_expiry = Clock::time_point::max();
        const Clock::duration longest = std::min<Clock::duration>(m_state->m_settings.memoryWait, m_state->m_readEnd - Clock::now());
        m_awaitsRoom = true;
        const bool hasRoom = awaitRoom(*m_reservation, bytes, longest, m_socket.get_executor(), yield);
        m_awaitsRoom = false;
        return hasRoom;
    }

    /// 0 for a length above the limit, which ends the reading of the body, and for a body that isn't read.
    std::size_t declaredBytes(const RequestParser &parser) const
    {
        if (!m_state->m_settings.readsBodies) {
            return 0;
        }
        const std::uint64_t declared = parser.content_length().value_or(0);
        return declared <= m_state->m_settings.input.bodyLimit ? static_cast<std::size_t>(declared) : 0;
    }

    /// Reads the rest of the request. False when there is no room for a body in chunks.
    bool readBody(RequestParser &parser, std::size_t headCost, const asio::yield_context &yield, beast::error_code &error)
    {
        ParserFeed feed;
        parser.eager(true);
        const Clock::time_point end = Clock::now() + m_state->m_settings.bodyTimeout;
        std::string &body = parser.get().body();
        while (!parser.is_done() && !error) {
            const std::size_t capacity = grownCapacity(body.size(), body.capacity(), m_buffer.max_size(), m_state->m_settings.input.bodyLimit);
            if (parser.chunked() && capacity != body.capacity()) {
                if (!reserve(headCost + capacity, yield)) {
                    return false;
                }
                body.reserve(capacity);
            }
            m_timedOut = false;
            m_expiry = end;
            error = readBodyStep(m_socket, m_buffer, parser, feed, yield);
        }
        if (parser.chunked()) {
            reserve(headCost + body.size(), yield);
        }
        return true;
    }

    /// What the caller of a rejected request may still send.
    std::size_t rejectedBytes(const RequestParser &parser) const
    {
        return std::max(s_lingerLimit, parser.chunked() ? m_state->m_settings.input.bodyLimit : declaredBytes(parser));
    }

    HttpResponse rejectForMemory(std::size_t lingerLimit)
    {
        m_lingerLimit = lingerLimit;
        m_lingerTimeout = s_rejectedBodyTimeout;
        HttpResponse response = errorResponse(503, "rejected", "body", "the request did not run: this host has no memory left for it");
        const double spread = std::uniform_real_distribution<double>(1, 2)(m_state->m_random);
        response.headers.add("Retry-After", fmt::format("{:.2f}", s_memoryRetryAfter.count() * spread));
        return response;
    }

    ReadResult endOfRead(const beast::error_code &error, std::string_view part) const
    {
        if (m_timedOut && Clock::now() >= m_state->m_readEnd) {
            HttpResponse response = errorResponse(503, "rejected", part, fmt::format("the request did not run: this host stops before it has the {}", part));
            response.headers.add("Retry-After", "0");
            return response;
        }
        if (m_timedOut) {
            return errorResponse(408, "too-slow", part, fmt::format("the {} did not arrive in time", part));
        }
        if (!isInputError(error)) {
            return ConnectionEnded{};
        }
        return responseForReadError(error, m_state->m_settings.input);
    }

    bool continueBody(const asio::yield_context &yield)
    {
        static constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
        beast::error_code error;
        expireAfter(m_state->m_settings.writeTimeout);
        asio::async_write(m_socket, asio::buffer(answer), yield[error]);
        return !error;
    }

    /// The request without its body.
    static HttpRequest toRequest(const http::request<http::string_body> &message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers.add(std::string_view(field.name_string()), std::string_view(field.value()));
        }
        return request;
    }

    bool writeResponse(const HttpResponse &response, bool keepOpen, const asio::yield_context &yield)
    {
        http::response<http::span_body<const char>> message;
        message.version(11);
        message.result(static_cast<unsigned>(response.status));
        for (const auto &field : response.headers.all()) {
            message.insert(field.name, field.value);
        }
        message.keep_alive(keepOpen);
        message.body() = {response.body.data(), response.body.size()};
        // The length of an upstream's response to HEAD, whose body has no bytes, isn't known.
        if (!m_isHead || !response.body.empty()) {
            message.content_length(response.body.size());
        }
        beast::error_code error;
        expireAfter(m_state->m_settings.writeTimeout);
        m_isWriting = true;
        m_writingSince = Clock::now();
        http::response_serializer<http::span_body<const char>> serializer(message);
        if (m_isHead) {
            http::async_write_header(m_socket, serializer, yield[error]);
        } else {
            http::async_write(m_socket, serializer, yield[error]);
        }
        m_isWriting = false;
        m_ended = m_ended || error;
        if (error) {
            recordUnwritten(response, error);
        }
        return !error;
    }

    void recordUnwritten(const HttpResponse &response, const beast::error_code &error) const
    {
        m_state->count(ConnectionEvent::ResponseNotWritten);
        if (m_state->m_settings.requestIdHeader.empty()) {
            return;
        }
        writeLog(LogLevel::Info,
            "response-not-written",
            {{"request", std::string(response.headers.value(m_state->m_settings.requestIdHeader))},
                {"status", std::int64_t{response.status}},
                {"reason", error.message()},
                {"isStopping", m_state->m_closing},
                {"elapsedMs", std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_headerReadAt).count()}});
    }

    /// Closing a socket with unread input resets the connection, and the caller may lose the response that way.
    void linger(const asio::yield_context &yield)
    {
        if (m_ended) {
            return;
        }
        beast::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        expireAfter(m_lingerTimeout);
        std::size_t discarded = 0;
        std::array<char, s_readSize> sink{};
        while (!error && discarded < m_lingerLimit) {
            discarded += m_socket.async_read_some(asio::buffer(sink), yield[error]);
        }
    }

    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    Clock::time_point m_expiry = Clock::time_point::max();
    bool m_timedOut = false;
    beast::flat_buffer m_buffer;
    std::string m_address;
    std::list<Connection *>::iterator m_position;
    std::shared_ptr<Cancellation> m_cancellation = std::make_shared<Cancellation>();
    bool m_watching = false;
    bool m_idle = false;
    bool m_isReading = false;
    Clock::time_point m_readingSince{};
    bool m_isWriting = false;
    Clock::time_point m_writingSince{};
    /// The request that is read waits for room in the budget.
    bool m_awaitsRoom = false;
    /// A request of this connection has been read as a whole.
    bool m_hasServed = false;
    bool m_ended = false;
    bool m_keepAlive = false;
    /// A request's header has been read, and its response hasn't been written.
    bool m_isUnanswered = false;
    /// The request that is being read or answered has the method HEAD, so that its response has no body.
    bool m_isHead = false;
    /// Of the request that is read or handled.
    std::optional<MemoryReservation> m_reservation;
    std::size_t m_lingerLimit = s_lingerLimit;
    std::chrono::milliseconds m_lingerTimeout = s_lingerTimeout;
    BootTime m_headerReadAt{};
};

Result<void> HttpServer::State::listen()
{
    const auto endpoint = parseEndpoint(m_settings.address);
    if (endpoint.has_error()) {
        return endpoint.error();
    }
    boost::system::error_code error;
    m_acceptor.open(tcp::v4(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error && m_settings.sharesAddress) {
        m_acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint.value(), error);
    }
    if (!error) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (!error) {
        m_acceptor.non_blocking(true, error);
    }
    if (error) {
        return Error{ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", m_settings.address, error.message())};
    }
    return boost::outcome_v2::success();
}

void HttpServer::State::startAccepting()
{
    asio::spawn(m_context, [self = shared_from_this()](const asio::yield_context &yield) { self->acceptLoop(yield); });
    asio::spawn(m_context, [self = shared_from_this()](const asio::yield_context &yield) { self->expireLoop(yield); });
}

void HttpServer::State::expireLoop(const asio::yield_context &yield)
{
    while (m_acceptor.is_open() || !m_connections.empty()) {
        boost::system::error_code ignored;
        m_expiryTimer.expires_after(s_expiryInterval);
        m_expiryTimer.async_wait(yield[ignored]);
        const Clock::time_point now = Clock::now();
        for (Connection *connection : m_connections) {
            connection->cancelIfExpired(now);
        }
    }
}

void HttpServer::State::acceptLoop(const asio::yield_context &yield)
{
    // The state decides and not the error of a cancelled accept: one that had completed before its cancellation has no error.
    while (!m_closesIdle && m_acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(m_context);
        m_acceptor.async_accept(socket, yield[error]);
        if (error == asio::error::operation_aborted) {
            break;
        }
        if (error) {
            asio::steady_timer pause(m_context, s_acceptPause);
            pause.async_wait(yield[error]);
            continue;
        }
        serve(std::move(socket));
    }
    // Connections that the system has already completed would be reset when the listening socket closes.
    boost::system::error_code error;
    while (!error && m_acceptor.is_open()) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            serve(std::move(socket));
        }
    }
    m_isDraining = false;
    writeLog(LogLevel::Info, "listening-ended", {{"address", address()}, {"open", static_cast<std::int64_t>(openConnections())}});
    m_acceptor.close(error);
}

void HttpServer::State::makeRoom()
{
    const Clock::time_point now = Clock::now();
    Connection *slowest = nullptr;
    int lowest = std::numeric_limits<int>::max();
    // In the order in which they were accepted, so that the oldest of a rank gives way.
    for (Connection *connection : m_connections) {
        const std::optional<int> rank = connection->pressureRank(now);
        if (rank && *rank < lowest) {
            slowest = connection;
            lowest = *rank;
        }
    }
    if (slowest) {
        count(ConnectionEvent::EndedForRoom);
        slowest->expireNow();
    }
}

void HttpServer::State::serve(tcp::socket socket)
{
    if (static_cast<double>(m_open.load()) >= s_pressurePart * static_cast<double>(m_settings.connectionLimit)) {
        makeRoom();
    }
    if (m_open.load() >= m_settings.connectionLimit) {
        // The socket's send buffer is empty, so the write neither waits nor is partial. A caller that has sent its
        // request already may see a reset instead.
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        count(ConnectionEvent::RejectedAtLimit);
        socket.write_some(asio::buffer(s_tooManyConnections), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    if (m_closesIdle) {
        count(ConnectionEvent::AcceptedLate);
    }
    auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    asio::spawn(m_context, [connection = std::move(connection)](const asio::yield_context &yield) { connection->run(yield); });
}

void HttpServer::State::closeIdle()
{
    m_closing = true;
    m_closesIdle = true;
    m_isDraining = m_acceptor.is_open();
    boost::system::error_code ignored;
    m_acceptor.cancel(ignored);
    std::int64_t closed = 0;
    for (Connection *connection : m_connections) {
        if (connection->endIfIdle()) {
            count(ConnectionEvent::ClosedIdle);
            ++closed;
        }
    }
    writeLog(LogLevel::Info,
        "idle-connections-closed",
        {{"address", address()},
            {"closed", closed},
            {"open", static_cast<std::int64_t>(m_open.load())},
            {"unanswered", static_cast<std::int64_t>(unansweredRequests())}});
}

void HttpServer::State::closeAll()
{
    m_closing = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (Connection *connection : m_connections) {
        connection->close();
    }
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer()
{
    m_state->closeAll();
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(asio::io_context &context, HttpServerSettings settings, Handler handler)
{
    auto state = std::make_shared<State>(context, std::move(settings), std::move(handler));
    const auto listening = state->listen();
    if (listening.has_error()) {
        return listening.error();
    }
    state->startAccepting();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::string HttpServer::address() const
{
    return m_state->address();
}

void HttpServer::setInputLimits(const HttpInputLimits &limits)
{
    m_state->setInputLimits(limits);
}

void HttpServer::announceClose(std::chrono::milliseconds readTime)
{
    m_state->announceClose(readTime);
}

void HttpServer::closeIdle()
{
    m_state->closeIdle();
}

std::size_t HttpServer::openConnections() const
{
    return m_state->openConnections();
}

std::size_t HttpServer::unansweredRequests() const
{
    return m_state->unansweredRequests();
}

} // namespace Trefoil
