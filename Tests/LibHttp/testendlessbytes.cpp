#include "coroutine.h"
#include <LibHttp/connectionpool.h>
#include <LibHttp/jsonclient.h>
#include <StandIns/endlessupstream.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstring>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t s_kilobyte = 1024;
constexpr std::uint64_t s_megabyte = 1024 * s_kilobyte;
/// Bytes that the systems of both sides may hold: a send buffer of 64 KB, counted twice by Linux, and a receive buffer.
constexpr std::uint64_t s_inFlight = 512 * s_kilobyte;

std::string head(const std::string &fields)
{
    return responseHead("first", fields);
}

EndlessScript script(const std::string &shape)
{
    return endlessScript(shape, "first");
}

struct EndlessCase
{
    char shape[24];
    char expected[24];
    /// Most bytes that the call may take from the upstream.
    std::uint64_t mostBytes;
    std::chrono::milliseconds longest;
};

constexpr std::chrono::milliseconds s_deadline{3000};
/// For calls that share the processor with nine others.
constexpr std::chrono::milliseconds s_longDeadline{6000};

struct Fixture
{
    explicit Fixture(EndlessScript endlessScript)
        : upstream(std::move(EndlessUpstream::create(context, std::move(endlessScript)).value()))
        , pool(context, {})
    {
    }

    /// As the gateway calls an upstream.
    static CallOptions options()
    {
        CallOptions result;
        result.deadline = BootClock::now() + s_deadline;
        result.progressTimeout = s_deadline + 1s;
        result.requestId = "first";
        result.skipsForeignResponses = true;
        result.acceptsUndeclaredLength = true;
        return result;
    }

    CallResult call(const CallOptions &callOptions, const asio::yield_context &yield)
    {
        return pool.call(upstream->address(), nullptr, {"GET", "/"}, callOptions, yield);
    }

    asio::io_context context{1};
    std::unique_ptr<EndlessUpstream> upstream;
    ConnectionPool pool;
};

std::string textOf(const CallResult &result)
{
    const auto *failure = std::get_if<CallFailure>(&result);
    return failure ? std::string(toText(failure->kind)) : std::to_string(std::get<HttpResponse>(result).status);
}

void wait(asio::io_context &context, std::chrono::milliseconds time, const asio::yield_context &yield)
{
    asio::steady_timer timer(context, time);
    timer.async_wait(yield);
}

std::chrono::milliseconds since(BootTime start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start);
}

} // namespace

// Guards against an upstream that holds a call, its memory and the processor with bytes that end in no response, and
// against such bytes that count as one.
ParameterizedTestParameters(EndlessBytes, callEndsEarly)
{
    static EndlessCase cases[] = {
        {"no-response", "malformed-response", s_inFlight, 1000ms},
        {"empty-lines", "malformed-response", s_inFlight, 1000ms},
        {"reason-phrase", "response-too-large", s_inFlight, 1000ms},
        {"header-field", "response-too-large", s_inFlight, 1000ms},
        {"header-fields", "response-too-large", s_inFlight, 1000ms},
        {"header-slowly", "deadline-exceeded", s_inFlight, s_deadline + 200ms},
        {"huge-length", "response-too-large", s_inFlight, 1000ms},
        {"no-length", "response-too-large", 16 * s_megabyte + s_inFlight, 2000ms},
        {"chunks", "response-too-large", 17 * s_megabyte + s_inFlight, 2000ms},
        {"tiny-chunks", "response-too-large", s_megabyte + s_inFlight, 1000ms},
        {"chunk-extension", "response-too-large", s_inFlight, 1000ms},
        {"chunk-extensions", "response-too-large", s_megabyte + s_inFlight, 1000ms},
        {"trailer-fields", "response-too-large", s_inFlight, 1000ms},
        {"interim", "response-too-large", s_megabyte + s_inFlight, 1000ms},
        {"interim-fields", "response-too-large", s_megabyte + s_inFlight, 1000ms},
        {"foreign", "wrong-request-id", s_megabyte + s_inFlight, 1000ms},
        {"foreign-large", "wrong-request-id", 17 * s_megabyte + s_inFlight, 2000ms},
        {"behind-response", "200", s_inFlight, 1000ms},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *testCase, EndlessBytes, callEndsEarly)
{
    Fixture fixture(script(testCase->shape));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        const CallResult result = fixture.call(Fixture::options(), yield);
        const auto elapsed = since(start);
        const std::uint64_t taken = fixture.upstream->bytesSent();
        cr_log_info("%s: %s after %ld ms and %lu KB", testCase->shape, textOf(result).c_str(), static_cast<long>(elapsed.count()), taken / s_kilobyte);
        cr_expect_eq(textOf(result), testCase->expected, "%s: %s", testCase->shape, textOf(result).c_str());
        cr_expect(taken <= testCase->mostBytes, "%s: %lu KB", testCase->shape, taken / s_kilobyte);
        cr_expect(elapsed <= testCase->longest, "%s: %ld ms", testCase->shape, static_cast<long>(elapsed.count()));
        if (const auto *failure = std::get_if<CallFailure>(&result)) {
            cr_expect(failure->anyByteWritten, "%s", testCase->shape);
        }
        // The connection must be closed, so that its bytes stop.
        wait(fixture.context, 50ms, yield);
        cr_expect_eq(fixture.upstream->sendingConnections(), 0, "%s", testCase->shape);
    });
}

// Guards against a deadline that never ends a call whose bytes are always there to be read.
Test(EndlessBytes, deadlineEndsAFlood)
{
    EndlessScript endless = script("no-length");
    endless.totalBytes = 512 * s_megabyte;
    Fixture fixture(std::move(endless));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        CallOptions options = Fixture::options();
        options.deadline = BootClock::now() + 50ms;
        options.responseLimit = 1024 * s_megabyte;
        const BootTime start = BootClock::now();
        const CallResult result = fixture.call(options, yield);
        const auto elapsed = since(start);
        cr_log_info("%s after %ld ms and %lu KB", textOf(result).c_str(), static_cast<long>(elapsed.count()), fixture.upstream->bytesSent() / s_kilobyte);
        cr_expect_eq(textOf(result), "deadline-exceeded", "%s", textOf(result).c_str());
        cr_expect(elapsed < 500ms, "%ld ms", static_cast<long>(elapsed.count()));
    });
}

// Guards against an idle connection that fills the system's buffers with bytes that belong to no request.
Test(EndlessBytes, idleConnectionIsClosed)
{
    EndlessScript endless = script("behind-response");
    endless.pause = 50ms;
    Fixture fixture(std::move(endless));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert_eq(textOf(fixture.call(Fixture::options(), yield)), "200");
        wait(fixture.context, 150ms, yield);
        fixture.pool.closeExpired(BootClock::now());
        wait(fixture.context, 50ms, yield);
        cr_log_info("%lu KB", fixture.upstream->bytesSent() / s_kilobyte);
        cr_expect_eq(fixture.upstream->sendingConnections(), 0);
    });
}

// Guards against limits that end a call whose upstream is sound: a large body, one in small chunks, a slow one, interim
// responses of long work, and a late response of another request.
ParameterizedTestParameters(EndlessBytes, soundResponsePasses)
{
    static EndlessCase cases[] = {
        {"full-size", "200", 0, 0ms},
        {"small-chunks", "200", 0, 0ms},
        {"tiny-chunks", "200", 0, 0ms},
        {"slow-chunks", "200", 0, 0ms},
        {"interim", "200", 0, 0ms},
        {"foreign-full-size", "200", 0, 0ms},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

namespace
{

std::string repeat(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

EndlessScript soundScript(const std::string &shape)
{
    const std::string chunked = head("Transfer-Encoding: chunked\r\n\r\n");
    // What is repeated comes after the end of the response.
    if (shape == "full-size") {
        return {completeResponse("first", 16 * s_megabyte), 1s, "x"};
    }
    if (shape == "small-chunks") {
        return {chunked + repeat(chunkOf(16), s_megabyte / 16) + "0\r\n\r\n", 1s, "x"};
    }
    if (shape == "tiny-chunks") {
        return {chunked + repeat(chunkOf(1), 32 * s_kilobyte) + "0\r\n\r\n", 1s, "x"};
    }
    if (shape == "slow-chunks") {
        EndlessScript slow{chunked, 0ms, chunkOf(1), 20ms};
        return slow;
    }
    if (shape == "interim") {
        return {repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + completeResponse("first", 4), 1s, "x"};
    }
    cr_assert_eq(shape, "foreign-full-size");
    return {completeResponse("foreign", 16 * s_megabyte) + completeResponse("first", 16 * s_megabyte), 1s, "x"};
}

} // namespace

ParameterizedTest(EndlessCase *testCase, EndlessBytes, soundResponsePasses)
{
    EndlessScript sound = soundScript(testCase->shape);
    const bool isSlow = std::strcmp(testCase->shape, "slow-chunks") == 0;
    if (isSlow) {
        // Without a length, so that the order of the close ends it, after 1 s.
        sound.opening = head("\r\n");
        sound.repeated = "b";
        sound.totalBytes = sound.opening.size() + 50;
    }
    Fixture fixture(std::move(sound));
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const CallResult result = fixture.call(Fixture::options(), yield);
        cr_assert_eq(textOf(result), testCase->expected, "%s: %s", testCase->shape, textOf(result).c_str());
        cr_assert(!isSlow || std::get<HttpResponse>(result).body.size() == 50);
    });
}

// Guards against bodies that are each within their limit and together fill the host, and against small responses that
// fail because of them.
Test(EndlessBytes, unfinishedBodiesAreBoundedTogether)
{
    constexpr int calls = 10;
    const std::string opening = head("Content-Length: " + std::to_string(16 * s_megabyte) + "\r\n\r\n") + std::string(15 * s_megabyte, 'b');
    Fixture fixture({opening, 0ms, "b", 20ms});
    const auto small = EndlessUpstream::create(fixture.context, {completeResponse("first", 60 * s_kilobyte), 1s, "x"});
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        std::vector<std::string> ends;
        for (int i = 0; i < calls; ++i) {
            asio::spawn(fixture.context, [&](const asio::yield_context &inner) {
                CallOptions options = Fixture::options();
                options.deadline = BootClock::now() + s_longDeadline;
                options.progressTimeout = s_longDeadline + 1s;
                ends.push_back(textOf(fixture.call(options, inner)));
            });
        }
        // Until the calls that are left hold their bodies and wait for the rest.
        wait(fixture.context, s_longDeadline * 3 / 4, yield);
        const auto refused = std::count(ends.begin(), ends.end(), "no-memory");
        rusage usage{};
        ::getrusage(RUSAGE_SELF, &usage);
        cr_log_info("%ld of %d calls have ended, peak %ld MB", static_cast<long>(ends.size()), calls, usage.ru_maxrss / 1024);
        cr_expect_eq(refused, calls - 4, "%ld", static_cast<long>(refused));
        const CallResult result = fixture.pool.call(small.value()->address(), nullptr, {"GET", "/"}, Fixture::options(), yield);
        cr_expect_eq(textOf(result), "200", "%s", textOf(result).c_str());
        wait(fixture.context, s_longDeadline / 2, yield);
        cr_expect_eq(ends.size(), static_cast<std::size_t>(calls));
        // What the ended calls held must be free again.
        const auto full = EndlessUpstream::create(fixture.context, {completeResponse("first", 16 * s_megabyte), 1s, "x"});
        const CallResult after = fixture.pool.call(full.value()->address(), nullptr, {"GET", "/"}, Fixture::options(), yield);
        cr_expect_eq(textOf(after), "200", "%s", textOf(after).c_str());
    });
}

// Guards against a deadline of the client of the platform that never ends a flood.
Test(EndlessBytes, deadlineEndsAFloodOfTheStore)
{
    EndlessScript endless = script("chunks");
    endless.totalBytes = 512 * s_megabyte;
    Fixture fixture(std::move(endless));
    JsonClientSettings settings;
    settings.address = fixture.upstream->address();
    settings.maximumBodyBytes = 1024 * s_megabyte;
    JsonClient client(fixture.context, settings);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        const JsonResult result = client.request({"GET", "/"}, start + 50ms, yield);
        const auto elapsed = since(start);
        cr_log_info("json after %ld ms and %lu KB", static_cast<long>(elapsed.count()), fixture.upstream->bytesSent() / s_kilobyte);
        cr_expect(std::holds_alternative<RequestAmbiguous>(result));
        cr_expect(elapsed < 500ms, "%ld ms", static_cast<long>(elapsed.count()));
    });
}

// Guards against a store that holds the client of the platform, its memory and the processor in the same way.
ParameterizedTestParameters(EndlessBytes, jsonClientEndsEarly)
{
    static EndlessCase cases[] = {
        {"no-response", "", s_inFlight, 1000ms},
        {"reason-phrase", "", s_inFlight, 1000ms},
        {"header-fields", "", s_inFlight, 1000ms},
        {"huge-length", "", s_inFlight, 1000ms},
        {"no-length", "", s_inFlight, 1000ms},
        {"tiny-chunks", "", s_megabyte + s_inFlight, 1000ms},
        {"chunk-extension", "", s_inFlight, 1000ms},
        {"chunk-extensions", "", s_megabyte + s_inFlight, 1000ms},
        {"trailer-fields", "", s_inFlight, 1000ms},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *testCase, EndlessBytes, jsonClientEndsEarly)
{
    Fixture fixture(script(testCase->shape));
    JsonClientSettings settings;
    settings.address = fixture.upstream->address();
    JsonClient client(fixture.context, settings);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        const JsonResult result = client.request({"GET", "/"}, start + s_deadline, yield);
        const auto elapsed = since(start);
        const std::uint64_t taken = fixture.upstream->bytesSent();
        const auto *ambiguous = std::get_if<RequestAmbiguous>(&result);
        cr_log_info("json %s: %s after %ld ms and %lu KB",
            testCase->shape,
            ambiguous ? ambiguous->reason.c_str() : "a response",
            static_cast<long>(elapsed.count()),
            taken / s_kilobyte);
        cr_expect(ambiguous, "%s", testCase->shape);
        cr_expect(taken <= testCase->mostBytes, "%s: %lu KB", testCase->shape, taken / s_kilobyte);
        cr_expect(elapsed <= testCase->longest, "%s: %ld ms", testCase->shape, static_cast<long>(elapsed.count()));
    });
}

namespace
{

struct StalledAnswer
{
    char name[24];
    char opening[64];
    std::chrono::milliseconds longest;
};

} // namespace

// Guards against a request to the store that waits until its deadline for an answer that never begins, or stops halfway.
ParameterizedTestParameters(EndlessBytes, jsonClientNoticesStalledAnswers)
{
    static StalledAnswer cases[] = {
        {"no answer", "", 800ms},
        {"half of a header", "HTTP/1.1 200 OK\r\nConte", 800ms},
        {"half of a body", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\"", 2000ms},
    };
    return cr_make_param_array(StalledAnswer, cases, std::size(cases));
}

ParameterizedTest(StalledAnswer *testCase, EndlessBytes, jsonClientNoticesStalledAnswers)
{
    EndlessScript stalled;
    stalled.opening = testCase->opening;
    stalled.pause = 10s;
    stalled.repeated = "}";
    Fixture fixture(std::move(stalled));
    JsonClientSettings settings;
    settings.address = fixture.upstream->address();
    JsonClient client(fixture.context, settings);
    runCoroutine(fixture.context, [&](const asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        JsonRequest request;
        request.target = "/";
        request.answerBegins = start + 300ms;
        const JsonResult result = client.request(request, start + 5s, yield);
        cr_expect(std::holds_alternative<RequestAmbiguous>(result), "%s", testCase->name);
        const auto elapsed = since(start);
        cr_expect(elapsed <= testCase->longest, "%s: %ld ms", testCase->name, static_cast<long>(elapsed.count()));
    });
}
