#include "gatewayfixture.h"
#include "scriptedupstream.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;

namespace
{

constexpr int s_unavailable = 503;

/// A response to the request "id-1" that an upstream cuts.
struct CutCase
{
    char name[32];
    char target[16];
    char head[160];
    char body[48];
    /// The status that callers get for the whole response; 502 when it is never passed on.
    int status;
    /// The body may be cut by a close in order, since it has no declared length.
    bool endsWithConnection;
};

#define ID "Trefoil-Request-Id: id-1\r\n"
#define STAMP "Trefoil-Stamp: s\r\n"

CutCase s_cases[] = {
    {"length", "/read/a", "HTTP/1.1 200 OK\r\n" ID STAMP "Content-Length: 2\r\n\r\n", "ok", 200, false},
    {"length, at most once", "/write/a", "HTTP/1.1 200 OK\r\n" ID STAMP "Content-Length: 2\r\n\r\n", "ok", 200, false},
    {"chunks", "/write/a", "HTTP/1.1 200 OK\r\n" ID STAMP "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", 200, false},
    {"no length", "/read/a", "HTTP/1.1 200 OK\r\n" ID STAMP "\r\n", "ok", 200, true},
    {"no content", "/write/a", "HTTP/1.1 204 No Content\r\n" ID STAMP "\r\n", "", 204, false},
    {"failure", "/write/a", "HTTP/1.1 500 Internal Server Error\r\n" ID STAMP "Content-Length: 2\r\n\r\n", "no", 500, false},
    {"not run", "/write/a", "HTTP/1.1 503 Service Unavailable\r\n" ID "Trefoil-Not-Started: 1\r\nContent-Length: 2\r\n\r\n", "no", 503, false},
    {"not found without stamp", "/write/a", "HTTP/1.1 404 Not Found\r\n" ID "Content-Length: 2\r\n\r\n", "no", 404, false},
    {"length without stamp", "/write/a", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 2\r\n\r\n", "ok", 502, false},
    {"no length without stamp", "/read/a", "HTTP/1.1 200 OK\r\n" ID "\r\n", "ok", 502, true},
    {"empty stamp", "/write/a", "HTTP/1.1 200 OK\r\n" ID "Trefoil-Stamp:\r\nContent-Length: 2\r\n\r\n", "ok", 502, false},
};

#undef ID
#undef STAMP

HttpResponse sendOnce(const CutCase &cutCase, std::size_t bytes, bool isReset)
{
    GatewayFixture fixture(0);
    ScriptedUpstream upstream(fixture, "u", [&](tcp::socket &socket, const std::string &, const asio::yield_context &yield) {
        ScriptedUpstream::write(socket, (std::string(cutCase.head) + cutCase.body).substr(0, bytes), yield);
        boost::system::error_code ignored;
        if (isReset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
        return false;
    });
    GatewaySettings settings;
    settings.headers.stamp = "Trefoil-Stamp";
    Gateway gateway(fixture.context, settings, fixture.state, fixture.metrics);
    HttpResponse response;
    fixture.run([&](const asio::yield_context &yield) {
        HttpRequest request{"POST", cutCase.target, {}, "two casts"};
        request.headers.add("Host", "a.example");
        request.headers.add("Trefoil-Request-Id", "id-1");
        response = gateway.handle(request, fixture.caller, yield);
    });
    cr_assert_eq(upstream.received().size(), 1);
    return response;
}

} // namespace

// Guards against an upstream that ends its connection within its response, or leaves out its signature, and whose caller gets a success
// or the promise that the request did not run.
ParameterizedTestParameters(CutAttempts, cutsGiveNoSuccessAndNoPromise)
{
    return cr_make_param_array(CutCase, s_cases, std::size(s_cases));
}

ParameterizedTest(CutCase *cutCase, CutAttempts, cutsGiveNoSuccessAndNoPromise)
{
    const std::size_t headBytes = std::string_view(cutCase->head).size();
    const std::size_t size = headBytes + std::string_view(cutCase->body).size();
    for (const bool isReset : {false, true}) {
        for (std::size_t bytes = 0; bytes <= size; ++bytes) {
            const HttpResponse response = sendOnce(*cutCase, bytes, isReset);
            const std::string where = fmt::format("{} after {} bytes, {}", cutCase->name, bytes, isReset ? "reset" : "closed");
            const bool isWhole = bytes == size || (cutCase->endsWithConnection && bytes >= headBytes);
            if (isWhole && !isReset) {
                cr_assert_eq(response.status, cutCase->status, "%s: got %d", where.c_str(), response.status);
                continue;
            }
            cr_assert(response.status >= 300 || (isWhole && !cutCase->endsWithConnection && response.status == cutCase->status),
                "%s: got %d",
                where.c_str(),
                response.status);
            cr_assert(response.status != s_unavailable || (isWhole && cutCase->status == s_unavailable), "%s: got %d", where.c_str(), response.status);
        }
    }
    cr_log_info("%s: %zu cuts", cutCase->name, 2 * (size + 1));
}
