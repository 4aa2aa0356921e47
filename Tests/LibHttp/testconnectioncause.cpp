#include "coroutine.h"
#include <LibHttp/connectionpool.h>
#include <StandIns/upstream.h>

#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

struct CauseCase
{
    char name[64];
    /// Faults of the upstream in the first call.
    char mode[24];
    /// Pause between the two calls.
    std::chrono::milliseconds pause;
    /// Longest idle time that the second call accepts, and after which the pool closes connections.
    std::chrono::milliseconds maximumIdle;
    std::chrono::seconds idleTimeout;
    /// Cause of the second call's connection; empty when it uses the first one again.
    char expected[24];
};

} // namespace

// Guards against causes of new connections that point operators to the wrong remedy: another idle time, another limit, or a look at the upstream.
ParameterizedTestParameters(ConnectionCause, secondCallTellsWhatBecameOfTheFirstConnection)
{
    static CauseCase cases[] = {
        {"used again", "normal", 0ms, 1h, 60s, ""},
        {"too long idle for the request", "normal", 30ms, 10ms, 60s, "idle-unsuitable"},
        {"closed here after the idle time", "normal", 30ms, 1h, 0s, "idle-closed-here"},
        {"cut response", "cut-body-middle", 0ms, 1h, 60s, "failure"},
        {"reset", "reset-after-read", 0ms, 1h, 60s, "failure"},
    };
    return cr_make_param_array(CauseCase, cases, std::size(cases));
}

ParameterizedTest(CauseCase *testCase, ConnectionCause, secondCallTellsWhatBecameOfTheFirstConnection)
{
    asio::io_context context{1};
    const auto upstream = std::move(UpstreamStandIn::create(context, {}).value());
    ConnectionPoolSettings settings;
    settings.idleTimeout = testCase->idleTimeout;
    ConnectionPool pool(context, settings);
    cr_assert(upstream->control({{"mode", testCase->mode}, {"count", 1}}).has_value());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        const auto call = [&](const std::string &id, std::chrono::milliseconds maximumIdle) {
            CallTrace trace;
            CallOptions options;
            options.deadline = BootClock::now() + 3s;
            options.requestId = id;
            options.maximumIdle = maximumIdle;
            options.trace = &trace;
            HttpRequest request{"POST", "/order", {}, "two casts"};
            request.headers.add("Trefoil-Request-Id", id);
            pool.call(upstream->address(), nullptr, request, options, yield);
            return trace;
        };
        const CallTrace first = call("first", 1h);
        cr_assert(first.opened == ConnectionCause::FirstUse, "%s", testCase->name);
        cr_assert_gt(first.bytesWritten, 50, "%s", testCase->name);
        asio::steady_timer timer(context, testCase->pause);
        timer.async_wait(yield);
        pool.closeExpired(BootClock::now());
        const CallTrace second = call("second", testCase->maximumIdle);
        const std::string cause(second.opened ? toText(*second.opened) : std::string_view());
        cr_assert_eq(cause, testCase->expected, "%s: %s", testCase->name, cause.c_str());
        cr_assert(second.bytesWritten > 50 && second.bytesRead > 50, "%s: %zu and %zu bytes", testCase->name, second.bytesWritten, second.bytesRead);
    });
}

// Guards against connections for concurrent requests that count as replacements, and against one loss that explains several connections.
Test(ConnectionCause, eachLossExplainsOneConnection)
{
    ConnectionLosses losses;
    cr_assert(losses.recordOpened(0, false) == ConnectionCause::FirstUse);
    cr_assert(losses.recordOpened(0, false) == ConnectionCause::AllInUse);
    losses.recordLoss(ConnectionCause::CloseAnnounced);
    losses.recordLoss(ConnectionCause::IdleClosedByPeer);
    cr_assert(losses.recordOpened(2, true) == ConnectionCause::IdleUnsuitable, "none was lost in this call");
    cr_assert(losses.recordOpened(1, true) == ConnectionCause::IdleClosedByPeer, "lost in this call");
    cr_assert(losses.recordOpened(1, false) == ConnectionCause::CloseAnnounced);
    cr_assert(losses.recordOpened(0, false) == ConnectionCause::AllInUse);
    for (int i = 0; i < 1000; ++i) {
        losses.recordLoss(ConnectionCause::Limit);
    }
    cr_assert_leq(losses.pending(), 64, "the memory is bounded");
}
