#include "coroutine.h"
#include <LibHttp/endpoint.h>
#include <LibHttp/httpserver.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds s_shortTimeout{150};

HttpServerSettings testSettings()
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.input.bodyLimit = 1000;
    settings.input.headerTimeout = s_shortTimeout;
    settings.bodyTimeout = s_shortTimeout;
    settings.input.idleTimeout = 2 * s_shortTimeout;
    return settings;
}

HttpResponse echo(HttpRequest &request, CallerConnection &, const asio::yield_context &)
{
    HttpResponse response;
    response.body = request.method + " " + request.target + " " + request.body;
    return response;
}

asio::ip::tcp::socket connectTo(asio::io_context &context, const HttpServer &server, const asio::yield_context &yield)
{
    asio::ip::tcp::socket socket(context);
    socket.async_connect(parseEndpoint(server.address()).value(), yield);
    return socket;
}

std::string readToEnd(asio::ip::tcp::socket &socket, const asio::yield_context &yield)
{
    std::string text;
    boost::system::error_code error;
    asio::async_read(socket, asio::dynamic_buffer(text), yield[error]);
    return text;
}

struct BadInputCase
{
    char start[96];
    /// Letters added after start, to exceed limits.
    int filler;
    char end[32];
    int status;
    char field[24];
};

} // namespace

// Guards against bad input that is accepted, that ends without an answer, or whose answer doesn't name the field.
ParameterizedTestParameters(HttpServer, badInput)
{
    static BadInputCase cases[] = {
        {"GET / HTTP/1.1\r\nHost: a\r\nX: ", 17000, "\r\n\r\n", 431, "header"},
        {"GET /", 17000, " HTTP/1.1\r\n\r\n", 431, "header"},
        {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 1001, "", 413, "body"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n", 1024, "\r\n0\r\n\r\n", 413, "body"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 0, "", 400, "Transfer-Encoding"},
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 0, "", 400, "Content-Length"},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 0, "", 400, "Content-Length"},
        {"GET / HTTP/3.7\r\n\r\n", 0, "", 400, "version"},
        {"G\x01T / HTTP/1.1\r\n\r\n", 0, "", 400, "method"},
        {"GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n", 0, "", 400, "header"},
        {"GET / HTTP/1.1\r\nHo", 0, "", 408, "header"},
        {"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", 0, "", 408, "body"},
    };
    return cr_make_param_array(BadInputCase, cases, std::size(cases));
}

ParameterizedTest(BadInputCase *testCase, HttpServer, badInput)
{
    asio::io_context context(1);
    const auto server = std::move(HttpServer::create(context, testSettings(), echo).value());
    std::string answer;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        const std::string input = testCase->start + std::string(static_cast<std::size_t>(testCase->filler), 'x') + testCase->end;
        asio::async_write(socket, asio::buffer(input), yield);
        answer = readToEnd(socket, yield);
    });
    const std::string expected = "HTTP/1.1 " + std::to_string(testCase->status);
    cr_assert_eq(answer.substr(0, expected.size()), expected, "%s: got %s", testCase->start, answer.c_str());
    const auto body = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")), nullptr, false);
    cr_assert(body.is_object(), "%s", answer.c_str());
    cr_assert_eq(body.value("field", ""), testCase->field, "%s", answer.c_str());
}

// Guards against connections that never send anything and occupy the server forever.
Test(HttpServer, idleConnectionIsClosed)
{
    asio::io_context context(1);
    const auto server = std::move(HttpServer::create(context, testSettings(), echo).value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        cr_assert_eq(readToEnd(socket, yield), "");
    });
    cr_assert_eq(server->openConnections(), 0);
}

// Guards against pipelined requests that are lost or answered out of order.
Test(HttpServer, pipelinedRequestsAreAnsweredInOrder)
{
    asio::io_context context(1);
    const auto server = std::move(HttpServer::create(context, testSettings(), echo).value());
    std::string answer;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string_view("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")), yield);
        answer = readToEnd(socket, yield);
    });
    const auto first = answer.find("GET /1");
    const auto second = answer.find("GET /2");
    cr_assert(first != std::string::npos && second != std::string::npos && first < second, "%s", answer.c_str());
}

// Guards against more connections than the bound, which would use up the file descriptors.
Test(HttpServer, connectionsAreBounded)
{
    asio::io_context context(1);
    HttpServerSettings settings = testSettings();
    settings.connectionLimit = 2;
    const auto server = std::move(HttpServer::create(context, settings, echo).value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto first = connectTo(context, *server, yield);
        auto second = connectTo(context, *server, yield);
        auto third = connectTo(context, *server, yield);
        const std::string answer = readToEnd(third, yield);
        cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 503", "%s", answer.c_str());
        cr_assert_eq(server->openConnections(), 2);
    });
}

// Guards against work that goes on for a caller that has closed its connection.
Test(HttpServer, callerThatLeavesIsNoticed)
{
    asio::io_context context(1);
    bool noticed = false;
    const auto server = std::move(HttpServer::create(context, testSettings(), [&](HttpRequest &, CallerConnection &caller, const asio::yield_context &yield) {
        asio::steady_timer timer(context, std::chrono::seconds(10));
        caller.cancellation().setHook([&timer] { timer.cancel(); });
        boost::system::error_code error;
        timer.async_wait(yield[error]);
        noticed = caller.cancellation().isRequested();
        context.stop();
        return HttpResponse{};
    }).value());
    asio::spawn(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")), yield);
        asio::steady_timer timer(context, std::chrono::milliseconds(50));
        timer.async_wait(yield);
    });
    context.run();
    cr_assert(noticed);
}

namespace
{

struct LimitCase
{
    char name[32];
    std::size_t bodyLimit;
    int status;
};

} // namespace

// Guards against limits that a configuration raises or lowers and that the server reads only when it starts.
ParameterizedTestParameters(HttpServer, limitsChange)
{
    static LimitCase cases[] = {{"raised", 2000, 200}, {"as before", 1000, 413}, {"lowered", 10, 413}};
    return cr_make_param_array(LimitCase, cases, std::size(cases));
}

ParameterizedTest(LimitCase *testCase, HttpServer, limitsChange)
{
    asio::io_context context{1};
    auto server = HttpServer::create(context, testSettings(), echo);
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server.value(), yield);
        HttpInputLimits limits = testSettings().input;
        limits.bodyLimit = testCase->bodyLimit;
        server.value()->setInputLimits(limits);
        const std::string request = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1500\r\n\r\n" + std::string(1500, 'x');
        asio::async_write(socket, asio::buffer(request), yield);
        const std::string answer = readToEnd(socket, yield);
        cr_assert_eq(answer.substr(9, 3), std::to_string(testCase->status), "%s: %s", testCase->name, answer.substr(0, 40).c_str());
    });
}

// Guards against a request on a kept connection that crosses the close of idle connections: it has arrived, and the connection is reset without a
// response.
Test(HttpServer, requestThatCrossesTheCloseOfIdleConnectionsIsAnswered)
{
    asio::io_context context(1);
    const auto server = std::move(HttpServer::create(context, testSettings(), echo).value());
    std::string answers;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        const std::string request = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::async_write(socket, asio::buffer(request), yield);
        std::string first(1, ' ');
        asio::async_read(socket, asio::buffer(first), yield);
        asio::steady_timer untilIdle(context, std::chrono::milliseconds(50));
        untilIdle.async_wait(yield);
        // The server's coroutines don't run between these two calls.
        asio::write(socket, asio::buffer(request));
        server->closeIdle();
        answers = readToEnd(socket, yield);
    });
    const std::size_t second = answers.find("HTTP/1.1 200", 1);
    cr_assert_neq(second, std::string::npos, "%s", answers.c_str());
    cr_assert_neq(answers.find("Connection: close", second), std::string::npos, "%s", answers.c_str());
}

// Guards against a pipelined request that is handled behind a response that ends the connection, so that its caller repeats a request that has run.
Test(HttpServer, pipelinedRequestAfterTheLastResponseIsNotHandled)
{
    asio::io_context context(1);
    int handled = 0;
    std::unique_ptr<HttpServer> server;
    const auto handler = [&](HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield) {
        ++handled;
        server->announceClose(std::chrono::seconds(5));
        return echo(request, caller, yield);
    };
    server = std::move(HttpServer::create(context, testSettings(), handler).value());
    std::string answers;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")), yield);
        answers = readToEnd(socket, yield);
    });
    cr_assert_eq(handled, 1);
    cr_assert_neq(answers.find("GET /1"), std::string::npos, "%s", answers.c_str());
    cr_assert_neq(answers.find("Connection: close"), std::string::npos, "%s", answers.c_str());
    cr_assert_eq(answers.find("HTTP/1.1 200", 1), std::string::npos, "%s", answers.c_str());
}

namespace
{

struct SmuggleCase
{
    char name[32];
    char head[128];
    int status;
    FramingFault fault;
};

/// What a server runs that takes the body of the request before it for the next request.
constexpr std::string_view s_hiddenRequest = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a request that hides in the body of another one, whose end this server sees elsewhere than the caller or another server:
// the hidden request would run although no caller sent it, and the other one without its body.
ParameterizedTestParameters(HttpServer, hiddenRequestsDontRun)
{
    static SmuggleCase cases[] = {
        {"other coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400, FramingFault::Coding},
        {"no coding", "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", 400, FramingFault::Coding},
        {"coding not last", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400, FramingFault::Coding},
        {"coding twice", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", 400, FramingFault::Coding},
        {"coding with parameter", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked;a=b\r\n\r\n", 400, FramingFault::Coding},
        {"unknown coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, FramingFault::UnknownCoding},
        {"coding and length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400, FramingFault::LengthAndCoding},
        {"length and other coding", "POST / HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: gzip\r\n\r\n", 400, FramingFault::LengthAndCoding},
        {"equal lengths", "POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 400, FramingFault::SeveralLengths},
        {"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 0, 0\r\n\r\n", 400, FramingFault::SeveralLengths},
        {"coding in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, FramingFault::CodingInOldVersion},
        {"folded line", "POST / HTTP/1.1\r\nContent-Length:\r\n 0\r\n\r\n", 400, FramingFault::FoldedLine},
        {"space before the colon", "POST / HTTP/1.1\r\nContent-Length : 54\r\n\r\n", 400, FramingFault::FieldName},
        {"bare LF", "POST / HTTP/1.1\r\nA: b\nContent-Length: 54\r\n\r\n", 400, FramingFault::LineEnd},
        {"bare CR", "POST / HTTP/1.1\r\nA: b\rContent-Length: 54\r\n\r\n", 400, FramingFault::LineEnd},
        {"control character",
            "POST / HTTP/1.1\r\nTransfer-Encoding: \x0b"
            "chunked\r\n\r\n",
            400,
            FramingFault::ControlCharacter},
    };
    return cr_make_param_array(SmuggleCase, cases, std::size(cases));
}

ParameterizedTest(SmuggleCase *testCase, HttpServer, hiddenRequestsDontRun)
{
    asio::io_context context(1);
    HttpServerSettings settings = testSettings();
    settings.framingRejections = std::make_shared<FramingRejections>();
    int handled = 0;
    const auto server = std::move(HttpServer::create(context, settings, [&handled](HttpRequest &, CallerConnection &, const asio::yield_context &) {
        ++handled;
        return HttpResponse{};
    }).value());
    std::string answer;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string(testCase->head).append(s_hiddenRequest)), yield);
        answer = readToEnd(socket, yield);
    });
    cr_assert_eq(handled, 0, "%s: %d requests ran", testCase->name, handled);
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 " + std::to_string(testCase->status), "%s: got %s", testCase->name, answer.c_str());
    cr_assert_neq(answer.find("Connection: close"), std::string::npos, "%s", answer.c_str());
    cr_assert_eq(answer.find("HTTP/1.1", 1), std::string::npos, "%s: got a second answer: %s", testCase->name, answer.c_str());
    cr_assert_eq(settings.framingRejections->of(testCase->fault), 1, "%s", testCase->name);
}

// Guards against trailers that pass for headers: a header that the server has looked at already would get another value, such as the
// deadline or the id of the request, and a header of one connection only would be passed on.
Test(HttpServer, trailersAreNoHeaders)
{
    asio::io_context context(1);
    std::vector<HttpRequest> requests;
    const auto server = std::move(HttpServer::create(context, testSettings(), [&](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
        requests.push_back(request);
        return HttpResponse{};
    }).value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket,
            asio::buffer(std::string_view("POST / HTTP/1.1\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ntwo casts\r\n0\r\nTrefoil-Request-Id: late\r\n"
                                          "Connection: close\r\n\r\nGET /next HTTP/1.1\r\nConnection: close\r\n\r\n")),
            yield);
        readToEnd(socket, yield);
    });
    cr_assert_eq(requests.size(), 2);
    cr_assert_eq(requests[0].body, "two casts");
    cr_assert_null(requests[0].headers.find("Trefoil-Request-Id"));
    cr_assert_eq(requests[0].headers.all().size(), 2);
    cr_assert_eq(requests[1].target, "/next");
}

namespace
{

struct ProperCase
{
    char name[32];
    char request[192];
    char body[32];
};

ProperCase s_properCases[] = {
    {"no chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
    {"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n6\r\n casts\r\n0\r\n\r\n", "two casts"},
    {"extensions", "POST / HTTP/1.1\r\ntransfer-encoding:CHUNKED\r\n\r\n9;a=b;c=\"d\"\r\ntwo casts\r\n0;e\r\n\r\n", "two casts"},
    {"trailers", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n9\r\ntwo casts\r\n0\r\nA: b\r\n\r\n", "two casts"},
    {"length", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\ntwo casts", "two casts"},
    {"length with zeros", "POST / HTTP/1.1\r\nContent-Length: 009\r\n\r\ntwo casts", "two casts"},
    {"length zero", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", ""},
    {"neither", "POST / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
    {"empty headers", "GET / HTTP/1.1\r\nHost:\r\nA: \t \r\nContent-Length: \t9 \r\n\r\ntwo casts", "two casts"},
    {"old version", "POST / HTTP/1.0\r\nContent-Length: 9\r\nConnection: keep-alive\r\n\r\ntwo casts", "two casts"},
    {"expectation", "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\ntwo casts", "two casts"},
    {"UTF-8 and tab", "GET / HTTP/1.1\r\nA: \xc3\xa9\tb\r\nContent-Length: 9\r\n\r\ntwo casts", "two casts"},
};

} // namespace

// Guards against proper requests that are rejected along with those whose end isn't certain.
ParameterizedTestParameters(HttpServer, properRequestsPass)
{
    return cr_make_param_array(ProperCase, s_properCases, std::size(s_properCases));
}

ParameterizedTest(ProperCase *testCase, HttpServer, properRequestsPass)
{
    asio::io_context context(1);
    const auto server = std::move(HttpServer::create(context, testSettings(), echo).value());
    std::string answer;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string(testCase->request).append("GET /next HTTP/1.1\r\nConnection: close\r\n\r\n")), yield);
        answer = readToEnd(socket, yield);
    });
    const auto first = answer.find("HTTP/1.1 200");
    const auto second = answer.find("HTTP/1.1 200", first + 1);
    cr_assert(first != std::string::npos && second != std::string::npos, "%s: got %s", testCase->name, answer.c_str());
    const std::string method(testCase->request, std::string_view(testCase->request).find(' '));
    cr_assert_neq(answer.substr(first, second - first).find("\r\n\r\n" + method + " / " + testCase->body),
        std::string::npos,
        "%s: got %s",
        testCase->name,
        answer.c_str());
    cr_assert_neq(answer.find("GET /next "), std::string::npos);
}

namespace
{

struct HeadCase
{
    char name[32];
    char request[96];
    int status;
};

} // namespace

// Guards against a body after the head of a response to HEAD: callers expect none, and take its bytes for the next response.
ParameterizedTestParameters(HttpServer, headIsAnsweredWithoutBody)
{
    static HeadCase cases[] = {
        {"answer of the handler", "HEAD /a HTTP/1.1\r\n\r\n", 200},
        {"failure of the handler", "HEAD /failure HTTP/1.1\r\n\r\n", 503},
        {"uncertain framing", "HEAD /a HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", 400},
        {"folded line", "HEAD /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},
        {"body too large", "HEAD /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
        {"late body", "HEAD /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n", 408},
        {"wrong version", "HEAD /a HTTP/3.7\r\n\r\n", 400},
    };
    return cr_make_param_array(HeadCase, cases, std::size(cases));
}

ParameterizedTest(HeadCase *testCase, HttpServer, headIsAnsweredWithoutBody)
{
    asio::io_context context(1);
    const auto server =
        std::move(HttpServer::create(context, testSettings(), [](HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield) {
            return request.target == "/failure" ? errorResponse(503, "rejected", "", "not now") : echo(request, caller, yield);
        }).value());
    std::string answer;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string_view(testCase->request)), yield);
        // The first answer is whole before the next request is sent.
        asio::steady_timer timer(context, 2 * s_shortTimeout);
        timer.async_wait(yield);
        boost::system::error_code ignored;
        asio::async_write(socket, asio::buffer(std::string_view("GET /next HTTP/1.1\r\nConnection: close\r\n\r\n")), yield[ignored]);
        answer = readToEnd(socket, yield);
    });
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 " + std::to_string(testCase->status), "%s: got %s", testCase->name, answer.c_str());
    const std::string afterHead = answer.substr(answer.find("\r\n\r\n") + 4);
    const bool isClosed = answer.substr(0, answer.find("\r\n\r\n")).find("Connection: close") != std::string::npos;
    cr_assert_eq(afterHead.substr(0, 12), isClosed ? "" : "HTTP/1.1 200", "%s: got %s after the head", testCase->name, afterHead.c_str());
}

// Guards against a request whose time begins with the last byte of a slow body.
Test(HttpServer, headerTimeIsThatOfTheHeader)
{
    constexpr std::chrono::milliseconds bodyTime{100};
    asio::io_context context(1);
    BootClock::duration sinceHeader{};
    const auto handler = [&](HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield) {
        sinceHeader = BootClock::now() - caller.headerReadAt();
        return echo(request, caller, yield);
    };
    const auto server = std::move(HttpServer::create(context, testSettings(), handler).value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        asio::async_write(socket, asio::buffer(std::string("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n")), yield);
        asio::steady_timer pause(context, bodyTime);
        pause.async_wait(yield);
        asio::async_write(socket, asio::buffer("x", 1), yield);
        readToEnd(socket, yield);
    });
    cr_assert(sinceHeader >= bodyTime - std::chrono::milliseconds(20));
    cr_assert(sinceHeader < 2 * s_shortTimeout);
}

// Guards against a request that ends the process or isn't understood when its bytes arrive one by one.
ParameterizedTestParameters(HttpServer, requestsArriveByteByByte)
{
    return cr_make_param_array(ProperCase, s_properCases, std::size(s_properCases));
}

ParameterizedTest(ProperCase *testCase, HttpServer, requestsArriveByteByByte)
{
    asio::io_context context(1);
    std::vector<std::string> bodies;
    const auto server = std::move(HttpServer::create(context, testSettings(), [&bodies](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
        bodies.push_back(request.body);
        return HttpResponse{};
    }).value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        auto socket = connectTo(context, *server, yield);
        socket.set_option(asio::ip::tcp::no_delay(true));
        const std::string bytes = std::string(testCase->request) + "GET /next HTTP/1.1\r\nConnection: close\r\n\r\n";
        for (const char byte : bytes) {
            asio::async_write(socket, asio::buffer(&byte, 1), yield);
            // Lets the server read this byte before the next one comes.
            for (int i = 0; i < 3; ++i) {
                asio::post(context, yield);
            }
        }
        readToEnd(socket, yield);
    });
    cr_assert_eq(bodies.size(), 2, "%s: %zu requests ran", testCase->name, bodies.size());
    cr_assert_eq(bodies.front(), testCase->body, "%s: %s", testCase->name, bodies.front().c_str());
}
