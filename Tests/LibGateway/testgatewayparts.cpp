#include <LibGateway/attempt.h>
#include <LibGateway/gatewaystate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <deque>
#include <pcg_random.hpp>
#include <random>

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
    /// 0 stands for a report without one.
    double workFactor;
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

/// One cold upstream in the zone cold-a, and hosts that all have requests for it.
struct ColdCase
{
    char name[56];
    double coldRequestsPerSecond;
    /// Maximum time from the choice of the upstream until the request is sent: it grows from 0 to this value and falls back to 0.
    std::chrono::milliseconds maximumConnectTime;
    /// Interval at which the row changes so that the upstream counts as a new one; 0 for never.
    std::chrono::milliseconds moveInterval;
    /// Time from the start until hosts are notified that the upstream is cold; requests sent as to a warm one until then don't count.
    std::chrono::milliseconds notifiedAfter;
    /// Number of hosts in the upstream's zone, and in two other zones.
    int hostsInZone;
    int hostsElsewhere;
    /// Minimum number of requests in all three seconds.
    int minimumSent;
    /// Whether the hosts receive each other's beacons.
    bool receivesBeacons;
    /// Whether the rows of the other hosts were read.
    bool hasRows;
    /// Whether the row is removed each time before it is written again.
    bool isRemovedBetween;
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

// Guards against the first second of a deployment in which a customer that is bound to a region fills the queues of its upstreams: after that, the
// hosts reject nearly all requests of the region, and the share of its requests that run elsewhere jumps.
Test(GatewayState, loadIsEstimatedBeforeReportsWithCustomers)
{
    for (const bool hasCustomers : {false, true}) {
        GatewayState state(stateSettings());
        RoutingConfiguration first = configuration(1);
        first.routes.front().targetLatency = 600ms;
        if (hasCustomers) {
            first.customers.push_back({CustomerId("customer"), {"key"}});
        }
        state.setConfiguration(std::move(first));
        HostRegistration self;
        self.id = HostId("self");
        self.zone = ZoneId("gulf-a");
        self.region = RegionId("gulf");
        state.directory().setSelf(self, HostPhase::Serving);
        state.upstreamStarted(registration("near", "gulf-a"), s_start);
        state.upstreamStarted(registration("far", "hill-a"), s_start);
        const Route &route = state.routes()->configuration().routes.front();
        RequestPlacement request{&route, ServiceId("service"), 0, s_start, s_start + 4s};
        const auto all = state.usableUpstreams(ServiceId("service"), route, {}, s_start);
        const auto upstreamsOf = [&all](const char *zone) {
            std::vector<std::shared_ptr<Upstream>> result;
            std::copy_if(
                all.begin(), all.end(), std::back_inserter(result), [zone](const auto &upstream) { return upstream->model.identity().zone == ZoneId(zone); });
            return result;
        };
        int accepted = 0;
        for (const char *zone : {"gulf-a", "hill-a"}) {
            const auto usable = upstreamsOf(zone);
            cr_assert_eq(usable.size(), 1);
            for (int i = 0; i < 12; ++i) {
                const PlacementResult result = state.place(request, usable, s_start);
                if (const auto *placed = std::get_if<Placed>(&result)) {
                    state.recordStart(request, *usable.front(), *placed, s_start);
                    accepted += std::string(zone) == "gulf-a" ? 1 : 0;
                }
            }
            const bool isOwn = std::string(zone) == "gulf-a";
            cr_assert_eq(state.meanLoad(ServiceId("service"), usable, s_start) > 0, hasCustomers && isOwn, "%s, %d", zone, hasCustomers);
        }
        cr_assert(hasCustomers ? accepted >= 2 && accepted <= 6 : accepted == 12, "%d of 12 requests for 4 slots", accepted);
    }
}

// Guards against load that is parsed from a malformed header, and against reports with a work time that are dropped.
ParameterizedTestParameters(GatewayHeaders, loadReports)
{
    static LoadCase cases[] = {{"3,0,8", 3, 0, 0},
        {" 3 , 2 , 8 ", 3, 2, 0},
        {"3,0,8,100", 3, 0, 1},
        {" 3 , 2 , 8 , 250 ", 3, 2, 2.5},
        {"3,0,8,87.5", 3, 0, 0.875},
        {"3,0", -1, 0, 0},
        {"", -1, 0, 0},
        {"a,b,c", -1, 0, 0},
        {"-1,0,8", -1, 0, 0},
        {"3,0,8,0", -1, 0, 0},
        {"3,0,8,-9", -1, 0, 0},
        {"3,0,8,nan", -1, 0, 0},
        {"3,0,8,inf", -1, 0, 0},
        {"3,0,8,", 3, 0, 0},
        {"3,0,8,9x", -1, 0, 0},
        {"3,0,8,100,1", -1, 0, 0},
        {"99999999999,0,8", -1, 0, 0}};
    return cr_make_param_array(LoadCase, cases, std::size(cases));
}

ParameterizedTest(LoadCase *testCase, GatewayHeaders, loadReports)
{
    const auto report = parseLoadReport(testCase->text);
    cr_assert_eq(report.has_value(), testCase->running >= 0, "%s", testCase->text);
    if (report) {
        cr_assert_eq(report->running, testCase->running);
        cr_assert_eq(report->waiting, testCase->waiting);
        cr_assert_float_eq(report->workFactor.value_or(0), testCase->workFactor, 1e-9, "%s", testCase->text);
    }
}

// Guards against hop-by-hop headers that are forwarded, including those that the Connection header names.
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

// Guards against a response that counts as "not run" although neither its status nor its header says so, and against a response
// that is accepted although it doesn't come from the upstream itself.
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

// Guards against a request that was sent but counts as not sent.
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
        {Kind::PoolExhausted, false, Execution::NotRun, AttemptOutcome::Cancelled},
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
Test(GatewayState, olderConfigurationIsIgnored)
{
    GatewayState state(stateSettings());
    cr_assert_not(state.routes());
    cr_assert(state.setConfiguration(configuration(5)));
    cr_assert_not(state.setConfiguration(configuration(4)));
    cr_assert_not(state.setConfiguration(configuration(5)));
    cr_assert(state.setConfiguration(configuration(9)));
    cr_assert_eq(state.routes()->configuration().version.value(), 9);
}

// Guards against requests to upstreams that are leaving or removed, that are in an evacuated zone, or whose region the route
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
    state.upstreamRemoved(UpstreamId("near"));
    cr_assert_eq(usable(state, route, s_start), 0);
}

// Guards against a burst of requests at cold upstreams: after their start, and after their zone is readmitted.
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
        taken += state.tryAcquireColdPermit(*upstreams.front(), s_start + i * 10ms) ? 1 : 0;
    }
    cr_assert(taken >= 1 && taken <= 3, "%d", taken);
    cr_assert(state.tryAcquireColdPermit(*upstreams.front(), s_start + 3s));
    cr_assert(state.tryAcquireColdPermit(*upstreams.front(), s_start + 3s));
    state.setEvacuated({ZoneId("gulf-a")}, s_start + 4s);
    state.setEvacuated({}, s_start + 5s);
    cr_assert(upstreams.front()->model.isCold(s_start + 7s));
    cr_assert_not(upstreams.front()->model.isCold(s_start + 9s));
}

namespace
{

constexpr double s_coldFactor = 1.5;
constexpr double s_coldSlack = 5;

std::vector<HostRegistration> hostRegistrations(const ColdCase &testCase)
{
    std::vector<HostRegistration> registrations;
    for (int i = 0; i < testCase.hostsInZone + testCase.hostsElsewhere; ++i) {
        const char *zone = i < testCase.hostsInZone ? "cold-a" : i % 2 == 0 ? "gulf-a" : "hill-a";
        registrations.push_back({HostId("host-" + std::to_string(i)), "a:1", "a:2", ZoneId(zone), RegionId("gulf"), 1});
    }
    return registrations;
}

/// One simulated host with its own gateway state.
class ColdHost
{
public:
    ColdHost(const ColdCase &testCase, const std::vector<HostRegistration> &registrations, const HostRegistration &self)
        : m_case(testCase)
        , m_registrations(registrations)
        , m_state(settings(self))
    {
        RoutingConfiguration routes = configuration(1);
        routes.services.front().coldRequestsPerSecond = testCase.coldRequestsPerSecond;
        m_route = routes.routes.front();
        m_state.setConfiguration(std::move(routes));
        m_state.directory().setSelf(self, HostPhase::Serving);
        m_state.directory().add(self, s_start);
        if (testCase.hasRows) {
            m_state.directory().setRegistered(registrations, s_start);
        }
    }

    /// Times of the requests that this host sends within three seconds, without those before it is notified that the upstream is cold.
    std::vector<BootTime> sentTimes()
    {
        std::vector<BootTime> times;
        apply(0ms, 0);
        for (auto passed = 0ms; passed < 3000ms; passed += 7ms) {
            const BootTime now = s_start + passed;
            if (m_case.receivesBeacons) {
                for (const HostRegistration &host : m_registrations) {
                    m_state.directory().recordBeacon(host.id, HostPhase::Serving, true, now);
                }
            }
            if (m_case.moveInterval > 0ms && passed % m_case.moveInterval < 7ms) {
                apply(passed, ++m_moves);
            } else if (m_case.notifiedAfter > 0ms && passed / 7ms == m_case.notifiedAfter / 7ms) {
                m_state.upstreamUpdated(row(passed, 0), now);
            }
            send(now, passed >= m_case.notifiedAfter, times);
            choose(passed);
        }
        return times;
    }

    static GatewayStateSettings settings(const HostRegistration &self)
    {
        GatewayStateSettings result = stateSettings();
        result.host = self.id;
        result.placement.zone = self.zone;
        result.regions.emplace(ZoneId("cold-a"), RegionId("gulf"));
        result.coldFactor = s_coldFactor;
        result.coldSlack = s_coldSlack;
        return result;
    }

private:
    struct Connecting
    {
        std::shared_ptr<Upstream> upstream;
        BootTime readyAt;
    };

    UpstreamRegistration row(std::chrono::milliseconds passed, int moves) const
    {
        UpstreamRegistration result = registration("upstream", "cold-a");
        result.slots = SlotCount(4 + moves % 2);
        result.coldRemaining = passed < m_case.notifiedAfter ? 0ms : 10000ms;
        return result;
    }

    void apply(std::chrono::milliseconds passed, int moves)
    {
        if (m_case.isRemovedBetween) {
            m_state.upstreamRemoved(UpstreamId("upstream"));
        }
        m_state.upstreamStarted(row(passed, moves), s_start + passed);
    }

    void choose(std::chrono::milliseconds passed)
    {
        const BootTime now = s_start + passed;
        for (const auto &upstream : m_state.usableUpstreams(ServiceId("service"), m_route, {}, now)) {
            if (m_state.tryAcquireColdPermit(*upstream, now)) {
                constexpr auto half = 1000ms;
                const auto phase = passed % (2 * half);
                const double part = static_cast<double>(std::min(phase, 2 * half - phase).count()) / half.count();
                m_connecting.push_back({upstream, now + std::chrono::duration_cast<BootClock::duration>(m_case.maximumConnectTime * part)});
            }
        }
    }

    void send(BootTime now, bool isCounted, std::vector<BootTime> &times)
    {
        std::deque<Connecting> waiting;
        for (Connecting &request : m_connecting) {
            if (request.readyAt > now) {
                waiting.push_back(std::move(request));
                continue;
            }
            if (m_state.tryRecordSend(*request.upstream, now) && isCounted) {
                times.push_back(now);
            }
        }
        m_connecting = std::move(waiting);
    }

    const ColdCase &m_case;
    const std::vector<HostRegistration> &m_registrations;
    GatewayState m_state;
    Route m_route;
    std::deque<Connecting> m_connecting;
    int m_moves = 0;
};

} // namespace

// Load pattern: all hosts have requests for a cold upstream. Guards against more requests in one second than it tolerates while
// hosts differ in which hosts they see as live, while connections are slow, and while its row changes.
ParameterizedTestParameters(GatewayState, allHostsTogetherStayBelowTheColdLimit)
{
    static ColdCase cases[] = {
        {"two hosts of the zone", 3.2, 0ms, 0ms, 0ms, 2, 10, 10, true, true, false},
        {"two hosts of the zone, higher rate", 7.8, 0ms, 0ms, 0ms, 2, 10, 22, true, true, false},
        {"three hosts without each other's beacons", 7.8, 0ms, 0ms, 0ms, 3, 9, 22, false, true, false},
        {"four hosts without each other's beacons", 3.2, 0ms, 0ms, 0ms, 4, 8, 10, false, true, false},
        {"four hosts without each other's beacons, higher rate", 7.8, 0ms, 0ms, 0ms, 4, 8, 22, false, true, false},
        {"zone without hosts", 3.2, 0ms, 0ms, 0ms, 0, 12, 10, true, true, false},
        {"zone without hosts, no beacons", 3.2, 0ms, 0ms, 0ms, 0, 12, 10, false, true, false},
        {"zone without hosts, rows not read", 3.2, 0ms, 0ms, 0ms, 0, 12, 0, false, false, false},
        {"slow connections", 3.2, 500ms, 0ms, 0ms, 2, 10, 8, true, true, false},
        {"slow connections, four hosts without beacons", 3.2, 500ms, 0ms, 0ms, 4, 8, 8, false, true, false},
        {"changed row", 3.2, 0ms, 210ms, 0ms, 2, 10, 10, true, true, false},
        {"row that is removed and written again", 3.2, 0ms, 210ms, 0ms, 2, 10, 10, true, true, true},
        {"notified while requests connect", 3.2, 500ms, 0ms, 700ms, 2, 10, 4, true, true, false},
    };
    return cr_make_param_array(ColdCase, cases, std::size(cases));
}

ParameterizedTest(ColdCase *testCase, GatewayState, allHostsTogetherStayBelowTheColdLimit)
{
    const std::vector<HostRegistration> registrations = hostRegistrations(*testCase);
    std::vector<BootTime> sent;
    for (const HostRegistration &self : registrations) {
        const auto times = ColdHost(*testCase, registrations, self).sentTimes();
        sent.insert(sent.end(), times.begin(), times.end());
    }
    std::sort(sent.begin(), sent.end());
    std::ptrdiff_t maximum = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        maximum = std::max(maximum, std::lower_bound(first, sent.end(), *first + 1s) - first);
    }
    const double limit = testCase->coldRequestsPerSecond * s_coldFactor + s_coldSlack;
    cr_assert(static_cast<double>(maximum) <= limit, "%s: %td in one second, limit %.1f", testCase->name, maximum, limit);
    cr_assert_geq(static_cast<int>(sent.size()), testCase->minimumSent, "%s: %zu sent", testCase->name, sent.size());
}

namespace
{

/// Maximum number of requests that all hosts together send in one second, from the time at which an upstream with warm traffic turns
/// cold. Hosts are notified one after the other, the last one after maximumDelay.
std::ptrdiff_t maximumRateAfterTurningCold(double warmPerSecond, std::chrono::milliseconds maximumDelay, std::uint64_t seed)
{
    constexpr int hosts = 12;
    constexpr auto step = 5ms;
    const ColdCase testCase{"", 7.8, 0ms, 0ms, maximumDelay, 2, hosts - 2, 0, true, true, false};
    const std::vector<HostRegistration> registrations = hostRegistrations(testCase);
    pcg64 random(seed);
    std::bernoulli_distribution hasWork(warmPerSecond / hosts * std::chrono::duration<double>(step).count());
    std::vector<BootTime> sent;
    for (int i = 0; i < hosts; ++i) {
        GatewayState state(ColdHost::settings(registrations[static_cast<std::size_t>(i)]));
        RoutingConfiguration routes = configuration(1);
        routes.services.front().coldRequestsPerSecond = testCase.coldRequestsPerSecond;
        const Route route = routes.routes.front();
        state.setConfiguration(std::move(routes));
        state.directory().setSelf(registrations[static_cast<std::size_t>(i)], HostPhase::Serving);
        state.directory().setRegistered(registrations, s_start);
        UpstreamRegistration row = registration("upstream", "cold-a");
        state.upstreamStarted(row, s_start - 10s);
        row.coldRemaining = 3000ms;
        const auto notifiedAt = maximumDelay * i / (hosts - 1);
        bool isNotified = false;
        for (auto passed = 0ms; passed < 3000ms; passed += step) {
            const BootTime now = s_start + passed;
            if (!isNotified && passed >= notifiedAt) {
                state.upstreamUpdated(row, now);
                isNotified = true;
            }
            for (const HostRegistration &host : registrations) {
                state.directory().recordBeacon(host.id, HostPhase::Serving, true, now);
            }
            // Once notified, a host always has requests, so that only the rate limit restricts the warm-up hosts.
            if (!isNotified && !hasWork(random)) {
                continue;
            }
            for (const auto &upstream : state.usableUpstreams(ServiceId("service"), route, {}, now)) {
                if (state.tryAcquireColdPermit(*upstream, now) && state.tryRecordSend(*upstream, now)) {
                    sent.push_back(now);
                }
            }
        }
    }
    std::sort(sent.begin(), sent.end());
    std::ptrdiff_t maximum = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        maximum = std::max(maximum, std::lower_bound(first, sent.end(), *first + 1s) - first);
    }
    return maximum;
}

} // namespace

// Load pattern: an upstream with normal traffic turns cold, and hosts are notified within 0.8 s. Guards against early paced requests
// that, added to those of hosts that aren't notified yet, exceed what the upstream tolerates.
Test(GatewayState, pacingWaitsForHostsThatAreNotifiedLater)
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const auto maximum = maximumRateAfterTurningCold(15.3, 800ms, seed);
        cr_assert(static_cast<double>(maximum) <= 7.8 * s_coldFactor + s_coldSlack, "seed %lu: %td", static_cast<unsigned long>(seed), maximum);
    }
}

// Guards against an upstream that counts as warm because its row changed, or was removed and written again, after its zone was
// readmitted.
Test(GatewayState, coldUpstreamsStayColdWhenTheirRowsChange)
{
    GatewayState state(stateSettings());
    state.setConfiguration(configuration(1));
    state.upstreamStarted(registration("near", "gulf-a"), s_start);
    state.setEvacuated({ZoneId("gulf-a")}, s_start);
    state.setEvacuated({}, s_start + 1s);
    UpstreamRegistration changed = registration("near", "gulf-a");
    changed.slots = SlotCount(5);
    state.upstreamUpdated(changed, s_start + 2s);
    const auto &upstreams = state.serviceState(ServiceId("service")).upstreams;
    cr_assert(upstreams.front()->model.isCold(s_start + 3s));
    state.upstreamRemoved(UpstreamId("near"));
    state.upstreamStarted(changed, s_start + 3s);
    cr_assert(upstreams.front()->model.isCold(s_start + 3s));
    cr_assert_not(upstreams.front()->model.isCold(s_start + 5s));
}

// Guards against hosts of several zones that warm up one upstream at once: only hosts of its own zone may do so, as long as the
// zone has hosts.
Test(GatewayState, onlyHostsOfTheZoneWarmUp)
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

// Guards against all hosts together opening more connections than an upstream accepts: it resets the excess ones.
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
    const auto &upstream = *state.serviceState(ServiceId("service")).upstreams.front();
    const HostRegistration self{HostId("self"), "a:1", "a:2", ZoneId("gulf-a"), RegionId("gulf"), 1};
    state.directory().setSelf(self, HostPhase::Serving);
    cr_assert_eq(state.connectionLimit(upstream)->granted().value(), 10);
    for (int i = 0; i < 2; ++i) {
        HostRegistration other = self;
        other.id = HostId("other-" + std::to_string(i));
        state.directory().add(other, s_start);
    }
    cr_assert_eq(state.connectionLimit(upstream)->granted().value(), 3);
    registration.id = UpstreamId("v");
    registration.service = ServiceId("unlimited");
    state.upstreamStarted(registration, s_start);
    cr_assert_null(state.connectionLimit(*state.serviceState(ServiceId("unlimited")).upstreams.front()).get());
}
