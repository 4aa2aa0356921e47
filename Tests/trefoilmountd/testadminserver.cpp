#include "adminfixture.h"

#include <LibHttp/endpoint.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/parameterized.h>

using namespace Trefoil;
using nlohmann::json;

namespace
{

struct RequestCase
{
    char method[8];
    char target[24];
    char authorization[40];
    char body[96];
    int status;
    /// Expected part of the response body.
    char content[64];
};

} // namespace

// Guards against requests that are accepted without the secret, and against responses with a wrong status or incomplete body.
ParameterizedTestParameters(AdminServer, requests)
{
    static RequestCase cases[] = {
        {"GET", "/v1/status", "", "", 401, "Authorization"},
        {"GET", "/v1/status", "Bearer ", "", 401, "Authorization"},
        {"GET", "/v1/status", "Bearer administration-secre", "", 401, "Authorization"},
        {"GET", "/v1/status", "Bearer administration-secret2", "", 401, "Authorization"},
        {"GET", "/metrics", "Basic administration-secret", "", 401, "Authorization"},
        {"POST", "/v1/commands", "Bearer wrong", R"({"text": "drain region gulf"})", 401, "Authorization"},
        {"GET", "/v1/status", "Bearer administration-secret", "", 200, R"("configurationVersion":1)"},
        {"GET", "/v1/configuration", "Bearer administration-secret", "", 200, R"("version":1)"},
        {"GET", "/metrics", "Bearer administration-secret", "", 200, "trefoil_up 1"},
        {"GET", "/v1/commands", "Bearer administration-secret", "", 405, "use POST"},
        {"GET", "/v1/other", "Bearer administration-secret", "", 404, "unknown path"},
        {"POST", "/v1/commands", "Bearer administration-secret", "{", 400, "must be a JSON object"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"dryRun": true})", 400, R"("field":"text")"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show hosts", "baseVersion": -1})", 400, "baseVersion"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "drain regoin gulf"})", 400, R"(did you mean \"region\"?)"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "drain region gul"})", 400, R"(did you mean \"gulf\"?)"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "drain region gulf", "dryRun": true})", 200, "dry-run"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "drain region gulf", "baseVersion": 1})", 200, "accepted"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "drain region gulf", "baseVersion": 7})", 409, "conflict"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show hosts"})", 200, R"("host":"plains-b")"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show upstreams of s"})", 200, R"("inFlight":0)"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show upstreams of t"})", 400, R"(1:19)"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show configuration"})", 200, "tenant museum"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "show grants"})", 503, "does not answer"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "why tenant museum"})", 200, "home region"},
        {"POST", "/v1/commands", "Bearer administration-secret", R"({"text": "what-if drain zone gulf-a"})", 200, R"("fits":true)"},
    };
    return cr_make_param_array(RequestCase, cases, std::size(cases));
}

ParameterizedTest(RequestCase *testCase, AdminServer, requests)
{
    AdminFixture fixture;
    const auto response = fixture.request(testCase->method, testCase->target, testCase->body, testCase->authorization);
    cr_assert_eq(response.status, testCase->status, "%s: %d %s", testCase->body, response.status, response.body.c_str());
    cr_assert(response.body.find(testCase->content) != std::string::npos, "%s: %s", testCase->body, response.body.c_str());
}

// Guards against a refused change that is reported as a success, or without the name of the region.
Test(AdminServer, refusalNamesTheRegion)
{
    AdminFixture fixture;
    fixture.cluster.dropsMessage = [](const HostId & /*from*/, const HostId &to, const PeerMessage & /*message*/) { return to.value().rfind("hill", 0) == 0; };
    const auto response = fixture.commands({{"text", "drain region gulf; show hosts"}});
    cr_assert_eq(response.status, 503);
    cr_assert_eq(response.json()["regions"], json::array({"hill"}));
    cr_assert(response.json()["tables"].empty());
}

// Guards against a command that hides in the body of another request, whose end two programs see at different places.
Test(AdminServer, hiddenCommandsDontRun)
{
    AdminFixture fixture;
    const std::string authorization = std::string("Authorization: Bearer ") + s_secret + "\r\n";
    const std::string command = R"({"text": "drain region gulf"})";
    const std::string hidden =
        "POST /v1/commands HTTP/1.1\r\n" + authorization + "Connection: close\r\nContent-Length: " + std::to_string(command.size()) + "\r\n\r\n" + command;
    std::optional<std::string> answer;
    boost::asio::spawn(fixture.cluster.context, [&](const boost::asio::yield_context &yield) {
        boost::asio::ip::tcp::socket socket(fixture.cluster.context);
        socket.async_connect(parseEndpoint(fixture.server->address()).value(), yield);
        const std::string request = "GET /v1/status HTTP/1.1\r\n" + authorization + "Transfer-Encoding: gzip\r\n\r\n" + hidden;
        boost::asio::async_write(socket, boost::asio::buffer(request), yield);
        std::string text;
        boost::system::error_code error;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(text), yield[error]);
        answer = text;
    });
    cr_assert(fixture.cluster.runUntil([&] { return answer.has_value(); }, 15000));
    cr_assert_eq(answer->substr(0, 12), "HTTP/1.1 400", "%s", answer->c_str());
    cr_assert_eq(answer->find("accepted"), std::string::npos, "%s", answer->c_str());
}
