#include "gatewayfixture.h"

#include <LibCore/sleep.h>
#include <criterion/criterion.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;
using Fixture = GatewayFixture;
using namespace std::chrono_literals;

namespace
{

constexpr const char *s_deadline = "500";

} // namespace

// Guards against a request that a stopping host passes on although it ends before the response: its caller would get no answer, and could not repeat
// an order. The expected work of the routes is 250 to 600 ms.
Test(GatewayStop, requestsThatComeTooLateAreRejectedBeforeTheyRun)
{
    Fixture fixture(2);
    fixture.run([&](const asio::yield_context &yield) {
        fixture.gateway.stopAt(BootClock::now() + 300ms);
        for (const char *target : {"/read/1", "/write/1"}) {
            const HttpResponse response = fixture.send(target, yield, s_deadline);
            cr_assert_eq(response.status, 503, "%s: %d", target, response.status);
            cr_assert(response.body.find("host-stopping") != std::string::npos, "%s", response.body.c_str());
            const std::string wait(response.headers.value("Retry-After"));
            cr_assert(!wait.empty() && std::stod(wait) < 0.1, "%s: Retry-After %s", target, wait.c_str());
        }
    });
    cr_assert_eq(fixture.begun(), 0U);
}

// Guards against rejections by a host that stops, of requests whose callers get a response before its end in any case.
Test(GatewayStop, requestsWithAnEarlierDeadlineAreServed)
{
    Fixture fixture(2);
    fixture.run([&](const asio::yield_context &yield) {
        fixture.gateway.stopAt(BootClock::now() + 700ms);
        cr_assert_eq(fixture.send("/read/1", yield, s_deadline).status, 200);
        cr_assert_eq(fixture.send("/write/1", yield, s_deadline).status, 200);
    });
    cr_assert_eq(fixture.begun(), 2U);
}

// Guards against a request that is sent although the host has learned of its end while it opened the connection.
Test(GatewayStop, theEndCountsWhileAConnectionIsOpened)
{
    Fixture fixture(2);
    fixture.run([&](const asio::yield_context &yield) {
        asio::spawn(fixture.context, [&](const asio::yield_context &) { fixture.gateway.stopAt(BootClock::now() + 300ms); });
        cr_assert_eq(fixture.send("/write/1", yield, s_deadline).status, 503);
    });
    cr_assert_eq(fixture.begun(), 0U);
}

// Guards against a second attempt that a stopping host can't complete: the first upstream cuts its response, another one must not begin.
Test(GatewayStop, secondAttemptsNeedTimeToo)
{
    Fixture fixture(2, 60ms);
    for (const auto &upstream : fixture.upstreams) {
        cr_assert(upstream->control({{"mode", "cut-body-middle"}, {"count", 0}}).has_value());
    }
    fixture.run([&](const asio::yield_context &yield) {
        asio::spawn(fixture.context, [&](const asio::yield_context &own) {
            sleepFor(fixture.context, 30ms, own);
            fixture.gateway.stopAt(BootClock::now() + 400ms);
        });
        cr_assert_eq(fixture.send("/read/1", yield, "600").status, 502);
    });
    cr_assert_eq(fixture.begun(), 1U);
}

// Guards against requests in flight at the end of a host whose connections end without a response, and against "not run" for those that may have run.
Test(GatewayStop, requestsInFlightGetAResponseAtTheEnd)
{
    Fixture fixture(1, 400ms);
    fixture.run([&](const asio::yield_context &yield) {
        asio::spawn(fixture.context, [&](const asio::yield_context &own) {
            sleepFor(fixture.context, 100ms, own);
            cr_assert_eq(fixture.gateway.inFlight(), 1);
            fixture.gateway.stopAt(BootClock::now());
            fixture.gateway.endRequests();
        });
        const BootTime start = BootClock::now();
        const HttpResponse response = fixture.send("/write/1", yield, s_deadline);
        cr_assert_eq(response.status, 504, "%d", response.status);
        cr_assert(BootClock::now() - start < 300ms);
        cr_assert_eq(fixture.gateway.inFlight(), 0);
    });
    cr_assert_eq(fixture.begun(), 1U);
}

// Guards against a host that crashes as it exits with requests in flight: their coroutines end with the context, after the gateway.
Test(GatewayStop, gatewayEndsBeforeItsRequests)
{
    Fixture fixture(2, 400ms);
    fixture.run([&](const asio::yield_context &yield) {
        for (int i = 0; i < 3; ++i) {
            asio::spawn(fixture.context, [&](const asio::yield_context &own) { fixture.send("/write/1", own, s_deadline); });
        }
        sleepFor(fixture.context, 100ms, yield);
        cr_assert_eq(fixture.gateway.inFlight(), 3);
    });
}
