#include "scriptedupstream.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <deque>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;

namespace
{

struct RefusalCopyCase
{
    char name[48];
    char status[28];
    char fields[32];
    /// When the copy of the refusal is written, after the request has begun to run.
    std::chrono::milliseconds delay;
    /// Whether another upstream could take the request.
    bool hasOther;
    char target[12];
};

/// An address that two upstreams are registered with, since the row of the earlier process is still there. Its process refuses each
/// request that it sees for the first time, and writes the refusal once more when the request comes again on the same connection.
struct SharedAddress
{
    explicit SharedAddress(const RefusalCopyCase &testCase)
        : refusalCase(testCase)
        , upstream(fixture, "earlier", [this](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
            answer(socket, id, yield);
            return true;
        })
    {
        upstream.registerAs(fixture, "later");
    }

    void answer(tcp::socket &socket, const std::string &id, const asio::yield_context &yield)
    {
        const std::string refusalText = response(id, refusalCase.status, refusalCase.fields);
        const auto refusedOn = refused.find(id);
        if (refusedOn == refused.end()) {
            refused.emplace(id, &socket);
            ScriptedUpstream::write(socket, refusalText, yield);
            return;
        }
        ran.push_back(id);
        if (refusedOn->second == &socket) {
            pause(fixture.context, refusalCase.delay, yield);
            ScriptedUpstream::write(socket, refusalText, yield);
        }
        pause(fixture.context, 30ms, yield);
        ScriptedUpstream::write(socket, response(id, "200 OK"), yield);
    }

    const RefusalCopyCase &refusalCase;
    GatewayFixture fixture{0};
    std::map<std::string, tcp::socket *> refused;
    std::vector<std::string> ran;
    ScriptedUpstream upstream;
};

} // namespace

// Guards against the copy of a refusal that is taken for the response to the same request, sent again on the same connection: the caller
// is told that it has not run while an upstream runs it, or a second upstream runs it too.
ParameterizedTestParameters(RefusalCopies, copyDoesNotAnswerTheRepeatedRequest)
{
    static RefusalCopyCase cases[] = {
        {"misdirected, at once", "421 Misdirected Request", "Trefoil-Not-Started: 1\r\n", 0ms, false, "/write/1"},
        {"misdirected, while it runs", "421 Misdirected Request", "Trefoil-Not-Started: 1\r\n", 15ms, false, "/write/1"},
        {"full, at once", "503 Service Unavailable", "Trefoil-Not-Started: 1\r\n", 0ms, false, "/write/1"},
        {"full, while it runs", "503 Service Unavailable", "Trefoil-Not-Started: 1\r\n", 15ms, false, "/write/1"},
        {"misdirected, another upstream is free", "421 Misdirected Request", "Trefoil-Not-Started: 1\r\n", 0ms, true, "/write/1"},
        {"full, another upstream is free", "503 Service Unavailable", "Trefoil-Not-Started: 1\r\n", 0ms, true, "/write/1"},
        {"refused with status 200, at once", "200 OK", "Trefoil-Not-Started: 1\r\n", 0ms, false, "/write/1"},
        {"refused with status 200, another is free", "200 OK", "Trefoil-Not-Started: 1\r\n", 0ms, true, "/write/1"},
        {"refused with a redirection", "307 Temporary Redirect", "Trefoil-Not-Started: 1\r\n", 15ms, false, "/write/1"},
        {"failed, a request that may be repeated", "500 Internal Server Error", "", 0ms, false, "/read/1"},
    };
    return cr_make_param_array(RefusalCopyCase, cases, std::size(cases));
}

ParameterizedTest(RefusalCopyCase *testCase, RefusalCopies, copyDoesNotAnswerTheRepeatedRequest)
{
    SharedAddress shared(*testCase);
    GatewayFixture &fixture = shared.fixture;
    std::deque<ScriptedUpstream> others;
    if (testCase->hasOther) {
        others.emplace_back(fixture, "other", [&shared](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
            shared.ran.push_back(id);
            ScriptedUpstream::write(socket, response(id, "200 OK"), yield);
            return true;
        });
    }
    fixture.run([&](const asio::yield_context &yield) {
        for (int i = 0; i < 10; ++i) {
            const int status = fixture.send(testCase->target, yield).status;
            pause(fixture.context, 50ms, yield);
            const std::string id = "id-" + std::to_string(fixture.sent);
            const auto runs = std::count(shared.ran.begin(), shared.ran.end(), id);
            cr_assert(status == 200 || runs == 0, "%s: %d, although it ran", testCase->name, status);
            cr_assert(runs <= 1, "%s: ran %zd times", testCase->name, runs);
        }
    });
    cr_assert_not(shared.ran.empty(), "%s: no request was sent again", testCase->name);
}

// Guards against a 421 from the address of an earlier process that removes the process which has started under the same id meanwhile: the
// host would send it nothing until it starts again.
Test(RefusalCopies, misdirectionByTheEarlierAddressKeepsTheNewProcess)
{
    GatewayFixture fixture(1);
    const Route &route = fixture.state.routes()->configuration().routes.front();
    const UpstreamIdentity sound = fixture.state.usableUpstreams(ServiceId("service"), route, {}, BootClock::now()).at(0)->model.identity();
    fixture.state.upstreamRemoved(sound.id);
    UpstreamRegistration restarted;
    restarted.id = UpstreamId("u");
    restarted.service = sound.service;
    restarted.address = sound.address;
    restarted.zone = sound.zone;
    restarted.slots = sound.slots;
    restarted.startedAt = 2;
    const ScriptedUpstream earlier(fixture, "u", [&](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        fixture.state.upstreamStarted(restarted, BootClock::now());
        ScriptedUpstream::write(socket, response(id, "421 Misdirected Request", "Trefoil-Not-Started: 1\r\n"), yield);
        return true;
    });
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 503);
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
    });
    cr_assert_eq(earlier.received().size(), 1);
    cr_assert_eq(fixture.begun(), 1);
}

namespace
{

struct EvidenceCase
{
    char name[40];
    /// Each {} stands for the id of the request.
    char text[180];
    int expected;
};

} // namespace

// Guards against a request that ran and counts as refused, since the word for it, or the id, stands where no sound upstream writes it.
ParameterizedTestParameters(RefusalCopies, onlyTheHeadSaysThatARequestDidNotRun)
{
    static EvidenceCase cases[] = {
        {"refusal in a trailer",
            "HTTP/1.1 200 OK\r\nTrefoil-Request-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrefoil-Not-Started: 1\r\n\r\n",
            200},
        {"id in a trailer",
            "HTTP/1.1 503 Busy\r\nTrefoil-Not-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrefoil-Request-Id: {}\r\n\r\n",
            502},
        {"two ids", "HTTP/1.1 503 Busy\r\nTrefoil-Request-Id: {}\r\nTrefoil-Request-Id: other\r\nTrefoil-Not-Started: 1\r\nContent-Length: 0\r\n\r\n", 502},
        {"refusal in an interim response",
            "HTTP/1.1 103 Hints\r\nTrefoil-Request-Id: {}\r\nTrefoil-Not-Started: 1\r\n\r\nHTTP/1.1 200 OK\r\nTrefoil-Request-Id: {}\r\nContent-Length: "
            "0\r\n\r\n",
            200},
        {"in the head", "HTTP/1.1 503 Busy\r\nTrefoil-Request-Id: {}\r\nTrefoil-Not-Started: 1\r\nContent-Length: 0\r\n\r\n", 503},
    };
    return cr_make_param_array(EvidenceCase, cases, std::size(cases));
}

ParameterizedTest(EvidenceCase *testCase, RefusalCopies, onlyTheHeadSaysThatARequestDidNotRun)
{
    GatewayFixture fixture(0);
    const ScriptedUpstream upstream(fixture, "u", [testCase](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        std::string text = testCase->text;
        for (auto position = text.find("{}"); position != std::string::npos; position = text.find("{}")) {
            text.replace(position, 2, id);
        }
        ScriptedUpstream::write(socket, text, yield);
        return false;
    });
    fixture.run([&](const asio::yield_context &yield) { cr_assert_eq(fixture.send("/write/1", yield).status, testCase->expected, "%s", testCase->name); });
}
