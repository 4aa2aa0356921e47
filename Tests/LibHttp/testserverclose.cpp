#include <LibHttp/endpoint.h>
#include <LibHttp/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <list>
#include <string>
#include <thread>

using namespace Trefoil;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

// The server's handlers run one by one here, and the callers act between two of them, so that a close can come at each point of a connection's life.

namespace
{

constexpr std::string_view s_request = "GET /work HTTP/1.1\r\nHost: a\r\n\r\n";
/// More handlers than the longest play has.
constexpr int s_maximumHandlers = 60;
/// The server checks its time limits more often than this.
constexpr std::chrono::milliseconds s_expiryInterval{50};
/// The server reads on for 1 s after its last response.
constexpr std::chrono::milliseconds s_lingerTimeout{1050};
constexpr std::chrono::milliseconds s_endLimit{3000};
/// The server takes three reads for so much.
constexpr std::size_t s_severalReads = 10000;

std::string headerValue(const std::string &message, std::string_view name)
{
    const auto field = message.find(fmt::format("{}: ", name));
    if (field == std::string::npos) {
        return {};
    }
    const auto start = field + name.size() + 2;
    return message.substr(start, message.find("\r\n", start) - start);
}

/// Sends its next request as soon as it has the response to the one before it.
class Caller
{
public:
    Caller(asio::io_context &context, const tcp::endpoint &server, int requests)
        : m_socket(context)
        , m_requestsLeft(requests)
    {
        m_socket.connect(server, m_error);
        if (!m_error) {
            m_socket.non_blocking(true, m_error);
        }
        sendNext();
    }

    /// Sends although the server may have ended its side.
    void send(const std::string &text)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(text), ignored);
    }

    /// Reads what has arrived.
    void act()
    {
        if (m_error) {
            return;
        }
        char bytes[4096];
        const std::size_t count = m_socket.read_some(asio::buffer(bytes), m_error);
        m_received.append(bytes, count);
        if (m_error == asio::error::would_block) {
            m_error = {};
        }
        const auto headEnd = m_received.find("\r\n\r\n");
        if (headEnd == std::string::npos || m_received.size() < headEnd + 4 + std::stoul("0" + headerValue(m_received, "Content-Length"))) {
            return;
        }
        ++m_answers;
        m_lastAnswer = std::move(m_received);
        m_received.clear();
        if (headerValue(m_lastAnswer, "Connection") == "close") {
            m_requestsLeft = 0;
        }
        sendNext();
    }

    void closeIfEnded()
    {
        if (m_error && m_socket.is_open()) {
            boost::system::error_code ignored;
            m_socket.close(ignored);
        }
    }

    bool isConnected() const
    {
        return !m_error;
    }

    /// Number of whole responses.
    int answers() const
    {
        return m_answers;
    }

    const std::string &lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    void sendNext()
    {
        if (m_requestsLeft > 0) {
            --m_requestsLeft;
            send(std::string(s_request));
        }
    }

    tcp::socket m_socket;
    int m_requestsLeft;
    int m_answers = 0;
    std::string m_received;
    std::string m_lastAnswer;
    boost::system::error_code m_error;
};

/// A server and its callers, all on the thread of the test.
class Play
{
public:
    explicit Play(std::chrono::milliseconds headerTimeout = 5000ms)
    {
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.input.headerTimeout = headerTimeout;
        const auto handler = [this](HttpRequest &, CallerConnection &, const asio::yield_context &) {
            ++m_handled;
            HttpResponse response;
            response.body = "done";
            return response;
        };
        m_server = std::move(HttpServer::create(m_context, settings, handler).value());
        m_endpoint = parseEndpoint(m_server->address()).value();
    }

    Caller &connect(int requests)
    {
        return m_callers.emplace_back(m_context, m_endpoint, requests);
    }

    /// Runs that many handlers of the server at most.
    void run(int handlers)
    {
        for (int i = 0; i < handlers; ++i) {
            m_context.poll_one();
            for (Caller &caller : m_callers) {
                caller.act();
            }
        }
    }

    void closeIdle()
    {
        m_server->closeIdle();
    }

    void announceClose(std::chrono::milliseconds readTime)
    {
        m_server->announceClose(readTime);
    }

    /// Runs until the server has no connection left; false when that takes too long.
    bool runToEnd(bool callersClose)
    {
        const auto limit = std::chrono::steady_clock::now() + s_endLimit;
        while (m_server->openConnections() > 0) {
            run(1);
            for (Caller &caller : m_callers) {
                if (callersClose) {
                    caller.closeIfEnded();
                }
            }
            if (std::chrono::steady_clock::now() > limit) {
                return false;
            }
        }
        return true;
    }

    bool accepts()
    {
        return Caller(m_context, m_endpoint, 0).isConnected();
    }

    int handled() const
    {
        return m_handled;
    }

    int answers() const
    {
        int count = 0;
        for (const Caller &caller : m_callers) {
            count += caller.answers();
        }
        return count;
    }

private:
    asio::io_context m_context{1};
    int m_handled = 0;
    std::unique_ptr<HttpServer> m_server;
    tcp::endpoint m_endpoint;
    std::list<Caller> m_callers;
};

struct CloseCase
{
    int callers;
    int requests;
};

} // namespace

// Guards against a request that is handled although its connection was closed as idle: the server had taken its bytes from the kernel, and the
// coroutine of the connection hadn't run yet.
ParameterizedTestParameters(ServerClose, requestThatWasReadAsIdleConnectionsCloseIsAnswered)
{
    static CloseCase cases[] = {{1, 1}, {1, 3}, {3, 1}, {5, 3}};
    return cr_make_param_array(CloseCase, cases, std::size(cases));
}

ParameterizedTest(CloseCase *testCase, ServerClose, requestThatWasReadAsIdleConnectionsCloseIsAnswered)
{
    std::string failures;
    for (int handlers = 0; handlers < s_maximumHandlers; ++handlers) {
        Play play;
        for (int i = 0; i < testCase->callers; ++i) {
            play.connect(testCase->requests);
        }
        play.run(handlers);
        play.closeIdle();
        const bool hasEnded = play.runToEnd(true);
        if (!hasEnded || play.answers() != play.handled()) {
            failures +=
                fmt::format("\nclosed after {} handlers: {} handled, {} answered{}", handlers, play.handled(), play.answers(), hasEnded ? "" : ", open");
        }
    }
    cr_assert_str_empty(failures.c_str(), "%s", failures.c_str());
}

// Guards against a server that goes on accepting after its stop: the cancelled accept had completed already, so that its loop began the next one.
ParameterizedTestParameters(ServerClose, noConnectionIsAcceptedAfterTheListeningSocketCloses)
{
    static int callers[] = {0, 1, 2, 5};
    return cr_make_param_array(int, callers, std::size(callers));
}

ParameterizedTest(int *callers, ServerClose, noConnectionIsAcceptedAfterTheListeningSocketCloses)
{
    std::string failures;
    for (int handlers = 0; handlers < s_maximumHandlers; ++handlers) {
        Play play;
        for (int i = 0; i < *callers; ++i) {
            play.connect(1);
        }
        play.run(handlers);
        play.closeIdle();
        play.run(s_maximumHandlers);
        failures += play.accepts() ? fmt::format(" {}", handlers) : std::string();
    }
    cr_assert_str_empty(failures.c_str(), "accepts when it was closed after this many handlers:%s", failures.c_str());
}

// Guards against a time limit that comes to its end between a read and the coroutine that waits for it: nothing is left to cancel, and the
// connection is never ended.
Test(ServerClose, headIsTooSlowWhenItsTimeEndsBesideARead)
{
    Play play(0ms);
    Caller &caller = play.connect(0);
    play.run(s_maximumHandlers);
    std::string head = "GET / HTTP/1.1\r\nX: ";
    head.resize(s_severalReads, 'x');
    caller.send(head);
    std::this_thread::sleep_for(s_expiryInterval);
    play.run(s_maximumHandlers);
    std::this_thread::sleep_for(s_expiryInterval);
    play.run(s_maximumHandlers);
    cr_assert_eq(caller.lastAnswer().substr(0, 12), "HTTP/1.1 408", "%s", caller.lastAnswer().c_str());
}

// Guards against a caller that gets the last response and holds its connection open for good: the end of the server's reading came beside a read.
Test(ServerClose, callerThatSendsOnAfterTheLastResponseIsCutOff)
{
    Play play;
    Caller &caller = play.connect(0);
    caller.send("G\x01T / HTTP/1.1\r\n\r\n");
    play.run(s_maximumHandlers);
    cr_assert_eq(caller.lastAnswer().substr(0, 12), "HTTP/1.1 400", "%s", caller.lastAnswer().c_str());
    caller.send(std::string(s_severalReads, 'x'));
    std::this_thread::sleep_for(s_lingerTimeout);
    cr_assert(play.runToEnd(false), "the connection is open");
}

namespace
{

struct UnfinishedCase
{
    char name[16];
    char text[80];
};

} // namespace

// Guards against callers whose requests are still on their way when a stopping host ends: their connections ended without an answer, so that they
// couldn't know that the requests had not run.
ParameterizedTestParameters(ServerClose, unfinishedRequestIsRejectedAtTheEndOfAStop)
{
    static UnfinishedCase cases[] = {
        {"head", "GET / HTTP/1.1\r\nHos"},
        {"body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"},
        {"chunked body", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
    };
    return cr_make_param_array(UnfinishedCase, cases, std::size(cases));
}

ParameterizedTest(UnfinishedCase *testCase, ServerClose, unfinishedRequestIsRejectedAtTheEndOfAStop)
{
    Play play;
    Caller &caller = play.connect(0);
    caller.send(testCase->text);
    play.run(s_maximumHandlers);
    play.announceClose(s_expiryInterval);
    play.closeIdle();
    cr_assert(play.runToEnd(true), "%s: the connection is open", testCase->name);
    cr_assert_eq(caller.lastAnswer().substr(0, 12), "HTTP/1.1 503", "%s: %s", testCase->name, caller.lastAnswer().c_str());
    cr_assert_neq(caller.lastAnswer().find("Retry-After"), std::string::npos, "%s: %s", testCase->name, caller.lastAnswer().c_str());
    cr_assert_eq(play.handled(), 0, "%s", testCase->name);
}

// Guards against a request that arrives between the end of its idle connection's read and the close of the socket: the connection was reset.
Test(ServerClose, requestThatArrivesAsItsIdleConnectionEndsIsAnswered)
{
    Play play;
    Caller &caller = play.connect(1);
    play.run(s_maximumHandlers);
    cr_assert_eq(caller.answers(), 1);
    play.closeIdle();
    caller.send(std::string(s_request));
    cr_assert(play.runToEnd(true), "the connection is open");
    cr_assert_eq(caller.answers(), 2, "%d handled, %d answered", play.handled(), caller.answers());
    cr_assert_eq(headerValue(caller.lastAnswer(), "Connection"), "close");
}

// Guards against a server that seems to have no connection while its listening socket holds some: the process ended, and their requests were reset.
ParameterizedTestParameters(ServerClose, connectionsOfTheListeningSocketAreServedBeforeTheEnd)
{
    static int callers[] = {1, 2, 5};
    return cr_make_param_array(int, callers, std::size(callers));
}

ParameterizedTest(int *callers, ServerClose, connectionsOfTheListeningSocketAreServedBeforeTheEnd)
{
    std::string failures;
    for (int handlers = 0; handlers < s_maximumHandlers; ++handlers) {
        Play play;
        for (int i = 0; i < *callers; ++i) {
            play.connect(1);
        }
        play.run(handlers);
        play.closeIdle();
        const bool hasEnded = play.runToEnd(true);
        if (!hasEnded || play.answers() != *callers) {
            failures += fmt::format("\nclosed after {} handlers: {} answered{}", handlers, play.answers(), hasEnded ? "" : ", open");
        }
    }
    cr_assert_str_empty(failures.c_str(), "%s", failures.c_str());
}
