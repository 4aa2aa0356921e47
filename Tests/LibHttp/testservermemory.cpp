#include "coroutine.h"
#include <LibHttp/endpoint.h>
#include <LibHttp/httpserver.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t s_mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t s_largeBody = 4 * s_mebibyte;

/// Room for two large bodies.
std::shared_ptr<MemoryBudget> testBudget()
{
    return std::make_shared<MemoryBudget>(MemoryLimits{11 * s_mebibyte, 10 * s_mebibyte, 9 * s_mebibyte});
}

/// A server with the budget, whose handler counts calls and echoes the size of the body.
struct ServerFixture
{
    ServerFixture()
        : budget(testBudget())
        , server(std::move(HttpServer::create(context, settings(), [this](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
            ++handled;
            reservedInHandler = budget->reservedBytes();
            HttpResponse response;
            response.body = "size " + std::to_string(request.body.size());
            return response;
        }).value()))
    {
    }

    HttpServerSettings settings() const
    {
        HttpServerSettings result;
        result.address = "127.0.0.1:0";
        result.input.bodyLimit = 8 * s_mebibyte;
        result.memory = budget;
        result.memoryWait = 200ms;
        return result;
    }

    asio::ip::tcp::socket connect(const asio::yield_context &yield)
    {
        asio::ip::tcp::socket socket(context);
        socket.async_connect(parseEndpoint(server->address()).value(), yield);
        return socket;
    }

    /// The whole answer to a request that ends its connection.
    std::string exchange(const std::string &fields, const std::string &body, const asio::yield_context &yield)
    {
        auto socket = connect(yield);
        const std::string head = "POST / HTTP/1.1\r\nConnection: close\r\n" + fields + "\r\n\r\n";
        boost::system::error_code error;
        asio::async_write(socket, asio::buffer(head), yield[error]);
        asio::async_write(socket, asio::buffer(body), yield[error]);
        std::string answer;
        asio::async_read(socket, asio::dynamic_buffer(answer), yield[error]);
        return answer;
    }

    asio::io_context context{1};
    std::shared_ptr<MemoryBudget> budget;
    int handled = 0;
    std::size_t reservedInHandler = 0;
    std::unique_ptr<HttpServer> server;
};

struct UploadCase
{
    char name[24];
    bool isChunked;
};

std::string fieldsOf(const UploadCase &upload, std::size_t bytes)
{
    return upload.isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(bytes);
}

std::string bodyOf(const UploadCase &upload, std::size_t bytes)
{
    std::string body(bytes, 'b');
    if (!upload.isChunked) {
        return body;
    }
    constexpr std::size_t half = 0x100000;
    std::string chunks;
    for (std::size_t i = 0; i < bytes / half; ++i) {
        chunks += "100000\r\n" + std::string(half, 'b') + "\r\n";
    }
    return chunks + "0\r\n\r\n";
}

} // namespace

// Guards against requests that are read although there is no room for them, that run although they were rejected, and whose callers see a
// closed connection, or no pause, instead of the rejection; small requests must pass meanwhile.
ParameterizedTestParameters(ServerMemory, requestIsRejectedWithoutRoom)
{
    static UploadCase cases[] = {{"declared", false}, {"chunked", true}};
    return cr_make_param_array(UploadCase, cases, std::size(cases));
}

ParameterizedTest(UploadCase *testCase, ServerMemory, requestIsRejectedWithoutRoom)
{
    ServerFixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        MemoryReservation held(fixture.budget, MemoryUse::Response);
        cr_assert(held.tryResize(8 * s_mebibyte));
        const std::string rejected = fixture.exchange(fieldsOf(*testCase, s_largeBody), bodyOf(*testCase, s_largeBody), yield);
        cr_expect_eq(rejected.substr(0, 12), "HTTP/1.1 503", "%s", rejected.c_str());
        cr_expect(rejected.find("Retry-After: 1.") != std::string::npos || rejected.find("Retry-After: 2.00") != std::string::npos, "%s", rejected.c_str());
        cr_expect_eq(fixture.handled, 0);
        cr_expect_eq(fixture.budget->refusals(MemoryUse::Request), 1);
        const std::string small = fixture.exchange(fieldsOf({"", false}, 1000), std::string(1000, 'b'), yield);
        cr_expect(small.find("size 1000") != std::string::npos, "%s", small.c_str());
        held.tryResize(0);
        cr_expect_eq(fixture.budget->reservedBytes(), 0);
        const std::string served = fixture.exchange(fieldsOf(*testCase, s_largeBody), bodyOf(*testCase, s_largeBody), yield);
        cr_expect(served.find("size " + std::to_string(s_largeBody)) != std::string::npos, "%s", served.c_str());
        cr_expect(fixture.reservedInHandler >= s_largeBody && fixture.reservedInHandler < s_largeBody + s_smallMessageBytes);
        cr_expect_eq(fixture.budget->reservedBytes(), 0);
    });
}

// Guards against a request that is rejected at once although room is about to be free.
Test(ServerMemory, requestWaitsForRoom)
{
    ServerFixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        MemoryReservation held(fixture.budget, MemoryUse::Response);
        cr_assert(held.tryResize(8 * s_mebibyte));
        asio::steady_timer timer(fixture.context, 100ms);
        timer.async_wait([&held](const boost::system::error_code &) { held.tryResize(0); });
        const std::string answer = fixture.exchange(fieldsOf({"", false}, s_largeBody), std::string(s_largeBody, 'b'), yield);
        cr_expect(answer.find("size " + std::to_string(s_largeBody)) != std::string::npos, "%s", answer.c_str());
        cr_expect_eq(fixture.budget->refusals(MemoryUse::Request), 0);
    });
}

// Guards against a body that is still read for a caller that was rejected before it sent any of it.
Test(ServerMemory, expectedBodyIsRejectedBeforeItIsSent)
{
    ServerFixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        MemoryReservation held(fixture.budget, MemoryUse::Response);
        cr_assert(held.tryResize(8 * s_mebibyte));
        auto socket = fixture.connect(yield);
        const std::string head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(s_largeBody) + "\r\n\r\n";
        asio::async_write(socket, asio::buffer(head), yield);
        std::string answer(12, ' ');
        asio::async_read(socket, asio::buffer(answer), yield);
        cr_expect_eq(answer, "HTTP/1.1 503", "%s", answer.c_str());
    });
}
