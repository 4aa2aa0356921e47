#include <LibHttp/connectionpool.h>

#include <LibHttp/abandonment.h>
#include <LibHttp/awaitroom.h>
#include <LibHttp/endpoint.h>
#include <LibHttp/failedrequests.h>
#include <LibHttp/responsereader.h>
#include <LibHttp/silence.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <netinet/in.h>
#include <unordered_map>
#include <vector>

namespace Trefoil
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint32_t s_headerLimit = 16 * 1024;
/// A connection that its other end announced to close is not used in the last second, as a request may cross the close.
constexpr std::chrono::milliseconds s_keepAliveMargin{1000};

struct ConnectionPermits
{
    /// Counts against the pool's limit.
    ConnectionPermit pool;
    /// Counts against the limit of the address, where it has one.
    std::optional<ConnectionPermit> address;
};

struct PooledConnection
{
    PooledConnection(asio::io_context &context, ConnectionPermits permitsForIt)
        : stream(context)
        , buffer(s_responseBufferLimit)
        , permits(std::move(permitsForIt))
    {
    }

    /// A connection on which a request waits for its response is reset, so that nothing of the request arrives later.
    ~PooledConnection()
    {
        if (stream.socket().is_open() && !awaitsResponse) {
            setResetOnClose(stream.socket(), false);
        }
    }

    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    ConnectionPermits permits;
    BootTime openedAt = BootClock::now();
    BootTime idleSince{};
    /// Announced by the upstream; it closes the connection after being idle for this long.
    std::optional<std::chrono::seconds> keepAlive{};
    bool reused = false;
    bool awaitsResponse = false;
    /// In the order of opening, from 1.
    std::uint64_t number = 0;
    /// Requests that were written, or whose writing began.
    std::uint64_t requests = 0;
    FailedRequests failedRequests;
};

using ConnectionPointer = std::unique_ptr<PooledConnection>;

/// Why an idle connection can't be used any more: the other side closed it, or sent bytes that belong to no request. Nothing while it can.
std::optional<ConnectionCause> idleLoss(PooledConnection &connection)
{
    char byte = 0;
    const ssize_t count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return ConnectionCause::Failure;
    }
    const bool isQuiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isQuiet ? std::nullopt : std::make_optional(ConnectionCause::IdleClosedByPeer);
}

/// Removes the cancellation hook at the end of a call.
class HookScope
{
public:
    HookScope(Cancellation *cancellation, beast::tcp_stream &stream)
        : m_cancellation(cancellation)
    {
        if (m_cancellation) {
            m_cancellation->setHook([&stream] { stream.close(); });
        }
    }

    ~HookScope()
    {
        if (m_cancellation) {
            m_cancellation->setHook({});
        }
    }

    HookScope(const HookScope &) = delete;
    HookScope &operator=(const HookScope &) = delete;

private:
    Cancellation *m_cancellation;
};

http::request<http::span_body<const char>> toMessage(const HttpRequest &request, const std::string &body, const std::string &address)
{
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!request.headers.find("Host")) {
        message.set(http::field::host, address);
    }
    for (const auto &field : request.headers.all()) {
        message.insert(field.name, field.value);
    }
    message.body() = {body.data(), body.size()};
    if (!body.empty() || request.method == "POST" || request.method == "PUT") {
        message.content_length(body.size());
    }
    return message;
}

HttpHeaders headersOf(const http::response<http::string_body> &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        headers.add(std::string_view(field.name_string()), std::string_view(field.value()));
    }
    return headers;
}

/// The time of "Keep-Alive: timeout=<seconds>".
std::optional<std::chrono::seconds> announcedKeepAlive(std::string_view value)
{
    static constexpr std::string_view name = "timeout=";
    const auto start = value.find(name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string digits(value.substr(start + name.size(), 9));
    return std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
}

/// Responses from this status on are failures; their copies are remembered.
constexpr int s_firstFailure = 400;

/// A response waits for room for this part of the time left, so that a third of it remains to read the response.
constexpr double s_memoryWaitPart = 2.0 / 3;
/// Longest wait of a response that grows, since it holds room meanwhile.
constexpr std::chrono::milliseconds s_growthWait{1000};

/// One request on one connection.
class Exchange
{
public:
    Exchange(PooledConnection &connection, const CallOptions &options, const std::shared_ptr<MemoryBudget> &memory)
        : m_connection(connection)
        , m_options(options)
        , m_memory(memory)
    {
    }

    std::optional<CallFailure> write(const HttpRequest &request, const std::string &address, const asio::yield_context &yield)
    {
        m_isHead = request.method == "HEAD";
        const auto message = toMessage(request, m_options.body ? *m_options.body : request.body, address);
        http::request_serializer<http::span_body<const char>> serializer(message);
        beast::error_code error;
        while (!serializer.is_done()) {
            expireAtNextLimit();
            const std::size_t count = http::async_write_some(m_connection.stream, serializer, yield[error]);
            m_anyByteWritten = m_anyByteWritten || count > 0;
            m_bytesWritten += count;
            if (error) {
                return failure(CallFailureKind::ConnectionLost, error);
            }
        }
        return std::nullopt;
    }

    CallResult read(const asio::yield_context &yield)
    {
        while (true) {
            http::response_parser<http::string_body> parser;
            parser.header_limit(s_headerLimit);
            parser.body_limit(m_options.responseLimit);
            parser.skip(m_isHead);
            if (auto failed = readMessage(parser, yield)) {
                return *failed;
            }
            const bool isInterim = parser.get().result_int() < 200;
            if (isInterim) {
                if (++m_interimCount > m_options.interimLimit) {
                    return CallFailure{CallFailureKind::TooLarge, true, "too many interim responses"};
                }
                continue;
            }
            // An upstream that sends a body after its response to HEAD can't be told from one that doesn't.
            m_isCloseAnnounced = !parser.keep_alive();
            m_reusable = !m_skipped && !m_isHead && parser.keep_alive() && m_connection.buffer.size() == 0;
            m_connection.keepAlive = announcedKeepAlive(std::string_view(parser.get()[http::field::keep_alive]));
            const bool mayFollow = parser.keep_alive();
            const std::size_t bodyBytes = parser.get().body().size();
            HttpResponse response{static_cast<int>(parser.get().result_int()), std::move(m_head), std::move(parser.get().body())};
            response.reservation = std::move(m_reservation);
            CallResult result = checkId(std::move(response));
            recordFailure(result);
            const auto *failed = std::get_if<CallFailure>(&result);
            if (failed && m_options.skipsForeignResponses && mayFollow && mayDiscard(bodyBytes)) {
                m_skipped = true;
                continue;
            }
            return result;
        }
    }

    bool isReusable() const
    {
        return m_reusable;
    }

    /// Why the connection isn't used again. Precondition: it isn't reusable.
    ConnectionCause loss() const
    {
        return m_isCloseAnnounced ? ConnectionCause::CloseAnnounced : ConnectionCause::Failure;
    }

    std::uint64_t bytesWritten() const
    {
        return m_bytesWritten;
    }

    std::uint64_t bytesRead() const
    {
        return m_bytesRead;
    }

    /// Time for which nothing was read for lack of room.
    BootClock::duration memoryWait() const
    {
        return m_memoryWait;
    }

    /// Foreign responses that were discarded.
    int foreignResponses() const
    {
        return m_discardedCount;
    }

private:
    void recordFailure(const CallResult &result)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        if (!response || m_options.requestId.empty()) {
            return;
        }
        const bool isRefusal = !m_options.refusalHeader.empty() && response->headers.find(m_options.refusalHeader);
        if (response->status < s_firstFailure && !isRefusal) {
            return;
        }
        m_connection.failedRequests.add(m_options.requestId);
        m_reusable = m_reusable && !m_connection.failedRequests.isFull();
    }

    std::optional<CallFailure> readMessage(http::response_parser<http::string_body> &parser, const asio::yield_context &yield)
    {
        ResponseReader reader(m_connection.stream, m_connection.buffer, parser, m_options.deadline);
        m_reservation = std::make_shared<MemoryReservation>(m_memory, MemoryUse::Response);
        m_headBytes = 0;
        while (!parser.is_done()) {
            expireAtNextLimit();
            const bool hadHead = parser.is_header_done();
            const std::uint64_t parsedBefore = reader.bytesParsed();
            beast::error_code error = reader.step(yield);
            m_bytesRead += reader.bytesParsed() - parsedBefore;
            if (!hadHead && parser.is_header_done()) {
                m_head = headersOf(parser.get());
            }
            // Checked before the error: without a declared length, the end of the connection looks like the end of the body.
            if (parser.is_header_done() && parser.get().result_int() >= 200 && !m_isHead && !reader.declaresLength()) {
                if (!m_options.acceptsUndeclaredLength) {
                    return CallFailure{CallFailureKind::LengthUndeclared, true, "the response declares no length"};
                }
                if (error == http::error::end_of_stream) {
                    error = {};
                }
            }
            if (error) {
                return failure(parser.got_some() ? CallFailureKind::Truncated : CallFailureKind::ConnectionLost, error);
            }
            if (!reserve(reader, parser, yield)) {
                const bool isCancelled = m_options.cancellation && m_options.cancellation->isRequested();
                return CallFailure{isCancelled ? CallFailureKind::Cancelled : CallFailureKind::NoMemory, true, "no memory is left for the response"};
            }
        }
        return std::nullopt;
    }

    /// Takes room before the body is read: for its declared length, or in steps as it grows.
    bool reserve(const ResponseReader &reader, http::response_parser<http::string_body> &parser, const asio::yield_context &yield)
    {
        if (!parser.is_header_done()) {
            return true;
        }
        std::string &body = parser.get().body();
        if (m_headBytes == 0) {
            m_headBytes = static_cast<std::size_t>(reader.bytesParsed());
        }
        if (parser.is_done()) {
            return takeRoom(m_headBytes + body.size(), BootClock::duration::max(), yield);
        }
        if (const auto declared = parser.content_length()) {
            return takeRoom(m_headBytes + static_cast<std::size_t>(*declared), BootClock::duration::max(), yield);
        }
        const std::size_t capacity = grownCapacity(body.size(), body.capacity(), s_responseBufferLimit, m_options.responseLimit);
        if (!takeRoom(m_headBytes + capacity, s_growthWait, yield)) {
            return false;
        }
        body.reserve(capacity);
        return true;
    }

    bool takeRoom(std::size_t bytes, BootClock::duration longest, const asio::yield_context &yield)
    {
        if (m_reservation->tryResize(bytes)) {
            return true;
        }
        const BootTime start = BootClock::now();
        const auto part = std::chrono::duration_cast<BootClock::duration>((m_options.deadline - start) * s_memoryWaitPart);
        const auto executor = m_connection.stream.get_executor();
        const bool isTaken = awaitRoom(*m_reservation, bytes, std::min(part, longest), executor, yield, m_options.cancellation);
        if (m_options.cancellation) {
            m_options.cancellation->setHook([this] { m_connection.stream.close(); });
        }
        m_memoryWait += BootClock::now() - start;
        return isTaken;
    }

    /// Counts one more foreign response; false when it exceeds the limits of the call.
    bool mayDiscard(std::size_t bodyBytes)
    {
        m_discardedBytes += bodyBytes;
        return ++m_discardedCount <= m_options.foreignLimit && m_discardedBytes <= m_options.responseLimit;
    }

    CallResult checkId(HttpResponse response)
    {
        const bool hasId = response.headers.count(m_options.requestIdHeader) == 1 && response.headers.value(m_options.requestIdHeader) == m_options.requestId;
        if (m_options.requestId.empty() || hasId) {
            return response;
        }
        m_reusable = false;
        return CallFailure{CallFailureKind::WrongRequestId, true, "the response carries the id of another request"};
    }

    /// The stream ends an operation at the earlier of the deadline and the progress timeout.
    void expireAtNextLimit()
    {
        const auto left = m_options.deadline - BootClock::now();
        m_connection.stream.expires_after(std::clamp<BootClock::duration>(left, BootClock::duration::zero(), m_options.progressTimeout));
    }

    CallFailure failure(CallFailureKind kindOfConnectionError, const beast::error_code &error) const
    {
        return {kind(kindOfConnectionError, error), m_anyByteWritten, error.message()};
    }

    CallFailureKind kind(CallFailureKind kindOfConnectionError, const beast::error_code &error) const
    {
        if (m_options.cancellation && m_options.cancellation->isRequested()) {
            return CallFailureKind::Cancelled;
        }
        if (error == beast::error::timeout && m_memoryWait > BootClock::duration::zero()) {
            return CallFailureKind::NoMemory;
        }
        if (error == beast::error::timeout) {
            return BootClock::now() >= m_options.deadline ? CallFailureKind::DeadlineExceeded : CallFailureKind::Stalled;
        }
        if (error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow) {
            return CallFailureKind::TooLarge;
        }
        const bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
            && error != http::error::partial_message;
        return isMalformed ? CallFailureKind::Malformed : kindOfConnectionError;
    }

    PooledConnection &m_connection;
    const CallOptions &m_options;
    const std::shared_ptr<MemoryBudget> &m_memory;
    /// Of the response that is read.
    std::shared_ptr<MemoryReservation> m_reservation;
    std::size_t m_headBytes = 0;
    /// Time without reading, for lack of room.
    BootClock::duration m_memoryWait{};
    bool m_anyByteWritten = false;
    /// Responses have no body, whatever their headers say.
    bool m_isHead = false;
    bool m_reusable = false;
    bool m_isCloseAnnounced = false;
    std::uint64_t m_bytesWritten = 0;
    std::uint64_t m_bytesRead = 0;
    bool m_skipped = false;
    int m_interimCount = 0;
    /// Header of the response that is being read, without its trailers.
    HttpHeaders m_head;
    int m_discardedCount = 0;
    std::uint64_t m_discardedBytes = 0;
};

} // namespace

std::string_view toText(CallFailureKind kind)
{
    switch (kind) {
    case CallFailureKind::NoConnection:
        return "connection-limit";
    case CallFailureKind::PoolExhausted:
        return "host-connection-limit";
    case CallFailureKind::ConnectFailed:
        return "connect-failed";
    case CallFailureKind::ConnectTimeout:
        return "connect-timeout";
    case CallFailureKind::DeadlineExceeded:
        return "deadline-exceeded";
    case CallFailureKind::Stalled:
        return "stalled";
    case CallFailureKind::ConnectionLost:
        return "connection-lost";
    case CallFailureKind::Truncated:
        return "truncated-response";
    case CallFailureKind::LengthUndeclared:
        return "undeclared-length";
    case CallFailureKind::WrongRequestId:
        return "wrong-request-id";
    case CallFailureKind::Malformed:
        return "malformed-response";
    case CallFailureKind::TooLarge:
        return "response-too-large";
    case CallFailureKind::NoMemory:
        return "no-memory";
    case CallFailureKind::Cancelled:
        return "cancelled";
    case CallFailureKind::WriteRefused:
        return "lease-expired";
    }
    return "unknown";
}

class ConnectionPool::Implementation
{
public:
    Implementation(asio::io_context &context, ConnectionPoolSettings settings)
        : m_context(context)
        , m_settings(std::move(settings))
    {
        if (!m_settings.memory) {
            m_settings.memory = std::make_shared<MemoryBudget>(MemoryLimits{});
        }
        constexpr std::size_t unlimited = std::numeric_limits<std::int32_t>::max();
        const std::size_t limit = m_settings.connectionLimit == 0 ? unlimited : std::min(m_settings.connectionLimit, unlimited);
        m_limit = ConnectionLimit::create(ConnectionCount(static_cast<std::int32_t>(limit)));
    }

    CallResult call(const std::string &address,
        const std::shared_ptr<ConnectionLimit> &limit,
        HttpRequest request,
        const CallOptions &options,
        const asio::yield_context &yield)
    {
        auto obtained = connection(address, limit, options, yield);
        if (const auto *failed = std::get_if<CallFailure>(&obtained)) {
            return *failed;
        }
        ConnectionPointer current = std::move(std::get<ConnectionPointer>(obtained));
        const HookScope hook(options.cancellation, current->stream);
        if (options.cancellation && options.cancellation->isRequested()) {
            stateOf(address).losses.recordLoss(ConnectionCause::Failure);
            return CallFailure{CallFailureKind::Cancelled, false, "cancelled before the request was sent"};
        }
        if (BootClock::now() >= options.deadline) {
            giveBack(address, std::move(current));
            return CallFailure{CallFailureKind::DeadlineExceeded, false, "the deadline passed before the request was sent"};
        }
        if (options.prepare && !options.prepare(request)) {
            giveBack(address, std::move(current));
            return CallFailure{CallFailureKind::WriteRefused, false, "the request may no longer be sent"};
        }
        if (options.trace) {
            options.trace->connection = current->number;
            options.trace->earlierRequests = current->requests;
        }
        ++current->requests;
        current->awaitsResponse = true;
        Exchange exchange(*current, options, m_settings.memory);
        if (auto failed = exchange.write(request, address, yield)) {
            recordBytes(options, exchange);
            return afterFailure(address, *current, *failed);
        }
        CallResult result = exchange.read(yield);
        recordBytes(options, exchange);
        if (options.trace) {
            options.trace->foreignResponses = exchange.foreignResponses();
            options.trace->memoryWait = exchange.memoryWait();
        }
        if (const auto *failed = std::get_if<CallFailure>(&result)) {
            return afterFailure(address, *current, *failed);
        }
        current->awaitsResponse = false;
        if (!exchange.isReusable()) {
            stateOf(address).losses.recordLoss(exchange.loss());
        } else if (options.cancellation && options.cancellation->isRequested()) {
            stateOf(address).losses.recordLoss(ConnectionCause::Failure);
        } else {
            giveBack(address, std::move(current));
        }
        return result;
    }

    void closeExpired(BootTime now)
    {
        for (auto &[address, state] : m_addresses) {
            // Bytes that belong to no request would fill the receive buffer, which counts as memory of the host.
            ConnectionLosses &losses = state.losses;
            auto &idle = state.idle;
            const auto isSpent = [this, now, &losses](const ConnectionPointer &connection) {
                auto loss = idleLoss(*connection);
                if (!loss && now - connection->idleSince >= m_settings.idleTimeout) {
                    loss = ConnectionCause::IdleClosedHere;
                }
                if (loss) {
                    losses.recordLoss(*loss);
                }
                return loss.has_value();
            };
            idle.erase(std::remove_if(idle.begin(), idle.end(), isSpent), idle.end());
        }
    }

    std::uint64_t opened() const
    {
        return m_opened;
    }

    ConnectionUse use() const
    {
        ConnectionUse result;
        for (const auto &[address, state] : m_addresses) {
            result.idle += state.idle.size();
        }
        result.inUse = static_cast<std::size_t>(m_limit->open().value()) - result.idle;
        result.limit = m_settings.connectionLimit;
        result.rejectedCalls = m_rejectedCalls;
        result.closedForRoom = m_closedForRoom;
        return result;
    }

    std::size_t rememberedAddresses() const
    {
        return m_addresses.size();
    }

private:
    using Obtained = std::variant<ConnectionPointer, CallFailure>;
    using IdleConnections = std::vector<ConnectionPointer>;

    struct AddressState
    {
        /// In the order in which they became idle.
        IdleConnections idle;
        ConnectionLosses losses;
    };

    /// References are valid until the next call for another address.
    AddressState &stateOf(const std::string &address)
    {
        const auto known = m_addresses.find(address);
        if (known != m_addresses.end()) {
            return known->second;
        }
        if (m_addresses.size() >= m_settings.rememberedAddressLimit) {
            forgetUnusedAddresses();
        }
        return m_addresses[address];
    }

    /// Only the cause of the next connection to a forgotten address is affected: it counts as the first use.
    void forgetUnusedAddresses()
    {
        for (auto position = m_addresses.begin(); position != m_addresses.end();) {
            position = position->second.idle.empty() ? m_addresses.erase(position) : std::next(position);
        }
    }

    Obtained connection(const std::string &address, const std::shared_ptr<ConnectionLimit> &limit, const CallOptions &options, const asio::yield_context &yield)
    {
        const std::size_t lossesBefore = stateOf(address).losses.pending();
        if (auto idle = takeIdle(address, options)) {
            return idle;
        }
        const bool hasIdle = !stateOf(address).idle.empty();
        std::optional<ConnectionPermit> permit = limit ? acquirePermit(address, *limit) : std::nullopt;
        if (limit && !permit) {
            return CallFailure{CallFailureKind::NoConnection, false, "the connection limit is reached"};
        }
        std::optional<ConnectionPermit> poolPermit = acquirePoolPermit();
        if (!poolPermit) {
            ++m_rejectedCalls;
            return CallFailure{CallFailureKind::PoolExhausted, false, "the limit on connections to all upstreams is reached"};
        }
        Obtained obtained = connect(address, {std::move(*poolPermit), std::move(permit)}, options, yield);
        if (std::holds_alternative<ConnectionPointer>(obtained)) {
            const ConnectionCause cause = stateOf(address).losses.recordOpened(lossesBefore, hasIdle);
            if (options.trace) {
                options.trace->opened = cause;
            }
        }
        return obtained;
    }

    static void recordBytes(const CallOptions &options, const Exchange &exchange)
    {
        if (options.trace) {
            options.trace->bytesWritten = exchange.bytesWritten();
            options.trace->bytesRead = exchange.bytesRead();
        }
    }

    /// At the limit, an idle connection that the call could not use makes room.
    std::optional<ConnectionPermit> acquirePermit(const std::string &address, ConnectionLimit &limit)
    {
        if (auto permit = limit.tryAcquire()) {
            return permit;
        }
        closeLongestIdle(stateOf(address));
        return limit.tryAcquire();
    }

    /// At the limit, the connection that was idle for longest makes room, whatever its address.
    std::optional<ConnectionPermit> acquirePoolPermit()
    {
        if (auto permit = m_limit->tryAcquire()) {
            return permit;
        }
        AddressState *longestIdle = nullptr;
        for (auto &[address, state] : m_addresses) {
            if (!state.idle.empty() && (!longestIdle || state.idle.front()->idleSince < longestIdle->idle.front()->idleSince)) {
                longestIdle = &state;
            }
        }
        if (!longestIdle) {
            return std::nullopt;
        }
        closeLongestIdle(*longestIdle);
        ++m_closedForRoom;
        return m_limit->tryAcquire();
    }

    static void closeLongestIdle(AddressState &state)
    {
        if (!state.idle.empty()) {
            state.idle.erase(state.idle.begin());
            state.losses.recordLoss(ConnectionCause::Limit);
        }
    }

    /// The connection used last, since the others can then expire together.
    ConnectionPointer takeIdle(const std::string &address, const CallOptions &options)
    {
        if (options.requestId.empty()) {
            return nullptr;
        }
        AddressState &state = stateOf(address);
        auto &idle = state.idle;
        const BootTime now = BootClock::now();
        // The last one was idle for the shortest time.
        for (auto position = idle.end(); position != idle.begin() && now - (*std::prev(position))->idleSince <= options.maximumIdle;) {
            --position;
            // A copy of the failure that the request got there would pass for its response.
            if ((*position)->failedRequests.contains(options.requestId)) {
                if (options.trace) {
                    ++options.trace->avoidedConnections;
                }
                continue;
            }
            ConnectionPointer connection = std::move(*position);
            position = idle.erase(position);
            const bool closesSoon = connection->keepAlive && now - connection->idleSince + s_keepAliveMargin >= *connection->keepAlive;
            auto loss = idleLoss(*connection);
            if (!loss && closesSoon) {
                loss = ConnectionCause::IdleClosedHere;
            }
            if (!loss) {
                connection->reused = true;
                return connection;
            }
            state.losses.recordLoss(*loss);
        }
        return nullptr;
    }

    void giveBack(const std::string &address, ConnectionPointer connection)
    {
        AddressState &state = stateOf(address);
        if (state.idle.size() >= m_settings.idleLimitPerAddress) {
            state.losses.recordLoss(ConnectionCause::Limit);
            return;
        }
        connection->stream.expires_never();
        connection->idleSince = BootClock::now();
        // The buffer is empty, but keeps the capacity for the largest response so far.
        connection->buffer.shrink_to_fit();
        state.idle.push_back(std::move(connection));
    }

    /// A fault on the path silences all connections that were open at that time, while new ones work. Idle connections
    /// that are as old as a stalled one are therefore closed with it.
    CallFailure afterFailure(const std::string &address, const PooledConnection &failedConnection, CallFailure failure)
    {
        const bool wentSilent = failure.kind == CallFailureKind::Stalled || failure.kind == CallFailureKind::DeadlineExceeded;
        AddressState &state = stateOf(address);
        state.losses.recordLoss(ConnectionCause::Failure);
        if (wentSilent && failedConnection.reused) {
            for (std::size_t i = 0; i < state.idle.size(); ++i) {
                state.losses.recordLoss(ConnectionCause::Failure);
            }
            state.idle.clear();
        }
        return failure;
    }

    Obtained connect(const std::string &address, ConnectionPermits permits, const CallOptions &options, const asio::yield_context &yield)
    {
        const auto endpoint = parseEndpoint(address);
        if (endpoint.has_error()) {
            return CallFailure{CallFailureKind::ConnectFailed, false, endpoint.error().message};
        }
        const auto left = options.deadline - BootClock::now();
        if (left <= BootClock::duration::zero()) {
            return CallFailure{CallFailureKind::DeadlineExceeded, false, "the deadline passed before connecting"};
        }
        auto fresh = std::make_unique<PooledConnection>(m_context, std::move(permits));
        const HookScope hook(options.cancellation, fresh->stream);
        if (auto failed = bindSource(fresh->stream.socket())) {
            return *failed;
        }
        beast::error_code error;
        fresh->stream.expires_after(std::min<BootClock::duration>(left, m_settings.connectTimeout));
        fresh->stream.async_connect(endpoint.value(), yield[error]);
        if (error) {
            return CallFailure{connectFailureKind(options, error), false, error.message()};
        }
        fresh->stream.socket().set_option(tcp::no_delay(true), error);
        detectSilence(fresh->stream.socket(), m_settings.unacknowledgedTimeout);
        setResetOnClose(fresh->stream.socket(), true);
        fresh->number = ++m_opened;
        return fresh;
    }

    static CallFailureKind connectFailureKind(const CallOptions &options, const beast::error_code &error)
    {
        if (options.cancellation && options.cancellation->isRequested()) {
            return CallFailureKind::Cancelled;
        }
        return error == beast::error::timeout ? CallFailureKind::ConnectTimeout : CallFailureKind::ConnectFailed;
    }

    std::optional<CallFailure> bindSource(tcp::socket &socket) const
    {
        if (m_settings.sourceAddress.empty()) {
            return std::nullopt;
        }
        beast::error_code error;
        const auto source = asio::ip::make_address_v4(m_settings.sourceAddress, error);
        if (!error) {
            socket.open(tcp::v4(), error);
        }
        if (!error) {
            // Without this the system reserves a port for all destinations at once, and they run out.
            socket.set_option(asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(true), error);
        }
        if (!error) {
            socket.bind(tcp::endpoint(source, 0), error);
        }
        if (!error) {
            return std::nullopt;
        }
        return CallFailure{CallFailureKind::ConnectFailed, false, error.message()};
    }

    asio::io_context &m_context;
    ConnectionPoolSettings m_settings;
    /// Of all connections together.
    std::shared_ptr<ConnectionLimit> m_limit;
    std::unordered_map<std::string, AddressState> m_addresses;
    std::uint64_t m_opened = 0;
    std::uint64_t m_rejectedCalls = 0;
    std::uint64_t m_closedForRoom = 0;
};

ConnectionPool::ConnectionPool(asio::io_context &context, ConnectionPoolSettings settings)
    : m_implementation(std::make_unique<Implementation>(context, std::move(settings)))
{
}

ConnectionPool::~ConnectionPool() = default;

CallResult ConnectionPool::call(const std::string &address,
    const std::shared_ptr<ConnectionLimit> &limit,
    HttpRequest request,
    const CallOptions &options,
    const asio::yield_context &yield)
{
    return m_implementation->call(address, limit, std::move(request), options, yield);
}

void ConnectionPool::closeExpired(BootTime now)
{
    m_implementation->closeExpired(now);
}

std::uint64_t ConnectionPool::opened() const
{
    return m_implementation->opened();
}

ConnectionUse ConnectionPool::use() const
{
    return m_implementation->use();
}

std::size_t ConnectionPool::rememberedAddresses() const
{
    return m_implementation->rememberedAddresses();
}

} // namespace Trefoil
