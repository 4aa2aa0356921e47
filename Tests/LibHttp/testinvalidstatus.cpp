#include "coroutine.h"
#include <LibHttp/connectionpool.h>
#include <LibHttp/jsonclient.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <list>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// Accepts connections, and writes one text to each after the first bytes of a request. It leaves connections open.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::string text)
        : m_acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0})
        , m_text(std::move(text))
    {
        asio::spawn(context, [this, &context](const asio::yield_context &yield) { serve(context, yield); });
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

private:
    void serve(asio::io_context &context, const asio::yield_context &yield)
    {
        while (true) {
            tcp::socket &socket = m_sockets.emplace_back(context);
            boost::system::error_code error;
            m_acceptor.async_accept(socket, yield[error]);
            std::array<char, 1024> request{};
            socket.async_read_some(asio::buffer(request), yield[error]);
            asio::async_write(socket, asio::buffer(m_text), yield[error]);
            if (error) {
                return;
            }
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_text;
    std::list<tcp::socket> m_sockets;
};

/// The field is an array since Criterion copies cases between processes.
struct StatusCase
{
    char status[8];
    /// How a call to an upstream ends, and whether a call to the store has a response.
    char ofCall[24];
    bool hasStoreResponse;
};

std::string response(const std::string &status, bool isInterim)
{
    return fmt::format("HTTP/1.1 {} Text\r\nTrefoil-Request-Id: first\r\n{}\r\n", status, isInterim ? "" : "Content-Length: 0\r\n");
}

/// The response under test with a sound one behind it, which must not be taken for the response to the request.
std::string textFor(const StatusCase &testCase)
{
    const std::string status = testCase.status;
    const bool isInterim = status.size() == 3 && status.front() == '1';
    return response(status, isInterim) + response("200", false);
}

std::string textOf(const CallResult &result)
{
    const auto *failure = std::get_if<CallFailure>(&result);
    return failure ? std::string(toText(failure->kind)) : std::to_string(std::get<HttpResponse>(result).status);
}

CallOptions options()
{
    CallOptions result;
    result.deadline = BootClock::now() + 3s;
    result.progressTimeout = 4s;
    result.requestId = "first";
    result.skipsForeignResponses = true;
    result.acceptsUndeclaredLength = true;
    return result;
}

} // namespace

// Guards against a status that is none and reaches the caller as a response, against one that holds the call until its deadline, and against
// later bytes of such a connection that are taken for a response.
ParameterizedTestParameters(InvalidStatus, isNoResponse)
{
    static StatusCase cases[] = {
        {"000", "malformed-response", false},
        {"001", "malformed-response", false},
        {"099", "malformed-response", false},
        {"0200", "malformed-response", false},
        {"600", "malformed-response", false},
        {"999", "malformed-response", false},
        {"2000", "malformed-response", false},
        {"20", "malformed-response", false},
        {"-1", "malformed-response", false},
        {"2x0", "malformed-response", false},
        {"", "malformed-response", false},
        // Nobody asked for another protocol.
        {"101", "malformed-response", false},
        {"100", "200", false},
        {"199", "200", false},
        {"200", "200", true},
        {"599", "599", true},
    };
    return cr_make_param_array(StatusCase, cases, std::size(cases));
}

ParameterizedTest(StatusCase *testCase, InvalidStatus, isNoResponse)
{
    asio::io_context context{1};
    ScriptedServer server(context, textFor(*testCase));
    ConnectionPool pool(context, {});
    JsonClientSettings storeSettings;
    storeSettings.address = server.address();
    JsonClient store(context, storeSettings);
    runCoroutine(context, [&](const asio::yield_context &yield) {
        const CallResult result = pool.call(server.address(), nullptr, {"GET", "/"}, options(), yield);
        cr_expect_eq(textOf(result), testCase->ofCall, "%s: %s", testCase->status, textOf(result).c_str());
        if (!std::holds_alternative<HttpResponse>(result)) {
            pool.call(server.address(), nullptr, {"GET", "/"}, options(), yield);
            cr_expect_eq(pool.opened(), 2U, "%s: the connection is used again", testCase->status);
        }
        JsonRequest request;
        request.method = "GET";
        request.target = "/";
        const JsonResult stored = store.request(request, BootClock::now() + 3s, yield);
        cr_expect_eq(std::holds_alternative<JsonResponse>(stored), testCase->hasStoreResponse, "%s", testCase->status);
    });
}

// Guards against a call that interim responses without end hold until its deadline.
Test(InvalidStatus, interimResponsesEnd)
{
    std::string text;
    for (int i = 0; i < 200; ++i) {
        text += response(std::to_string(100 + i % 2 * 2), true);
    }
    asio::io_context context{1};
    ScriptedServer server(context, text);
    ConnectionPool pool(context, {});
    runCoroutine(context, [&](const asio::yield_context &yield) {
        const CallResult result = pool.call(server.address(), nullptr, {"GET", "/"}, options(), yield);
        cr_expect_eq(textOf(result), "response-too-large", "%s", textOf(result).c_str());
    });
}
