#include "gatewayfixture.h"
#include "scriptedupstream.h"
#include <StandIns/endlessupstream.h>

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;
using Fixture = GatewayFixture;
using namespace std::chrono_literals;

namespace
{

struct FaultCase
{
    /// Fault mode of all upstreams.
    char mode[24];
    char target[12];
    int status;
    /// Maximum number of times that the upstreams may begin the request.
    int maximumRuns;
};

} // namespace

// Guards against a non-idempotent request that runs twice, against "not run" for a request that may have run, and against a
// failure although another upstream could have served the request.
ParameterizedTestParameters(Gateway, upstreamsThatFailOnce)
{
    static FaultCase cases[] = {
        {"normal", "/read/1", 200, 1},
        {"normal", "/write/1", 200, 1},
        {"shed", "/read/1", 503, 0},
        {"shed", "/write/1", 503, 0},
        {"reset-after-read", "/read/1", 502, 2},
        {"reset-after-read", "/write/1", 502, 1},
        {"cut-body-middle", "/read/1", 502, 2},
        {"cut-body-middle", "/write/1", 502, 1},
        {"swap-answers", "/write/1", 504, 1},
        {"no-length", "/write/1", 200, 1},
        {"silent-after-read", "/write/1", 504, 1},
        {"fast-errors", "/write/1", 500, 1},
        {"fast-errors", "/read/1", 500, 2},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, Gateway, upstreamsThatFailOnce)
{
    Fixture fixture(2);
    for (const auto &upstream : fixture.upstreams) {
        cr_assert(upstream->control({{"mode", testCase->mode}, {"count", 0}}).has_value());
    }
    fixture.run([&](const asio::yield_context &yield) {
        const HttpResponse response = fixture.send(testCase->target, yield);
        cr_assert_eq(response.status, testCase->status, "%s %s: %d", testCase->mode, testCase->target, response.status);
        cr_assert(fixture.begun() <= static_cast<std::uint64_t>(testCase->maximumRuns), "%s %s", testCase->mode, testCase->target);
        cr_assert_eq(response.headers.find("Retry-After") != nullptr, testCase->status == 503);
        cr_assert_eq(fixture.gateway.inFlight(), 0);
    });
}

// Guards against an idempotent request that fails although a second upstream is sound, and against a non-idempotent request that
// is sent to a second upstream although the first one may have run it.
Test(Gateway, secondUpstreamServesIdempotentRequests)
{
    for (const char *target : {"/read/1", "/write/1"}) {
        const bool mayRepeat = std::string(target) == "/read/1";
        Fixture fixture(2);
        fixture.run([&](const asio::yield_context &yield) {
            int served = 0;
            for (int i = 0; i < 40; ++i) {
                fixture.upstreams[0]->control({{"mode", "reset-after-read"}, {"count", 1}}).value();
                served += fixture.send(target, yield).status == 200 ? 1 : 0;
            }
            cr_assert(!mayRepeat || served >= 38, "%d", served);
            cr_assert(fixture.begun() >= 40);
            cr_assert(mayRepeat || fixture.begun() == 40, "%lu", static_cast<unsigned long>(fixture.begun()));
        });
    }
}

// Guards against requests that fail because one upstream is unreachable while others are sound.
Test(Gateway, unreachableUpstreamIsSkipped)
{
    Fixture fixture(2);
    UpstreamRegistration unreachable;
    unreachable.id = UpstreamId("dead");
    unreachable.service = ServiceId("service");
    unreachable.address = "127.0.0.1:1";
    unreachable.zone = ZoneId("zone");
    unreachable.slots = SlotCount(4);
    fixture.state.upstreamStarted(unreachable, BootClock::now());
    fixture.run([&](const asio::yield_context &yield) {
        for (int i = 0; i < 20; ++i) {
            cr_assert_eq(fixture.send("/write/1", yield).status, 200);
        }
    });
    cr_assert_eq(fixture.begun(), 20);
}

// Guards against work that continues at the upstream after its caller has disconnected: the gateway must close the connection.
Test(Gateway, callerDisconnectCancelsTheUpstreamCall)
{
    Fixture fixture(0);
    bool sawEnd = false;
    HttpServerSettings serverSettings;
    serverSettings.address = "127.0.0.1:0";
    const auto upstream = HttpServer::create(fixture.context, serverSettings, [&](HttpRequest &, CallerConnection &caller, const asio::yield_context &yield) {
        asio::steady_timer work(fixture.context, 300ms);
        caller.cancellation().setHook([&work, &sawEnd] {
            sawEnd = true;
            work.cancel();
        });
        boost::system::error_code ignored;
        work.async_wait(yield[ignored]);
        caller.cancellation().setHook({});
        return HttpResponse{};
    });
    UpstreamRegistration registration;
    registration.id = UpstreamId("u");
    registration.service = ServiceId("service");
    registration.address = upstream.value()->address();
    registration.zone = ZoneId("zone");
    registration.slots = SlotCount(4);
    fixture.state.upstreamStarted(registration, BootClock::now());
    fixture.run([&](const asio::yield_context &yield) {
        asio::steady_timer timer(fixture.context, 50ms);
        timer.async_wait([&fixture](const boost::system::error_code &) { fixture.caller.cancellation().request(); });
        const BootTime start = BootClock::now();
        fixture.send("/read/1", yield);
        cr_assert(BootClock::now() - start < 200ms);
        asio::steady_timer settle(fixture.context, 50ms);
        settle.async_wait(yield);
        cr_assert(sawEnd);
    });
}

// Guards against 404 from a host that has no configuration yet, and against another status for a path without a route.
Test(Gateway, requestsWithoutRouteOrConfiguration)
{
    Fixture fixture(1);
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/elsewhere/1", yield).status, 404);
        GatewayState empty(Fixture::settings());
        Gateway gateway(fixture.context, {}, empty, fixture.metrics);
        HttpRequest request{"GET", "/read/1", {}, {}};
        request.headers.add("Host", "a.example");
        const HttpResponse response = gateway.handle(request, fixture.caller, yield);
        cr_assert_eq(response.status, 503);
        cr_assert(response.headers.find("Retry-After"));
    });
}

struct ExhaustedCase
{
    std::size_t limit;
    int served;
    char target[12];
};

// Guards against a request that is reported as not run although it was sent, or that is tried at further upstreams, while all connections that the host may have to upstreams are in use.
ParameterizedTestParameters(Gateway, requestsBeyondTheConnectionLimitAreRejected)
{
    static ExhaustedCase cases[] = {
        {1, 1, "/read/1"},
        {1, 1, "/write/1"},
        {2, 2, "/read/1"},
        {0, 4, "/read/1"},
    };
    return cr_make_param_array(ExhaustedCase, cases, std::size(cases));
}

ParameterizedTest(ExhaustedCase *testCase, Gateway, requestsBeyondTheConnectionLimitAreRejected)
{
    GatewaySettings settings;
    settings.upstreamConnectionLimit = testCase->limit;
    Fixture fixture(4, 100000us, settings);
    constexpr int requests = 4;
    fixture.run([&](const asio::yield_context &yield) {
        int ended = 0;
        int served = 0;
        std::vector<std::unique_ptr<GatewayTests::TestCaller>> callers;
        for (int i = 0; i < requests; ++i) {
            auto *caller = callers.emplace_back(std::make_unique<GatewayTests::TestCaller>()).get();
            asio::spawn(fixture.context, [&, caller, i](const asio::yield_context &inner) {
                HttpRequest request{"POST", testCase->target, {}, "two casts"};
                request.headers.add("Host", "a.example");
                request.headers.add("Trefoil-Request-Id", "id-" + std::to_string(i));
                request.headers.add("Trefoil-Deadline-Ms", "500");
                const HttpResponse response = fixture.gateway.handle(request, *caller, inner);
                ++ended;
                served += response.status == 200 ? 1 : 0;
                cr_expect(response.status == 200 || response.status == 503, "%d", response.status);
                cr_expect(response.status == 200 || response.headers.find("Retry-After"));
            });
        }
        asio::steady_timer timer(fixture.context, 600ms);
        timer.async_wait(yield);
        cr_expect_eq(ended, requests);
        cr_expect_eq(served, testCase->served, "%d", served);
        cr_expect_eq(fixture.begun(), static_cast<std::uint64_t>(testCase->served));
        cr_expect_eq(fixture.gateway.connectionUse().rejectedCalls, static_cast<std::uint64_t>(requests - testCase->served));
        cr_expect_eq(fixture.send(testCase->target, yield).status, 200, "the host serves again");
    });
}

// Guards against a late response that is delivered to the next caller, and against one that makes the next request fail.
Test(Gateway, lateResponseIsSkipped)
{
    Fixture fixture(1);
    fixture.run([&](const asio::yield_context &yield) {
        fixture.upstreams[0]->control({{"mode", "extra-bytes"}, {"count", 0}}).value();
        for (int i = 0; i < 10; ++i) {
            const HttpResponse response = fixture.send("/write/1", yield);
            cr_assert_eq(response.status, 200);
            cr_assert_eq(response.headers.value("Trefoil-Request-Id"), "id-" + std::to_string(fixture.sent));
        }
    });
}

namespace
{

/// A configuration that comes into force while the first upstream works on a request, and the second attempt that it permits.
struct NewerConfigurationCase
{
    char name[56];
    /// Allowed region of the route in the first and in the newer configuration; empty allows all.
    char firstRegion[8];
    char newerRegion[8];
    char newerService[10];
    bool hasRoute;
    bool isIdempotent;
    int newerAttempts;
    /// The upstream that the second attempt must reach; empty when there must be none.
    char second[10];
};

} // namespace

// Guards against a second attempt to an upstream that only the configuration at the request's arrival allows, and against a missing
// second attempt although both configurations allow it.
ParameterizedTestParameters(Gateway, newerConfigurationBindsASecondAttempt)
{
    static NewerConfigurationCase cases[] = {
        {"the same regions", "", "", "service", true, true, 2, "far"},
        {"another region is required", "", "region", "service", true, true, 2, ""},
        {"the region of the upstreams is required", "", "far", "service", true, true, 2, "far"},
        {"regions without one in common", "region", "far", "service", true, true, 2, ""},
        {"more regions than at the arrival", "region", "", "service", true, true, 2, ""},
        {"another service", "", "", "other", true, true, 2, "other"},
        {"another service without upstreams", "", "", "none", true, true, 2, ""},
        {"the route is removed", "", "", "service", false, true, 2, ""},
        {"the request may run once only", "", "", "service", true, false, 2, ""},
        {"one attempt only", "", "", "service", true, true, 1, ""},
    };
    return cr_make_param_array(NewerConfigurationCase, cases, std::size(cases));
}

ParameterizedTest(NewerConfigurationCase *testCase, Gateway, newerConfigurationBindsASecondAttempt)
{
    const auto configuration = [testCase](int version, const char *region) {
        RoutingConfiguration result = Fixture::configuration();
        result.version = ConfigurationVersion(static_cast<std::uint64_t>(version));
        if (*region != '\0') {
            result.routes[0].allowedRegions = {RegionId(region)};
        }
        return result;
    };
    RoutingConfiguration newer = configuration(3, testCase->newerRegion);
    newer.routes[0].services = {{ServiceId(testCase->newerService), 1}};
    newer.routes[0].kind = testCase->isIdempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    newer.routes[0].maximumAttempts = testCase->newerAttempts;
    if (!testCase->hasRoute) {
        newer.routes.erase(newer.routes.begin());
    }

    Fixture fixture(0);
    fixture.state.setConfiguration(configuration(2, testCase->firstRegion));
    std::vector<std::string> reached;
    std::vector<std::unique_ptr<HttpServer>> upstreams;
    const auto addUpstream = [&](const std::string &id, const std::string &service, const std::string &zone, int status) {
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        upstreams.push_back(
            std::move(HttpServer::create(fixture.context, settings, [&, id, status](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
                reached.push_back(id);
                fixture.state.setConfiguration(newer);
                HttpResponse response;
                response.status = status;
                response.headers.add("Trefoil-Request-Id", std::string(request.headers.value("Trefoil-Request-Id")));
                return response;
            }).value()));
        UpstreamRegistration registration;
        registration.id = UpstreamId(id);
        registration.service = ServiceId(service);
        registration.address = upstreams.back()->address();
        registration.zone = ZoneId(zone);
        registration.slots = SlotCount(4);
        fixture.state.upstreamStarted(registration, BootClock::now());
    };
    addUpstream("near", "service", "zone", 500);
    addUpstream("far", "service", "far zone", 200);
    addUpstream("other", "other", "zone", 200);
    std::vector<std::string> expected{"near"};
    if (*testCase->second != '\0') {
        expected.emplace_back(testCase->second);
    }
    fixture.run([&](const asio::yield_context &yield) {
        const int status = fixture.send("/read/1", yield).status;
        cr_assert(
            reached == expected, "%s: %zu attempts, the last one at %s", testCase->name, reached.size(), reached.empty() ? "none" : reached.back().c_str());
        cr_assert_eq(status == 200, expected.size() == 2, "%s: %d", testCase->name, status);
    });
}

namespace
{

enum class LateChange {
    None,
    Regions,
    Service,
    RouteRemoved,
    Evacuation,
};

/// A change that comes into force while the connection to the only upstream is opened.
struct LateChangeCase
{
    char name[40];
    LateChange change;
    int status;
};

} // namespace

// Guards against a request that is sent to its chosen upstream although a change that forbids it has come into force since.
ParameterizedTestParameters(Gateway, changeWhileConnecting)
{
    static LateChangeCase cases[] = {
        {"the same routes", LateChange::None, 200},
        {"other regions", LateChange::Regions, 503},
        {"another service", LateChange::Service, 503},
        {"the route is removed", LateChange::RouteRemoved, 503},
        {"the zone is evacuated", LateChange::Evacuation, 503},
    };
    return cr_make_param_array(LateChangeCase, cases, std::size(cases));
}

ParameterizedTest(LateChangeCase *testCase, Gateway, changeWhileConnecting)
{
    Fixture fixture(1);
    RoutingConfiguration newer = Fixture::configuration();
    newer.version = ConfigurationVersion(2);
    Route &write = newer.routes[1];
    if (testCase->change == LateChange::Regions) {
        write.allowedRegions = {RegionId("far")};
    } else if (testCase->change == LateChange::Service) {
        write.services = {{ServiceId("other"), 1}};
    } else if (testCase->change == LateChange::RouteRemoved) {
        newer.routes.pop_back();
    }
    fixture.run([&](const asio::yield_context &yield) {
        // Runs while the gateway waits for its connection to be established.
        asio::post(fixture.context, [&] {
            fixture.state.setConfiguration(newer);
            if (testCase->change == LateChange::Evacuation) {
                fixture.state.setEvacuated({ZoneId("zone")}, BootClock::now());
            }
        });
        const HttpResponse response = fixture.send("/write/1", yield);
        cr_assert_eq(response.status, testCase->status, "%s: %d", testCase->name, response.status);
        cr_assert_eq(fixture.begun(), testCase->status == 200 ? 1U : 0U, "%s", testCase->name);
        cr_assert_eq(response.headers.find("Retry-After") != nullptr, testCase->status == 503, "%s", testCase->name);
    });
}

namespace
{

struct EndlessCase
{
    char shape[24];
};

/// Sufficient to receive a body of the maximum size on a busy machine.
constexpr const char *s_longDeadline = "5000";

/// A response of the maximum size with its overhead, and the socket buffers of both sides.
constexpr std::uint64_t s_maximumBytes = std::uint64_t{18} * 1024 * 1024;

RoutingConfiguration longTimeoutConfiguration()
{
    RoutingConfiguration configuration = Fixture::configuration();
    configuration.version = ConfigurationVersion(2);
    for (Route &route : configuration.routes) {
        route.timeout = 5000ms;
    }
    return configuration;
}

void addUpstream(Fixture &fixture, const std::string &id, const std::string &address)
{
    UpstreamRegistration registration;
    registration.id = UpstreamId(id);
    registration.service = ServiceId("service");
    registration.address = address;
    registration.zone = ZoneId("zone");
    registration.slots = SlotCount(4);
    fixture.state.upstreamStarted(registration, BootClock::now());
}

/// Adds an upstream that responds to each request with endless bytes; the responses among them carry the id of the first request.
std::unique_ptr<EndlessUpstream> addEndlessUpstream(Fixture &fixture, const std::string &shape)
{
    auto upstream = std::move(EndlessUpstream::create(fixture.context, endlessScript(shape, "id-1")).value());
    addUpstream(fixture, "endless", upstream->address());
    return upstream;
}

} // namespace

// Guards against endless bytes that count as a response, that leave an idempotent request no time for a sound upstream, that make a
// request run twice or be reported as not run, and that don't affect the upstream's health.
ParameterizedTestParameters(Gateway, endlessResponses)
{
    static EndlessCase cases[] = {
        {"no-response"},
        {"header-field"},
        {"header-fields"},
        {"huge-length"},
        {"no-length"},
        {"chunks"},
        {"tiny-chunks"},
        {"chunk-extension"},
        {"chunk-extensions"},
        {"trailer-fields"},
        {"interim"},
        {"interim-fields"},
        {"foreign"},
        {"foreign-large"},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *testCase, Gateway, endlessResponses)
{
    for (const char *target : {"/read/1", "/write/1"}) {
        Fixture fixture(0);
        const auto endless = addEndlessUpstream(fixture, testCase->shape);
        const RoutingConfiguration configuration = longTimeoutConfiguration();
        fixture.state.setConfiguration(configuration);
        const auto usable = fixture.state.usableUpstreams(ServiceId("service"), configuration.routes.front(), {}, BootClock::now());
        cr_assert_eq(usable.size(), 1);
        fixture.run([&](const asio::yield_context &yield) {
            const BootTime start = BootClock::now();
            const HttpResponse response = fixture.send(target, yield, s_longDeadline);
            const BootTime end = BootClock::now();
            cr_log_info("%s %s: %d after %ld ms",
                testCase->shape,
                target,
                response.status,
                static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(end - start).count()));
            cr_expect_eq(response.status, 502, "%s %s: %d", testCase->shape, target, response.status);
            cr_expect_eq(endless->connections(), 1, "%s %s", testCase->shape, target);
            cr_expect(end - start < 2000ms, "%s %s", testCase->shape, target);
            cr_expect(endless->bytesSent() <= s_maximumBytes, "%s %s: %lu", testCase->shape, target, static_cast<unsigned long>(endless->bytesSent()));
            cr_expect(usable.front()->model.failureRate(end) > 0, "%s %s", testCase->shape, target);
            cr_expect_eq(fixture.gateway.inFlight(), 0);
        });
    }
}

// Guards against an idempotent request that fails because an upstream with an endless response has used up its time.
ParameterizedTestParameters(Gateway, soundUpstreamServesAfterEndlessOne)
{
    static EndlessCase cases[] = {{"huge-length"}, {"no-length"}, {"tiny-chunks"}, {"chunk-extensions"}, {"interim"}, {"foreign"}};
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *testCase, Gateway, soundUpstreamServesAfterEndlessOne)
{
    Fixture fixture(0);
    fixture.state.setConfiguration(longTimeoutConfiguration());
    const auto sound = std::move(UpstreamStandIn::create(fixture.context, {}).value());
    addUpstream(fixture, "sound", sound->address());
    fixture.run([&](const asio::yield_context &yield) {
        // These requests train the gateway's work estimate, which would otherwise exceed the time left.
        for (int i = 0; i < 20; ++i) {
            cr_assert_eq(fixture.send("/read/1", yield).status, 200);
        }
        fixture.state.upstreamRemoved(UpstreamId("sound"));
        const auto endless = addEndlessUpstream(fixture, testCase->shape);
        int status = 0;
        asio::spawn(fixture.context, [&](const asio::yield_context &inner) { status = fixture.send("/read/1", inner, s_longDeadline).status; });
        // The request is already being sent to the only upstream when the sound one starts.
        asio::post(fixture.context, yield);
        addUpstream(fixture, "sound-again", sound->address());
        const BootTime start = BootClock::now();
        asio::steady_timer timer(fixture.context);
        while (status == 0) {
            timer.expires_after(1ms);
            timer.async_wait(yield);
        }
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start);
        cr_log_info("%s, then a sound upstream: %d after %ld ms", testCase->shape, status, static_cast<long>(elapsed.count()));
        cr_expect_eq(endless->connections(), 1, "%s", testCase->shape);
        cr_expect(endless->bytesSent() <= s_maximumBytes, "%s", testCase->shape);
        cr_expect_eq(status, 200, "%s: %d", testCase->shape, status);
    });
}

// Guards against a request with HEAD that waits for a body until its deadline although the upstream has answered.
Test(Gateway, headIsAnsweredAtOnce)
{
    GatewayFixture fixture(0);
    const ScriptedUpstream upstream(fixture, "u", [](tcp::socket &socket, const std::string &id, const asio::yield_context &yield) {
        ScriptedUpstream::write(socket, "HTTP/1.1 200 OK\r\nTrefoil-Request-Id: " + id + "\r\nContent-Length: 9\r\n\r\n", yield);
        return true;
    });
    fixture.run([&](const asio::yield_context &yield) {
        HttpRequest request{"HEAD", "/read/a", {}, "two casts"};
        request.headers.add("Host", "a.example");
        request.headers.add("Trefoil-Request-Id", "id-1");
        const BootTime start = BootClock::now();
        const HttpResponse response = fixture.gateway.handle(request, fixture.caller, yield);
        cr_assert_eq(response.status, 200);
        cr_assert_eq(response.body, "");
        cr_assert_lt((BootClock::now() - start).count(), std::chrono::nanoseconds(300ms).count());
    });
}

// Guards against an upstream that gets more time than the caller waits, since the body of the request took a part of it: the upstream works for a caller
// that has left.
Test(Gateway, timeOfTheUploadCountsAgainstTheDeadline)
{
    Fixture fixture(1, 50ms);
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(fixture.send("/write/1", yield).status, 200);
        fixture.caller.uploadTime = 480ms;
        const HttpResponse response = fixture.send("/write/2", yield);
        cr_assert_eq(response.status, 503, "%d", response.status);
    });
    cr_assert_eq(fixture.begun(), 1U);
}
