#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/result.h>
#include <LibHttp/cancellation.h>
#include <LibHttp/connectionevents.h>
#include <LibHttp/framingrejections.h>
#include <LibHttp/memorybudget.h>
#include <LibHttp/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Trefoil
{

/// Bounds on what one caller may send, and on how long it may take.
struct HttpInputLimits
{
    std::size_t headerLimit = std::size_t{16} * 1024;
    std::size_t bodyLimit = std::size_t{1024} * 1024;
    /// Longest wait for the first byte of a request.
    std::chrono::milliseconds idleTimeout{60000};
    /// Time for the whole header from its first byte.
    std::chrono::milliseconds headerTimeout{5000};
};

struct HttpServerSettings
{
    /// Listening IP:port.
    std::string address;
    /// Lets several servers share the address; the system spreads connections over them.
    bool sharesAddress = false;
    /// Above seven eighths of it, connections whose callers have been slow for a second end; above it, new ones get 503.
    std::size_t connectionLimit = 4096;
    /// Without, a request with a body is answered from its header, and its connection ends. For servers whose handlers use no body.
    bool readsBodies = true;
    HttpInputLimits input;
    /// Time for the whole body.
    std::chrono::milliseconds bodyTimeout{15000};
    /// Time for the whole response.
    std::chrono::milliseconds writeTimeout{15000};
    /// Counts the requests that are rejected for their framing; several servers may share it. May be null.
    std::shared_ptr<FramingRejections> framingRejections{};
    /// Budget for requests, which are rejected while it has no room; null leaves them uncounted.
    std::shared_ptr<MemoryBudget> memory{};
    /// How long a request waits for room in the budget. Its body isn't read meanwhile.
    std::chrono::milliseconds memoryWait{1000};
    /// Counts what happens to connections; several servers may share it. May be null.
    std::shared_ptr<ConnectionEvents> events{};
    /// Header of responses that names their request, for the log. Without a name, responses that can't be written are counted only.
    std::string requestIdHeader{};
};

/// The connection on which a request came in. Thread safety: all calls on the server's thread.
class CallerConnection
{
public:
    /// IP number of the caller. Precondition: none.
    virtual const std::string &address() const = 0;

    /// Requested when the caller closes its connection before it got its response. The first call starts the watch.
    /// Precondition: called from within the handler.
    virtual Cancellation &cancellation() = 0;

    /// When the header of the request had arrived; its body may have taken long. Precondition: called from within the handler.
    virtual BootTime headerReadAt() const = 0;

protected:
    CallerConnection() = default;
    ~CallerConnection() = default;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
};

/// HTTP/1.1 server with bounded headers, bodies, connections and waiting times. It answers malformed and oversized
/// input itself. Thread safety: all calls on the thread that runs the context, except openConnections() and unansweredRequests().
class HttpServer
{
public:
    /// Answers one request; runs in the coroutine of the request's connection.
    using Handler = std::function<HttpResponse(HttpRequest &request, CallerConnection &caller, boost::asio::yield_context yield)>;

    /// Binds the address and starts to accept. Precondition: one thread runs context, which outlives the server.
    static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context &context, HttpServerSettings settings, Handler handler);

    /// Closes the listening socket and all connections.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The listening IP:port with the port that the system chose. Precondition: none.
    std::string address() const;

    /// Changes the bounds for requests that are read from now on; that of the header for new connections only. Precondition: none.
    void setInputLimits(const HttpInputLimits &limits);

    /// From now on every response ends its connection. A request that hasn't been read completely after the given time is rejected.
    /// Precondition: the time is not negative.
    void announceClose(std::chrono::milliseconds readTime);

    /// Accepts what waits in the backlog, closes the listening socket and all connections without a request in work.
    /// Other connections end with their response. Precondition: callers were told to go elsewhere.
    void closeIdle();

    /// After closeIdle() includes the listening socket until its backlog is accepted. Precondition: none. Thread safety: safe from any thread.
    std::size_t openConnections() const;

    /// Requests whose header has been read and whose response hasn't been written. Precondition: none. Thread safety: safe from any thread.
    std::size_t unansweredRequests() const;

private:
    class State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Trefoil
