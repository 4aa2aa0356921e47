#pragma once

#include <LibCore/bootclock.h>
#include <LibHttp/cancellation.h>
#include <LibHttp/connectioncause.h>
#include <LibHttp/connectionlimit.h>
#include <LibHttp/memorybudget.h>
#include <LibHttp/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Trefoil
{

enum class CallFailureKind {
    /// The connection limit of the upstream is reached and no connection is idle.
    NoConnection,
    /// The pool's limit on all connections together is reached and no connection is idle.
    PoolExhausted,
    ConnectFailed,
    ConnectTimeout,
    /// The deadline passed.
    DeadlineExceeded,
    /// No byte came or went within the progress timeout.
    Stalled,
    /// The connection was reset or closed before the header of the response.
    ConnectionLost,
    /// The response was cut after it had begun.
    Truncated,
    /// The body of the response has neither a length nor chunks, so that its end can't be told from a cut.
    LengthUndeclared,
    /// The response belongs to another request.
    WrongRequestId,
    Malformed,
    TooLarge,
    /// This process had no room for the response.
    NoMemory,
    Cancelled,
    /// CallOptions::prepare refused.
    WriteRefused,
};

/// Why a call has no response.
struct CallFailure
{
    CallFailureKind kind = CallFailureKind::ConnectFailed;
    /// False when certainly no byte of the request left this process.
    bool anyByteWritten = false;
    std::string message{};
};

using CallResult = std::variant<HttpResponse, CallFailure>;

/// The kind's name in logs and reasons, such as "connect-failed". Precondition: none. Thread safety: safe from any thread.
std::string_view toText(CallFailureKind kind);

/// What happened on the connection of one call, for logs and metrics.
struct CallTrace
{
    /// Number of the connection in the order in which the pool opened them, from 1; 0 without a connection.
    std::uint64_t connection = 0;
    /// Requests that the connection had carried before this one.
    std::uint64_t earlierRequests = 0;
    /// Responses to other requests that were discarded.
    int foreignResponses = 0;
    /// Idle connections that were not used, since they had answered this request with a failure.
    int avoidedConnections = 0;
    /// Time for which the response wasn't read, since this process had no room for it.
    BootClock::duration memoryWait{};
    /// Why the connection was opened for this call; nothing for a call that opened none.
    std::optional<ConnectionCause> opened{};
    /// Bytes of the request that were written, and bytes of responses that were read, with their heads.
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
};

struct CallOptions
{
    BootTime deadline;
    /// Longest silence while the response is awaited or read, and while the request is written.
    std::chrono::milliseconds progressTimeout{2000};
    /// Required value of the request id's header in the response. Empty accepts every response and opens a new connection, since
    /// nothing would tell a late response to an earlier request from the response to this one.
    std::string requestId{};
    std::string requestIdHeader = "Trefoil-Request-Id";
    /// A response with this header counts as a failure whatever its status, since the caller may send the request again after it.
    /// Empty for none.
    std::string refusalHeader{};
    /// A response with another id is discarded and the next one awaited, instead of ending the call. The connection is
    /// not used again in either case.
    bool skipsForeignResponses = false;
    /// Most foreign responses that are discarded; their bodies together may be as large as one response. A connection
    /// carries one request at a time, so that more than a few late responses are no mistake of a sound upstream.
    int foreignLimit = 8;
    /// Most interim (1xx) responses before the response: three a second for the longest calls of 20 s.
    int interimLimit = 64;
    /// Takes a response without a declared length as complete when the upstream closes the connection in order.
    bool acceptsUndeclaredLength = false;
    /// A connection that was idle for longer is not used for this call, since its other end may have forgotten it.
    std::chrono::milliseconds maximumIdle = std::chrono::hours(1);
    /// Largest body of a response, in bytes. Headers, chunk sizes and trailers have a limit of their own.
    std::size_t responseLimit = std::size_t{16} * 1024 * 1024;
    /// Sent in place of the request's body, so that attempts share one body; may be null. Outlives the call.
    const std::string *body = nullptr;
    /// Ends the call early; may be null.
    Cancellation *cancellation = nullptr;
    /// Receives what happened on the connection; may be null.
    CallTrace *trace = nullptr;
    /// Called directly before the first byte is written, after every wait, to complete the request, for example with the
    /// time left; false refuses to send it. May be empty.
    std::function<bool(HttpRequest &request)> prepare{};
};

struct ConnectionPoolSettings
{
    /// Local IP of connections; empty leaves the choice to the system.
    std::string sourceAddress{};
    std::chrono::milliseconds connectTimeout{1000};
    /// A new connection costs the upstream about 1 ms, so warm ones are kept through ordinary pauses.
    std::chrono::seconds idleTimeout{60};
    std::size_t idleLimitPerAddress = 64;
    /// Most open connections to all addresses together, with idle ones and those that are being opened; 0 for no limit. At the limit the pool
    /// closes the connection that was idle for longest; where none is idle, a call ends before anything is sent.
    std::size_t connectionLimit = 0;
    /// Most addresses of which the pool remembers why connections ended, besides those with idle connections. More than a deployment has
    /// upstreams, and bounded since upstreams that are replaced come back at other addresses.
    std::size_t rememberedAddressLimit = 4096;
    /// Sent bytes that stay unacknowledged for this long end the connection, as does an idle peer that answers no
    /// keep-alive probes; 0 leaves both to the system.
    std::chrono::milliseconds unacknowledgedTimeout{0};
    /// Budget for responses; a call for which it has no room ends. Null gives the pool a budget of its own with the default limits: four bodies
    /// of the largest size.
    std::shared_ptr<MemoryBudget> memory{};
};

/// Connections of a pool, and what its limit on all of them has caused since the start.
struct ConnectionUse
{
    /// Connections that carry a request or are being opened.
    std::size_t inUse = 0;
    std::size_t idle = 0;
    /// 0 for no limit.
    std::size_t limit = 0;
    /// Calls that were not sent.
    std::uint64_t rejectedCalls = 0;
    /// Idle connections that were closed to make room.
    std::uint64_t closedForRoom = 0;
};

/// Keep-alive connections to upstreams and other hosts, for one worker thread.
/// A connection carries one request at a time. It is reused only after a complete response that belongs to its
/// request; every other end closes it. A request is not sent again on a connection that answered it with a failure. Thread safety: all calls on the thread that runs the context.
class ConnectionPool
{
public:
    /// Precondition: one thread runs context, which outlives the pool.
    ConnectionPool(boost::asio::io_context &context, ConnectionPoolSettings settings);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Sends a request once and reads its response. There is no retry: a lost warm connection ends the call.
    /// Preconditions: address is a valid IP:port; the pool and all arguments outlive the call. limit may be null.
    CallResult call(const std::string &address,
        const std::shared_ptr<ConnectionLimit> &limit,
        HttpRequest request,
        const CallOptions &options,
        const boost::asio::yield_context &yield);

    /// Closes idle connections that were idle for too long, that the other side closed, and on which bytes came that
    /// belong to no request. Precondition: none.
    void closeExpired(BootTime now);

    /// Connections opened since the start. Precondition: none.
    std::uint64_t opened() const;

    /// Precondition: none.
    ConnectionUse use() const;

    /// Addresses of which the pool holds state. Precondition: none.
    std::size_t rememberedAddresses() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
