#include "coroutine.h"
#include <LibHttp/connectionpool.h>
#include <StandIns/upstream.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <thread>

using namespace Trefoil;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds s_progressTimeout{200};

struct Fixture
{
    Fixture()
        : upstream(std::move(UpstreamStandIn::create(context, {}).value()))
        , pool(context, {})
    {
    }

    CallOptions options(const std::string &id) const
    {
        CallOptions result;
        result.deadline = BootClock::now() + std::chrono::seconds(3);
        result.progressTimeout = s_progressTimeout;
        result.requestId = id;
        return result;
    }

    CallResult call(const std::string &id, const asio::yield_context &yield, const std::shared_ptr<ConnectionLimit> &limit = nullptr)
    {
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", id);
        return pool.call(upstream->address(), limit, request, options(id), yield);
    }

    asio::io_context context{1};
    std::unique_ptr<UpstreamStandIn> upstream;
    ConnectionPool pool;
};

std::string textOf(const CallResult &result)
{
    const auto *failure = std::get_if<CallFailure>(&result);
    return failure ? std::string(toText(failure->kind)) : std::to_string(std::get<HttpResponse>(result).status);
}

struct FaultCase
{
    char mode[24];
    char expected[24];
    int begun;
};

} // namespace

// Guards against a cut, foreign or undeclared response that counts as one, and against a connection that is reused
// after a fault: the call after the fault must get its own response.
ParameterizedTestParameters(ConnectionPool, misbehavingUpstream)
{
    static FaultCase cases[] = {
        {"normal", "200", 1},
        {"swap-answers", "wrong-request-id", 1},
        {"cut-header", "truncated-response", 1},
        {"cut-body-start", "truncated-response", 1},
        {"cut-body-middle", "truncated-response", 1},
        {"cut-body-end", "truncated-response", 1},
        {"cut-chunk", "truncated-response", 1},
        {"no-length", "undeclared-length", 1},
        {"extra-bytes", "200", 1},
        {"silent-after-accept", "stalled", 0},
        {"silent-after-read", "stalled", 1},
        {"silent-in-body", "stalled", 1},
        {"reset-before-read", "connection-lost", 0},
        {"reset-after-read", "connection-lost", 1},
        {"fast-errors", "500", 1},
        {"shed", "503", 0},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, ConnectionPool, misbehavingUpstream)
{
    Fixture fixture;
    cr_assert(fixture.upstream->control({{"mode", testCase->mode}, {"count", 1}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const CallResult first = fixture.call("first", yield);
        cr_assert_eq(textOf(first), testCase->expected, "%s: %s", testCase->mode, textOf(first).c_str());
        if (const auto *failure = std::get_if<CallFailure>(&first)) {
            cr_assert(failure->anyByteWritten, "%s", testCase->mode);
        }
        cr_assert_eq(fixture.upstream->counts().begun, static_cast<std::uint64_t>(testCase->begun));
        const CallResult second = fixture.call("second", yield);
        cr_assert_eq(textOf(second), "200", "%s: %s", testCase->mode, textOf(second).c_str());
    });
}

struct ReadyCase
{
    std::chrono::milliseconds serviceTime;
    char expected[24];
};

// Guards against a response that is dropped although it was there at the deadline, because the host was busy until later.
ParameterizedTestParameters(ConnectionPool, readyResponseIsDeliveredAfterTheDeadline)
{
    static ReadyCase cases[] = {{std::chrono::milliseconds(40), "200"}, {std::chrono::milliseconds(600), "deadline-exceeded"}};
    return cr_make_param_array(ReadyCase, cases, std::size(cases));
}

ParameterizedTest(ReadyCase *testCase, ConnectionPool, readyResponseIsDeliveredAfterTheDeadline)
{
    constexpr std::chrono::milliseconds deadline{150};
    asio::io_context upstreamContext{1};
    UpstreamStandInSettings settings;
    settings.serviceTime = testCase->serviceTime;
    const auto upstream = std::move(UpstreamStandIn::create(upstreamContext, settings).value());
    std::thread upstreamThread([&upstreamContext] {
        const auto work = asio::make_work_guard(upstreamContext);
        upstreamContext.run();
    });
    asio::io_context context{1};
    ConnectionPool pool(context, {});
    runCoroutine(context, [&](const asio::yield_context &yield) {
        CallOptions options;
        options.deadline = BootClock::now() + deadline;
        options.progressTimeout = std::chrono::seconds(3);
        options.requestId = "first";
        asio::steady_timer busy(context, std::chrono::milliseconds(20));
        busy.async_wait([=](const boost::system::error_code &) { std::this_thread::sleep_for(deadline); });
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", "first");
        const CallResult result = pool.call(upstream->address(), nullptr, request, options, yield);
        cr_assert_eq(textOf(result), testCase->expected, "%s", textOf(result).c_str());
    });
    upstreamContext.stop();
    upstreamThread.join();
}

// Guards against a late response that reaches the next request on the same connection.
Test(ConnectionPool, lateAnswerIsNeverDelivered)
{
    Fixture fixture;
    cr_assert(fixture.upstream->control({{"mode", "late-answer"}, {"count", 1}, {"delayMs", 300}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert_eq(textOf(fixture.call("first", yield)), "stalled");
        asio::steady_timer timer(fixture.context, std::chrono::milliseconds(300));
        timer.async_wait(yield);
        const CallResult second = fixture.call("second", yield);
        cr_assert_eq(std::get<HttpResponse>(second).headers.value("Trefoil-Request-Id"), "second");
        cr_assert_eq(fixture.pool.opened(), 2);
    });
}

// Guards against a new connection for each request, which costs the upstream about 1 ms each.
Test(ConnectionPool, warmConnectionIsReused)
{
    Fixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        for (int i = 0; i < 20; ++i) {
            cr_assert_eq(textOf(fixture.call(std::to_string(i), yield)), "200");
        }
    });
    cr_assert_eq(fixture.pool.opened(), 1);
    cr_assert_eq(fixture.upstream->counts().connectionsOpened, 1);
}

// Guards against a response that ends with its connection and is thrown away although the caller of the pool takes those.
Test(ConnectionPool, undeclaredLengthCanBeAccepted)
{
    Fixture fixture;
    cr_assert(fixture.upstream->control({{"mode", "no-length"}, {"count", 1}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        CallOptions options = fixture.options("first");
        options.acceptsUndeclaredLength = true;
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", "first");
        const CallResult result = fixture.pool.call(fixture.upstream->address(), nullptr, request, options, yield);
        cr_assert_eq(textOf(result), "200");
        cr_assert_eq(textOf(fixture.call("second", yield)), "200");
        cr_assert_eq(fixture.pool.opened(), 2);
    });
}

// Guards against a request that may run once only on a connection that the upstream may have forgotten.
Test(ConnectionPool, longIdleConnectionIsNotTrusted)
{
    Fixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert_eq(textOf(fixture.call("first", yield)), "200");
        asio::steady_timer timer(fixture.context, std::chrono::milliseconds(30));
        timer.async_wait(yield);
        CallOptions options = fixture.options("second");
        options.maximumIdle = std::chrono::milliseconds(10);
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", "second");
        cr_assert_eq(textOf(fixture.pool.call(fixture.upstream->address(), nullptr, request, options, yield)), "200");
        cr_assert_eq(fixture.pool.opened(), 2);
        cr_assert_eq(textOf(fixture.call("third", yield)), "200");
        cr_assert_eq(fixture.pool.opened(), 2);
    });
}

// Guards against a late response to an earlier request that answers a call without an id, such as the cancellation of work: the slot of
// work that goes on would be used again. An idle connection that the call may not use must not leave it without one.
Test(ConnectionPool, callsWithoutIdUseNewConnections)
{
    Fixture fixture;
    const auto limit = ConnectionLimit::create(ConnectionCount(1));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert_eq(textOf(fixture.call("first", yield, limit)), "200");
        cr_assert_eq(textOf(fixture.pool.call(fixture.upstream->address(), limit, {"GET", "/v1/load"}, fixture.options(""), yield)), "200");
        cr_assert_eq(fixture.pool.opened(), 2);
        cr_assert_eq(limit->open().value(), 1);
    });
}

// Guards against more connections than granted, and against permits that leak with closed connections.
Test(ConnectionPool, connectionLimitHolds)
{
    Fixture fixture;
    const auto limit = ConnectionLimit::create(ConnectionCount(1));
    cr_assert(fixture.upstream->control({{"mode", "silent-after-read"}, {"count", 1}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        bool done = false;
        asio::spawn(fixture.context, [&](const asio::yield_context &inner) {
            cr_assert_eq(textOf(fixture.call("first", inner, limit)), "stalled");
            done = true;
        });
        asio::steady_timer timer(fixture.context, s_progressTimeout / 2);
        timer.async_wait(yield);
        const CallResult second = fixture.call("second", yield, limit);
        cr_assert_eq(textOf(second), "connection-limit");
        cr_assert_not(std::get<CallFailure>(second).anyByteWritten);
        timer.expires_after(s_progressTimeout);
        timer.async_wait(yield);
        cr_assert(done);
        cr_assert_eq(limit->open().value(), 0);
        cr_assert_eq(textOf(fixture.call("third", yield, limit)), "200");
    });
}

namespace
{

/// Several upstreams and a pool with a limit on all connections together.
struct PoolLimitFixture
{
    explicit PoolLimitFixture(std::size_t limit, int upstreamCount)
        : pool(context, settings(limit))
    {
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(std::move(UpstreamStandIn::create(context, {}).value()));
        }
    }

    static ConnectionPoolSettings settings(std::size_t limit)
    {
        ConnectionPoolSettings result;
        result.connectionLimit = limit;
        return result;
    }

    CallResult call(std::size_t upstream, const asio::yield_context &yield)
    {
        CallOptions options;
        options.deadline = BootClock::now() + std::chrono::seconds(3);
        options.progressTimeout = s_progressTimeout;
        options.requestId = fmt::format("r-{}", ++sent);
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", options.requestId);
        return pool.call(upstreams[upstream]->address(), nullptr, request, options, yield);
    }

    void wait(std::chrono::milliseconds time, const asio::yield_context &yield)
    {
        asio::steady_timer timer(context, time);
        timer.async_wait(yield);
    }

    asio::io_context context{1};
    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
    ConnectionPool pool;
    int sent = 0;
};

struct EvictionCase
{
    char name[40];
    std::size_t limit;
    /// Upstreams that are called one after the other, by number.
    char calls[8];
    std::uint64_t opened;
    std::uint64_t closedForRoom;
    std::size_t idle;
};

} // namespace

// Guards against idle connections that use up the limit on all connections, and against closing one that was used more recently than another.
ParameterizedTestParameters(ConnectionPool, longestIdleConnectionMakesRoom)
{
    static EvictionCase cases[] = {
        {"below the limit", 3, "012012", 3, 0, 3},
        {"no limit", 0, "012012", 3, 0, 3},
        {"another address makes room", 1, "01", 2, 1, 1},
        {"each call closes the other", 1, "0101", 4, 3, 1},
        {"the longest idle is closed", 2, "010210", 5, 3, 2},
        {"the one used last is kept", 2, "01020", 3, 1, 2},
    };
    return cr_make_param_array(EvictionCase, cases, std::size(cases));
}

ParameterizedTest(EvictionCase *testCase, ConnectionPool, longestIdleConnectionMakesRoom)
{
    PoolLimitFixture fixture(testCase->limit, 3);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        for (const char upstream : std::string_view(testCase->calls)) {
            cr_assert_eq(textOf(fixture.call(static_cast<std::size_t>(upstream - '0'), yield)), "200", "%s", testCase->name);
            cr_assert(testCase->limit == 0 || fixture.pool.use().idle <= testCase->limit, "%s", testCase->name);
        }
    });
    const ConnectionUse use = fixture.pool.use();
    cr_expect_eq(fixture.pool.opened(), testCase->opened, "%s: %zu", testCase->name, static_cast<std::size_t>(fixture.pool.opened()));
    cr_expect_eq(use.closedForRoom, testCase->closedForRoom, "%s: %zu", testCase->name, static_cast<std::size_t>(use.closedForRoom));
    cr_expect_eq(use.idle, testCase->idle, "%s: %zu", testCase->name, use.idle);
    cr_expect_eq(use.inUse, 0U, "%s: %zu", testCase->name, use.inUse);
    cr_expect_eq(use.rejectedCalls, 0U, "%s", testCase->name);
    cr_expect_eq(use.limit, testCase->limit, "%s", testCase->name);
}

// Guards against a call that opens a connection beyond the limit, or is reported as if it could have run, and against places that are lost with
// connections that failed.
Test(ConnectionPool, callBeyondThePoolLimitIsNotSent)
{
    PoolLimitFixture fixture(1, 2);
    cr_assert(fixture.upstreams[0]->control({{"mode", "silent-after-read"}, {"count", 1}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        bool hasEnded = false;
        asio::spawn(fixture.context, [&](const asio::yield_context &inner) {
            cr_assert_eq(textOf(fixture.call(0, inner)), "stalled");
            hasEnded = true;
        });
        fixture.wait(s_progressTimeout / 2, yield);
        cr_assert_eq(fixture.pool.use().inUse, 1U);
        const CallResult rejected = fixture.call(1, yield);
        cr_assert_eq(textOf(rejected), "host-connection-limit");
        cr_assert_not(std::get<CallFailure>(rejected).anyByteWritten);
        cr_assert_eq(fixture.upstreams[1]->counts().connectionsOpened, 0U);
        cr_assert_eq(fixture.pool.use().rejectedCalls, 1U);
        fixture.wait(s_progressTimeout, yield);
        cr_assert(hasEnded);
        cr_assert_eq(fixture.pool.use().inUse, 0U);
        cr_assert_eq(textOf(fixture.call(1, yield)), "200");
    });
}

// Guards against connections that don't count while they are being opened: a burst of calls would open them all.
Test(ConnectionPool, connectionsBeingOpenedCountAgainstThePoolLimit)
{
    PoolLimitFixture fixture(2, 5);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        std::vector<std::string> ends;
        for (std::size_t i = 0; i < fixture.upstreams.size(); ++i) {
            asio::spawn(fixture.context, [&fixture, &ends, i](const asio::yield_context &inner) { ends.push_back(textOf(fixture.call(i, inner))); });
        }
        fixture.wait(s_progressTimeout, yield);
        cr_assert_eq(ends.size(), 5U);
        cr_assert_eq(std::count(ends.begin(), ends.end(), "200"), 2);
        cr_assert_eq(std::count(ends.begin(), ends.end(), "host-connection-limit"), 3);
        cr_assert_eq(fixture.pool.opened(), 2U);
    });
}

// Guards against places that are lost with connections that could not be opened.
Test(ConnectionPool, failedConnectionsLeaveTheirPlaces)
{
    PoolLimitFixture fixture(1, 1);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        for (int i = 0; i < 3; ++i) {
            CallOptions options;
            options.deadline = BootClock::now() + std::chrono::seconds(3);
            cr_assert_eq(textOf(fixture.pool.call("127.0.0.1:1", nullptr, {"GET", "/"}, options, yield)), "connect-failed");
        }
        cr_assert_eq(fixture.pool.use().inUse, 0U);
        cr_assert_eq(textOf(fixture.call(0, yield)), "200");
    });
}

// Guards against state for each address that was ever used, and against an idle connection that is forgotten with it.
Test(ConnectionPool, unusedAddressesAreForgotten)
{
    constexpr std::size_t limit = 8;
    Fixture fixture;
    ConnectionPoolSettings settings;
    settings.rememberedAddressLimit = limit;
    ConnectionPool pool(fixture.context, settings);
    const auto callUpstream = [&](const std::string &id, const asio::yield_context &yield) {
        HttpRequest request{"POST", "/order", {}, "two casts"};
        request.headers.add("Trefoil-Request-Id", id);
        return textOf(pool.call(fixture.upstream->address(), nullptr, request, fixture.options(id), yield));
    };
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert_eq(callUpstream("first", yield), "200");
        for (int i = 1; i <= 50; ++i) {
            const std::string closed = fmt::format("127.0.1.{}:1", i);
            cr_assert_eq(textOf(pool.call(closed, nullptr, {"GET", "/"}, fixture.options("other"), yield)), "connect-failed");
            cr_assert(pool.rememberedAddresses() <= limit, "%zu", pool.rememberedAddresses());
        }
        cr_assert_eq(callUpstream("second", yield), "200");
        cr_assert_eq(pool.opened(), 1U);
    });
}

// Guards against a failed connection that is reported as if the request could have run, and against writes after the last check refused.
Test(ConnectionPool, nothingWrittenIsReportedTruthfully)
{
    Fixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const CallResult unreachable = fixture.pool.call("127.0.0.1:1", nullptr, {"GET", "/"}, fixture.options(""), yield);
        cr_assert_eq(textOf(unreachable), "connect-failed");
        cr_assert_not(std::get<CallFailure>(unreachable).anyByteWritten);
        CallOptions options = fixture.options("");
        options.prepare = [](HttpRequest &) { return false; };
        const CallResult refused = fixture.pool.call(fixture.upstream->address(), nullptr, {"GET", "/"}, options, yield);
        cr_assert_eq(textOf(refused), "lease-expired");
        cr_assert_not(std::get<CallFailure>(refused).anyByteWritten);
    });
    cr_assert_eq(fixture.upstream->counts().begun, 0);
}

// Guards against a deadline that is sent as it was before the wait for a connection.
Test(ConnectionPool, requestIsCompletedAfterTheWait)
{
    Fixture fixture;
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        CallOptions options = fixture.options("");
        options.prepare = [&fixture](HttpRequest &request) {
            request.headers.add("Trefoil-Deadline-Ms", std::to_string(100 + fixture.pool.opened()));
            return true;
        };
        const CallResult result = fixture.pool.call(fixture.upstream->address(), nullptr, {"GET", "/"}, options, yield);
        cr_assert(std::get<HttpResponse>(result).body.find(R"("deadlineMs":"101")") != std::string::npos);
    });
}

// Guards against a cancelled call that goes on, and against its connection being reused.
Test(ConnectionPool, cancellationClosesTheConnection)
{
    Fixture fixture;
    cr_assert(fixture.upstream->control({{"mode", "late-answer"}, {"count", 1}, {"delayMs", 150}}).has_value());
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        Cancellation cancellation;
        asio::steady_timer timer(fixture.context, std::chrono::milliseconds(50));
        timer.async_wait([&](const boost::system::error_code &) { cancellation.request(); });
        CallOptions options = fixture.options("first");
        options.cancellation = &cancellation;
        cr_assert_eq(textOf(fixture.pool.call(fixture.upstream->address(), nullptr, {"GET", "/"}, options, yield)), "cancelled");
        cr_assert_eq(textOf(fixture.call("second", yield)), "200");
    });
    cr_assert_eq(fixture.pool.opened(), 2);
}

// Guards against a cancelled call that waits on for room for its response: a stopping host ended before it could answer the caller.
Test(ConnectionPool, cancellationEndsTheWaitForRoom)
{
    Fixture fixture;
    ConnectionPoolSettings settings;
    settings.memory = std::make_shared<MemoryBudget>(MemoryLimits{s_smallMessageBytes, s_smallMessageBytes, s_smallMessageBytes});
    ConnectionPool pool(fixture.context, settings);
    MemoryReservation held(settings.memory, MemoryUse::Response);
    cr_assert(held.tryResize(s_smallMessageBytes));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        Cancellation cancellation;
        asio::steady_timer timer(fixture.context, std::chrono::milliseconds(50));
        timer.async_wait([&](const boost::system::error_code &) { cancellation.request(); });
        CallOptions options = fixture.options("first");
        options.cancellation = &cancellation;
        HttpRequest request{"GET", "/"};
        request.headers.add("Trefoil-Request-Id", "first");
        const BootTime start = BootClock::now();
        cr_assert_eq(textOf(pool.call(fixture.upstream->address(), nullptr, request, options, yield)), "cancelled");
        cr_assert(BootClock::now() - start < std::chrono::seconds(1), "the call waited on after its cancellation");
    });
}

namespace
{

struct HeadCase
{
    char name[32];
    char fields[64];
    /// Sent after the head, against the protocol.
    char body[16];
};

} // namespace

// Guards against a wait for the body of a response to HEAD, which has none, and against one that comes nevertheless and is taken for the
// response to the next request.
ParameterizedTestParameters(ConnectionPool, responsesToHeadHaveNoBody)
{
    static HeadCase cases[] = {
        {"length", "Content-Length: 9\r\n", ""},
        {"chunks", "Transfer-Encoding: chunked\r\n", ""},
        {"no length", "", ""},
        {"length and body", "Content-Length: 9\r\n", "two casts"},
    };
    return cr_make_param_array(HeadCase, cases, std::size(cases));
}

ParameterizedTest(HeadCase *testCase, ConnectionPool, responsesToHeadHaveNoBody)
{
    using tcp = asio::ip::tcp;
    asio::io_context context{1};
    ConnectionPool pool(context, {});
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    asio::spawn(context, [&](const asio::yield_context &yield) {
        std::vector<std::unique_ptr<tcp::socket>> sockets;
        while (true) {
            sockets.push_back(std::make_unique<tcp::socket>(context));
            acceptor.async_accept(*sockets.back(), yield);
            asio::spawn(context, [&, &socket = *sockets.back()](const asio::yield_context &connectionYield) {
                boost::system::error_code error;
                while (!error) {
                    std::string request;
                    asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", connectionYield[error]);
                    const std::string id = request.find("first") != std::string::npos ? "first" : "second";
                    const std::string fields = id == "first" ? testCase->fields : "Content-Length: 0\r\n";
                    const std::string head = fmt::format("HTTP/1.1 200 OK\r\nTrefoil-Request-Id: {}\r\n{}\r\n", id, fields);
                    asio::async_write(socket, asio::buffer(head), connectionYield[error]);
                    // The body comes after the caller of the pool has its response.
                    asio::steady_timer timer(context, std::chrono::milliseconds(20));
                    timer.async_wait(connectionYield[error]);
                    asio::async_write(socket, asio::buffer(std::string(id == "first" ? testCase->body : "")), connectionYield[error]);
                }
            });
        }
    });
    runCoroutine(context, [&](const asio::yield_context &yield) {
        for (const std::string id : {"first", "second"}) {
            CallOptions options;
            options.deadline = BootClock::now() + std::chrono::milliseconds(500);
            options.requestId = id;
            options.acceptsUndeclaredLength = true;
            HttpRequest request{id == "first" ? "HEAD" : "GET", "/"};
            request.headers.add("Trefoil-Request-Id", id);
            const BootTime start = BootClock::now();
            const CallResult result = pool.call(address, nullptr, request, options, yield);
            cr_assert_eq(textOf(result), "200", "%s, %s: %s", testCase->name, id.c_str(), textOf(result).c_str());
            cr_assert_eq(std::get<HttpResponse>(result).body, "");
            cr_assert_lt((BootClock::now() - start).count(), std::chrono::nanoseconds(std::chrono::milliseconds(200)).count());
        }
    });
}
