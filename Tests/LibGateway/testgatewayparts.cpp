#include <LibGateway/attempt.h>
#include <LibGateway/gatewaystate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

struct LoadCase
{
    char text[24];
    int running;
    int waiting;
};

struct CallCase
{
    char name[40];
    int status;
    char header[32];
    bool isNotRun;
    bool hasResponse;
    AttemptOutcome outcome;
};

struct FailureCase
{
    CallFailureKind kind;
    bool anyByteWritten;
    Execution execution;
    AttemptOutcome outcome;
};

GatewayStateSettings stateSettings()
{
    GatewayStateSettings settings;
    settings.host = HostId("self");
    settings.placement.zone = ZoneId("gulf-a");
    settings.placement.region = RegionId("gulf");
    settings.regions = {{ZoneId("gulf-a"), RegionId("gulf")}, {ZoneId("hill-a"), RegionId("hill")}};
    return settings;
}

RoutingConfiguration configuration(std::uint64_t version)
{
    Route route;
    route.id = RouteId("route");
    route.host = "a.example";
    route.prefix = "/";
    route.services = {{ServiceId("service"), 1}};
    return {ConfigurationVersion(version), {route}, {{ServiceId("service"), "/healthz", ConnectionCount(10), 3000ms, 3.2}}, {}};
}

UpstreamRegistration registration(const std::string &id, const std::string &zone)
{
    UpstreamRegistration result;
    result.id = UpstreamId(id);
    result.service = ServiceId("service");
    result.address = "127.0.0.1:1";
    result.zone = ZoneId(zone);
    result.slots = SlotCount(4);
    return result;
}

std::size_t usable(GatewayState &state, const Route &route, BootTime now)
{
    return state.usableUpstreams(ServiceId("service"), route, {}, now).size();
}

} // namespace

// Guards against a load that is read from a header of another form.
ParameterizedTestParameters(GatewayHeaders, loadReports)
{
    static LoadCase cases[] = {{"3,0,8", 3, 0},
        {" 3 , 2 , 8 ", 3, 2},
        {"3,0", -1, 0},
        {"", -1, 0},
        {"a,b,c", -1, 0},
        {"-1,0,8", -1, 0},
        {"3,0,8,9", -1, 0},
        {"99999999999,0,8", -1, 0}};
    return cr_make_param_array(LoadCase, cases, std::size(cases));
}

ParameterizedTest(LoadCase *testCase, GatewayHeaders, loadReports)
{
    const auto report = parseLoadReport(testCase->text);
    cr_assert_eq(report.has_value(), testCase->running >= 0, "%s", testCase->text);
    if (report) {
        cr_assert_eq(report->running, testCase->running);
        cr_assert_eq(report->waiting, testCase->waiting);
    }
}

// Guards against headers of one connection that reach the other side, also when the Connection header names them.
Test(GatewayHeaders, connectionFieldsAreLeftOut)
{
    HttpHeaders from;
    for (const char *name : {"Connection", "Keep-Alive", "Transfer-Encoding", "Expect", "X-Private", "Host", "Cookie"}) {
        from.add(name, isSameHeaderName(name, "Connection") ? "close, x-private" : "1");
    }
    HttpHeaders to;
    copyEndToEndFields(from, to);
    cr_assert_eq(to.all().size(), 2);
    cr_assert(to.find("Host") && to.find("Cookie"));
}

// Guards against a refusal that claims too much, and against an answer that isn't the upstream's own.
ParameterizedTestParameters(Attempt, responses)
{
    static CallCase cases[] = {
        {"served", 200, "", false, true, AttemptOutcome::Success},
        {"failed", 500, "", false, true, AttemptOutcome::Failed},
        {"unavailable, but perhaps run", 503, "", false, true, AttemptOutcome::Failed},
        {"not run", 503, "Trefoil-Not-Started", true, false, AttemptOutcome::Shed},
        {"not run, too many", 429, "Trefoil-Not-Started", true, false, AttemptOutcome::Shed},
        {"another upstream", 421, "", true, false, AttemptOutcome::Shed},
        {"encoded body", 200, "Content-Encoding", false, false, AttemptOutcome::Broken},
        {"not found by the upstream", 404, "", false, true, AttemptOutcome::Success},
    };
    return cr_make_param_array(CallCase, cases, std::size(cases));
}

ParameterizedTest(CallCase *testCase, Attempt, responses)
{
    HttpResponse response;
    response.status = testCase->status;
    if (testCase->header[0] != '\0') {
        response.headers.add(testCase->header, "1");
    }
    const AttemptEnd end = classifyCall(response, {});
    cr_assert_eq(end.execution == Execution::NotRun, testCase->isNotRun, "%s", testCase->name);
    cr_assert_eq(end.response.has_value(), testCase->hasResponse, "%s", testCase->name);
    cr_assert_eq(static_cast<int>(end.outcome), static_cast<int>(testCase->outcome), "%s", testCase->name);
}

// Guards against a request that was sent and is taken for one that wasn't.
ParameterizedTestParameters(Attempt, failures)
{
    using Kind = CallFailureKind;
    static FailureCase cases[] = {
        {Kind::ConnectFailed, false, Execution::NotRun, AttemptOutcome::Unreachable},
        {Kind::ConnectTimeout, false, Execution::NotRun, AttemptOutcome::Unreachable},
        {Kind::WriteRefused, false, Execution::NotRun, AttemptOutcome::Broken},
        {Kind::ConnectionLost, true, Execution::Possible, AttemptOutcome::Broken},
        {Kind::ConnectionLost, false, Execution::NotRun, AttemptOutcome::Broken},
        {Kind::Truncated, true, Execution::Possible, AttemptOutcome::Broken},
        {Kind::DeadlineExceeded, true, Execution::Possible, AttemptOutcome::Broken},
        {Kind::Cancelled, true, Execution::Possible, AttemptOutcome::Cancelled},
    };
    return cr_make_param_array(FailureCase, cases, std::size(cases));
}

ParameterizedTest(FailureCase *testCase, Attempt, failures)
{
    const AttemptEnd end = classifyCall(CallFailure{testCase->kind, testCase->anyByteWritten, ""}, {});
    cr_assert_eq(static_cast<int>(end.execution), static_cast<int>(testCase->execution), "%s", end.reason.c_str());
    cr_assert_eq(static_cast<int>(end.outcome), static_cast<int>(testCase->outcome), "%s", end.reason.c_str());
}

// Guards against a configuration that reverts to an older version.
Test(GatewayState, configurationOnlyMovesOn)
{
    GatewayState state(stateSettings());
    cr_assert_not(state.routes());
    cr_assert(state.setConfiguration(configuration(5)));
    cr_assert_not(state.setConfiguration(configuration(4)));
    cr_assert_not(state.setConfiguration(configuration(5)));
    cr_assert(state.setConfiguration(configuration(9)));
    cr_assert_eq(state.routes()->configuration().version.value(), 9);
}

// Guards against requests to upstreams that leave, that are gone, that stand in an evacuated zone, or whose region the route
// doesn't allow.
Test(GatewayState, unusableUpstreamsAreLeftOut)
{
    GatewayState state(stateSettings());
    state.setConfiguration(configuration(1));
    Route route = configuration(1).routes.front();
    state.upstreamStarted(registration("near", "gulf-a"), s_start);
    state.upstreamStarted(registration("far", "hill-a"), s_start);
    cr_assert_eq(usable(state, route, s_start), 2);
    route.allowedRegions = {RegionId("hill")};
    cr_assert_eq(usable(state, route, s_start), 1);
    route.allowedRegions.clear();
    state.setEvacuated({ZoneId("gulf-a")}, s_start);
    cr_assert_eq(usable(state, route, s_start), 1);
    state.setEvacuated({}, s_start);
    UpstreamRegistration leaving = registration("far", "hill-a");
    leaving.leaving = true;
    state.upstreamUpdated(leaving, s_start);
    state.upstreamGone(UpstreamId("near"));
    cr_assert_eq(usable(state, route, s_start), 0);
}

// Guards against a burst at upstreams that come back cold: after their start, and after their zone is taken back.
Test(GatewayState, coldUpstreamsArePaced)
{
    GatewayState state(stateSettings());
    state.setConfiguration(configuration(1));
    state.directory().setSelf({HostId("self"), "a:1", "a:2", ZoneId("gulf-a"), RegionId("gulf"), 1}, HostPhase::Serving);
    UpstreamRegistration cold = registration("near", "gulf-a");
    cold.coldRemaining = 2000ms;
    state.upstreamStarted(cold, s_start);
    const Route route = configuration(1).routes.front();
    const auto upstreams = state.usableUpstreams(ServiceId("service"), route, {}, s_start);
    cr_assert_eq(upstreams.size(), 1);
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += state.takeColdPlace(*upstreams.front(), s_start + i * 10ms) ? 1 : 0;
    }
    cr_assert(taken >= 1 && taken <= 3, "%d", taken);
    cr_assert(state.takeColdPlace(*upstreams.front(), s_start + 3s));
    cr_assert(state.takeColdPlace(*upstreams.front(), s_start + 3s));
    state.setEvacuated({ZoneId("gulf-a")}, s_start + 4s);
    state.setEvacuated({}, s_start + 5s);
    cr_assert(upstreams.front()->model.isCold(s_start + 7s));
    cr_assert_not(upstreams.front()->model.isCold(s_start + 9s));
}

// Guards against several hosts that warm up one upstream of another zone at once.
Test(GatewayState, hostsOfTheZoneWarmUp)
{
    GatewayState state(stateSettings());
    state.setConfiguration(configuration(1));
    state.directory().setSelf({HostId("self"), "a:1", "a:2", ZoneId("gulf-a"), RegionId("gulf"), 1}, HostPhase::Serving);
    state.directory().add({HostId("other"), "b:1", "b:2", ZoneId("hill-a"), RegionId("hill"), 1}, s_start);
    UpstreamRegistration cold = registration("far", "hill-a");
    cold.coldRemaining = 2000ms;
    state.upstreamStarted(cold, s_start);
    const Route route = configuration(1).routes.front();
    cr_assert_eq(usable(state, route, s_start), 0);
    cr_assert_eq(usable(state, route, s_start + 3s), 1);
}

// Guards against connections of all hosts together beyond what an upstream accepts, which it resets.
Test(GatewayState, connectionsAreDividedAmongTheHosts)
{
    GatewayState state(stateSettings());
    state.setConfiguration(configuration(1));
    UpstreamRegistration registration;
    registration.id = UpstreamId("u");
    registration.service = ServiceId("service");
    registration.address = "127.0.0.1:1";
    registration.zone = ZoneId("gulf-a");
    registration.slots = SlotCount(4);
    state.upstreamStarted(registration, s_start);
    const auto &upstream = *state.knowledge(ServiceId("service")).upstreams.front();
    const HostReport self{HostId("self"), "a:1", "a:2", ZoneId("gulf-a"), RegionId("gulf"), 1};
    state.directory().setSelf(self, HostPhase::Serving);
    cr_assert_eq(state.connectionLimit(upstream)->granted().value(), 10);
    for (int i = 0; i < 2; ++i) {
        HostReport other = self;
        other.id = HostId("other-" + std::to_string(i));
        state.directory().add(other, s_start);
    }
    cr_assert_eq(state.connectionLimit(upstream)->granted().value(), 3);
    registration.id = UpstreamId("v");
    registration.service = ServiceId("unlimited");
    state.upstreamStarted(registration, s_start);
    cr_assert_null(state.connectionLimit(*state.knowledge(ServiceId("unlimited")).upstreams.front()).get());
}
