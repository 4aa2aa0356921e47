#include "scriptedupstream.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;

namespace
{

const BootTime s_start{1h};

UpstreamRegistration registration(std::int64_t startedAt, std::int64_t reportNumber, const std::string &address = "127.0.0.1:1")
{
    UpstreamRegistration result;
    result.id = UpstreamId("u");
    result.service = ServiceId("service");
    result.address = address;
    result.zone = ZoneId("zone");
    result.slots = SlotCount(4);
    result.startedAt = startedAt;
    result.reportNumber = reportNumber;
    return result;
}

/// Ends one request at the upstream with a response that carries the notices.
void respond(GatewayState &state, Upstream &upstream, const AttemptObservation &observation, BootTime now)
{
    const Route &route = state.routes()->configuration().routes.front();
    upstream.model.recordStart();
    state.recordAttempt({&route, ServiceId("service"), 0, now, now + 1s}, upstream, {}, observation, now);
}

AttemptObservation leavingResponse()
{
    AttemptObservation observation;
    observation.isUpstreamLeaving = true;
    return observation;
}

AttemptObservation pauseResponse(std::chrono::milliseconds pause)
{
    AttemptObservation observation;
    observation.outcome = AttemptOutcome::Shed;
    observation.pause = pause;
    return observation;
}

struct StateFixture
{
    StateFixture()
        : state(GatewayFixture::settings())
    {
        state.setConfiguration(GatewayFixture::configuration());
        state.upstreamStarted(registration(1, 1), s_start);
    }

    std::vector<std::shared_ptr<Upstream>> usable(BootTime now)
    {
        return state.usableUpstreams(ServiceId("service"), state.routes()->configuration().routes.front(), {}, now);
    }

    GatewayState state;
};

enum class RowChange {
    None,
    OlderRow,
    SameProcessElsewhere,
    RemovedAndWrittenAgain,
    NewProcess,
    NewProcessAfterClockWasSetBack,
};

struct LeavingCase
{
    char name[48];
    /// What is read of the upstream after it said that it is leaving.
    RowChange change;
    bool isUsable;
};

} // namespace

// Guards against requests to an upstream that has said it is leaving: rows are read late or from the past, and a host may have lost the
// store. A new process under the same id is used.
ParameterizedTestParameters(UpstreamNotices, leavingHoldsForTheProcess)
{
    static LeavingCase cases[] = {
        {"no row is read", RowChange::None, false},
        {"a row of before", RowChange::OlderRow, false},
        {"the same process at another address", RowChange::SameProcessElsewhere, false},
        {"the row is removed and written again", RowChange::RemovedAndWrittenAgain, false},
        {"a new process", RowChange::NewProcess, true},
        {"a new process after the clock was set back", RowChange::NewProcessAfterClockWasSetBack, true},
    };
    return cr_make_param_array(LeavingCase, cases, std::size(cases));
}

ParameterizedTest(LeavingCase *testCase, UpstreamNotices, leavingHoldsForTheProcess)
{
    StateFixture fixture;
    const auto chosenBefore = fixture.usable(s_start).at(0);
    respond(fixture.state, *chosenBefore, leavingResponse(), s_start);
    cr_assert_not(fixture.state.tryRecordSend(*chosenBefore, s_start), "a request that waited for a connection");
    const BootTime now = s_start + 1s;
    switch (testCase->change) {
    case RowChange::None:
        break;
    case RowChange::OlderRow:
        fixture.state.upstreamUpdated(registration(1, 1), now);
        break;
    case RowChange::SameProcessElsewhere:
        fixture.state.upstreamUpdated(registration(1, 2, "127.0.0.1:2"), now);
        break;
    case RowChange::RemovedAndWrittenAgain:
        fixture.state.upstreamRemoved(UpstreamId("u"));
        fixture.state.upstreamStarted(registration(1, 2), now);
        break;
    case RowChange::NewProcess:
        fixture.state.upstreamRemoved(UpstreamId("u"));
        fixture.state.upstreamStarted(registration(2, 1), now);
        break;
    case RowChange::NewProcessAfterClockWasSetBack:
        fixture.state.upstreamStarted(registration(0, 1), now);
        break;
    }
    cr_assert_eq(fixture.usable(now).size(), testCase->isUsable ? 1U : 0U, "%s", testCase->name);
    cr_assert_eq(fixture.usable(now + 1h).size(), testCase->isUsable ? 1U : 0U, "%s, an hour later", testCase->name);
}

// Guards against requests during a pause, against a pause that is forgotten when the row changes, and against a burst at its end.
Test(UpstreamNotices, pausesHoldAndEndSlowly)
{
    StateFixture fixture;
    const auto upstream = fixture.usable(s_start).at(0);
    respond(fixture.state, *upstream, pauseResponse(2s), s_start);
    respond(fixture.state, *upstream, pauseResponse(100ms), s_start);
    cr_assert(fixture.usable(s_start + 1999ms).empty());
    cr_assert_not(fixture.state.tryRecordSend(*upstream, s_start + 1999ms), "a request that waited for a connection");
    const Route &route = fixture.state.routes()->configuration().routes.front();
    cr_assert(fixture.state.timeUntilPauseEnds(ServiceId("service"), route, s_start + 500ms) == Milliseconds(1500));
    fixture.state.upstreamUpdated(registration(1, 2, "127.0.0.1:2"), s_start + 1s);
    cr_assert(fixture.usable(s_start + 1999ms).empty(), "the row has changed");

    const BootTime end = s_start + 2s;
    cr_assert_not(fixture.state.timeUntilPauseEnds(ServiceId("service"), route, end));
    const auto resumed = fixture.usable(end).at(0);
    resumed->model.recordStart();
    cr_assert(fixture.state.tryRecordSend(*resumed, end));
    cr_assert(fixture.usable(end).empty(), "a second request before the first one is accepted");
    fixture.state.recordAttempt({&route, ServiceId("service"), 0, end, end + 1s}, *resumed, {}, {}, end);
    for (int request = 0; request < 2; ++request) {
        cr_assert_eq(fixture.usable(end).size(), 1);
        resumed->model.recordStart();
    }
    cr_assert(fixture.usable(end).empty(), "a third request after one was accepted");
}

namespace
{

struct PauseCase
{
    char first[24];
    /// A second header; empty for none.
    char second[8];
    /// -1 for no pause.
    int milliseconds;
    bool isAdjusted;
};

} // namespace

// Guards against absurd, malformed or repeated values that exclude an upstream for good or are taken for no pause without a trace.
ParameterizedTestParameters(UpstreamNotices, requestedPauses)
{
    static PauseCase cases[] = {
        {"2", "", 2000, false},
        {"0.25", "", 250, false},
        {" 1.5 ", "", 1500, false},
        {"0", "", 0, false},
        {"60", "", 60000, false},
        {"61", "", 60000, true},
        {"1e300", "", 60000, true},
        {"1e400", "", -1, true},
        {"inf", "", 60000, true},
        {"nan", "", -1, true},
        {"-3", "", -1, true},
        {"soon", "", -1, true},
        {"", "", -1, true},
        {"3 4", "", -1, true},
        {"Wed, 21 Oct 2026", "", -1, true},
        {"1", "3", 3000, true},
        {"x", "3", 3000, true},
    };
    return cr_make_param_array(PauseCase, cases, std::size(cases));
}

ParameterizedTest(PauseCase *testCase, UpstreamNotices, requestedPauses)
{
    HttpHeaders headers;
    headers.add("Retry-After", testCase->first);
    if (*testCase->second != '\0') {
        headers.add("retry-after", testCase->second);
    }
    const RequestedPause requested = parseRequestedPause(headers);
    cr_assert_eq(requested.pause ? requested.pause->count() : -1, testCase->milliseconds, "%s", testCase->first);
    cr_assert_eq(requested.isAdjusted, testCase->isAdjusted, "%s", testCase->first);
    cr_assert_not(parseRequestedPause({}).pause || parseRequestedPause({}).isAdjusted);
}

// Guards against a request, first or repeated, to an upstream that has said in a response that it is leaving.
Test(UpstreamNotices, noRequestFollowsALeavingResponse)
{
    GatewayFixture fixture(0);
    ScriptedUpstream leaving(fixture, "leaving", [](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        ScriptedUpstream::write(socket, response(id, "200 OK", "Trefoil-Leaving: 1\r\n"), yield);
        return true;
    });
    std::deque<ScriptedUpstream> others;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
        const HttpResponse rejection = fixture.send("/write/1", yield);
        cr_assert(rejection.status == 503 && rejection.headers.find("Retry-After"));
        others.emplace_back(fixture, "staying", [](tcp::socket &socket, const std::string &id, const asio::yield_context &otherYield) {
            ScriptedUpstream::write(socket, response(id, "500 Internal Server Error"), otherYield);
            return true;
        });
        for (int i = 0; i < 5; ++i) {
            // The request may be repeated, but there is no second upstream.
            cr_assert_eq(fixture.send("/read/1", yield).status, 502);
        }
    });
    cr_assert_eq(leaving.received().size(), 1);
    cr_assert_eq(others.front().received().size(), 5);
}

// Guards against requests to an upstream that asked for a pause, and against callers that wait although all upstreams are paused.
Test(UpstreamNotices, pausedUpstreamsGetNothing)
{
    GatewayFixture fixture(0);
    bool isPausing = true;
    ScriptedUpstream pausing(fixture, "pausing", [&isPausing](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        const std::string text = isPausing ? response(id, "503 Service Unavailable", "Trefoil-Not-Started: 1\r\nRetry-After: 1\r\n") : response(id, "200 OK");
        ScriptedUpstream::write(socket, text, yield);
        return true;
    });
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 503);
        isPausing = false;
        const BootTime paused = BootClock::now();
        for (int i = 0; i < 20; ++i) {
            const BootTime sent = BootClock::now();
            const HttpResponse rejection = fixture.send("/write/1", yield);
            cr_assert_eq(rejection.status, 503);
            const double retryAfter = std::stod(std::string(rejection.headers.value("Retry-After")));
            const double left = std::chrono::duration<double>(paused + 1s - sent).count();
            cr_assert(retryAfter >= left - 0.02 && retryAfter <= 2 * left + 0.02, "%f of %f", retryAfter, left);
            cr_assert(BootClock::now() - sent < 100ms);
            pause(fixture.context, 10ms, yield);
        }
        pause(fixture.context, 850ms, yield);
        cr_assert_eq(pausing.received().size(), 1);
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
    });
}

namespace
{

enum class RepeatedId {
    OfTheRefusedRequest,
    None,
    OfAnUnknownRequest,
};

struct RepeatedRefusalCase
{
    char name[40];
    RepeatedId id;
    /// Whether the refusal is written again while the connection is idle, and not once the next request has arrived.
    bool isIdle;
};

} // namespace

// Guards against a refusal that a faulty upstream writes once more on a kept connection and that is taken for the response to the next
// request: its caller would be told that it has not run, or it would run at a second upstream, although the first one runs it.
ParameterizedTestParameters(UpstreamNotices, repeatedRefusalsAreNotBelieved)
{
    static RepeatedRefusalCase cases[] = {
        {"id of the refused request", RepeatedId::OfTheRefusedRequest, false},
        {"no id", RepeatedId::None, false},
        {"an id that was never sent", RepeatedId::OfAnUnknownRequest, false},
        {"id of the refused request, idle", RepeatedId::OfTheRefusedRequest, true},
        {"no id, idle", RepeatedId::None, true},
    };
    return cr_make_param_array(RepeatedRefusalCase, cases, std::size(cases));
}

ParameterizedTest(RepeatedRefusalCase *testCase, UpstreamNotices, repeatedRefusalsAreNotBelieved)
{
    GatewayFixture fixture(0);
    std::string refused;
    std::vector<std::string> run;
    const auto script = [&](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        const auto repeatedRefusal = [&] {
            const std::string repeatedId = testCase->id == RepeatedId::OfTheRefusedRequest ? refused : testCase->id == RepeatedId::None ? "" : "other";
            return refusal(repeatedId);
        };
        if (refused.empty()) {
            refused = id;
            ScriptedUpstream::write(socket, refusal(id), yield);
            if (testCase->isIdle) {
                pause(fixture.context, 20ms, yield);
                ScriptedUpstream::write(socket, repeatedRefusal(), yield);
            }
            return true;
        }
        run.push_back(id);
        if (!testCase->isIdle) {
            ScriptedUpstream::write(socket, repeatedRefusal(), yield);
        }
        pause(fixture.context, 20ms, yield);
        ScriptedUpstream::write(socket, response(id, "200 OK"), yield);
        return true;
    };
    ScriptedUpstream faulty(fixture, "faulty", script);
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 503);
        pause(fixture.context, 50ms, yield);
        for (int i = 0; i < 3; ++i) {
            const HttpResponse response = fixture.send("/write/1", yield);
            cr_assert_eq(response.status, 200, "%s: %d", testCase->name, response.status);
            cr_assert_eq(response.headers.value("Trefoil-Request-Id"), "id-" + std::to_string(fixture.sent));
        }
    });
    cr_assert_eq(run.size(), 3, "%s: %zu runs", testCase->name, run.size());
}

// Guards against a request without an id that is sent on a connection on which a response to an earlier request may still come: nothing
// would tell it from its own.
Test(UpstreamNotices, requestsWithoutIdUseNewConnections)
{
    GatewayFixture fixture(0);
    int connections = 0;
    ScriptedUpstream upstream(fixture,
        "u",
        [&connections, last = static_cast<tcp::socket *>(nullptr)](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) mutable {
            connections += last == &socket ? 0 : 1;
            last = &socket;
            ScriptedUpstream::write(socket, response(id, "200 OK"), yield);
            return true;
        });
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
        cr_assert_eq(connections, 1);
        HttpRequest request{"POST", "/write/1", {}, "two casts"};
        request.headers.add("Host", "a.example");
        cr_assert_eq(fixture.gateway.handle(request, fixture.caller, yield).status, 200);
        cr_assert_eq(connections, 2);
    });
}

namespace
{

struct PromiseCase
{
    char status[28];
    bool isIdempotent;
    int expected;
};

} // namespace

// Guards against a status that promises callers that a request has not run, although its upstream has not said so.
ParameterizedTestParameters(UpstreamNotices, onlyTrueRefusalsAreCalledSo)
{
    static PromiseCase cases[] = {
        {"503 Service Unavailable", false, 502},
        {"429 Too Many Requests", false, 502},
        {"408 Request Timeout", false, 502},
        {"500 Internal Server Error", false, 500},
        {"404 Not Found", false, 404},
        {"429 Too Many Requests", true, 429},
    };
    return cr_make_param_array(PromiseCase, cases, std::size(cases));
}

ParameterizedTest(PromiseCase *testCase, UpstreamNotices, onlyTrueRefusalsAreCalledSo)
{
    GatewayFixture fixture(0);
    ScriptedUpstream upstream(fixture, "u", [testCase](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        ScriptedUpstream::write(socket, response(id, testCase->status), yield);
        return true;
    });
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send(testCase->isIdempotent ? "/read/1" : "/write/1", yield).status, testCase->expected, "%s", testCase->status);
    });
}
