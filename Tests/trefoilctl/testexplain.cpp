#include "explain.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace Trefoil;

// Guards against lines of other requests, broken lines, and an order that isn't that of the times.
Test(Explain, linesOfSeveralHosts)
{
    std::istringstream first("12.3 edge-1 {\"time\":\"2026-01-01T00:00:02.000Z\",\"host\":\"b\",\"event\":\"request-failed\",\"request\":\"r1\",\"status\":502,"
                             "\"reason\":\"upstream-error\",\"attempts\":1,\"elapsedMs\":57}\nnot json r1 {\n");
    std::istringstream second("{\"time\":\"2026-01-01T00:00:01.000Z\",\"host\":\"a\",\"event\":\"attempt-ended\",\"request\":\"r1\",\"upstream\":\"u1\","
                              "\"reason\":\"connection-lost\",\"durationMs\":57,\"cache\":2}\n"
                              "{\"time\":\"2026-01-01T00:00:01.500Z\",\"host\":\"a\",\"event\":\"attempt-ended\",\"request\":\"r12\",\"upstream\":\"u9\"}\n");
    const auto explained = explainRequest("r1", {&first, &second});
    cr_assert(explained.has_value());
    const std::string &text = explained.value();
    cr_assert(text.find("upstream u1") < text.find("answered 502"), "%s", text.c_str());
    cr_assert(text.find("connection-lost") != std::string::npos);
    cr_assert(text.find("u9") == std::string::npos);
}

// Guards against an answer that never reached its caller and of which the explanation says nothing.
Test(Explain, answerThatWasNotWritten)
{
    std::istringstream log("{\"time\":\"2026-01-01T00:00:01.000Z\",\"host\":\"a\",\"event\":\"response-not-written\",\"request\":\"r1\",\"status\":200,"
                           "\"reason\":\"Broken pipe\",\"isStopping\":true,\"elapsedMs\":7}\n");
    const auto explained = explainRequest("r1", {&log});
    cr_assert(explained.has_value());
    const std::string &text = explained.value();
    cr_assert(text.find("could not write its answer 200 whole after 7 ms: Broken pipe (the host was stopping)") != std::string::npos, "%s", text.c_str());
}

// Guards against silence about a request that no log knows.
Test(Explain, unknownRequest)
{
    std::istringstream log("{\"request\":\"r2\"}\n");
    const auto explained = explainRequest("r1", {&log});
    cr_assert(explained.has_error());
    cr_assert(explained.error().message.find("r1") != std::string::npos);
}
