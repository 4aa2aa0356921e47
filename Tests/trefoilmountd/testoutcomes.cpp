#include "testsite.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct OutcomeCase
{
    char mode[24];
    char first[24];
    int startedByFirst;
    /// Outcome of the same request when it is repeated after the fault.
    char again[24];
    int startedByBoth;
};

} // namespace

// Guards against a non-repeatable request that runs twice, and against "not-run" for one that may have run. The fault affects only the
// first attempt; the second attempt has the same key.
ParameterizedTestParameters(Outcomes, nonRepeatable)
{
    static OutcomeCase cases[] = {
        {"normal", "200 answered", 1, "200 answered", 1},
        {"swap-answers", "504 unknown", 1, "409 unknown", 1},
        {"cut-header", "504 unknown", 1, "409 unknown", 1},
        {"cut-body-start", "504 unknown", 1, "409 unknown", 1},
        {"cut-body-middle", "504 unknown", 1, "409 unknown", 1},
        {"cut-body-end", "504 unknown", 1, "409 unknown", 1},
        {"cut-chunk", "504 unknown", 1, "409 unknown", 1},
        {"no-length", "504 unknown", 1, "409 unknown", 1},
        {"extra-bytes", "200 answered", 1, "200 answered", 1},
        {"silent-after-accept", "504 unknown", 0, "409 unknown", 0},
        {"silent-after-read", "504 unknown", 1, "409 unknown", 1},
        {"silent-in-body", "504 unknown", 1, "409 unknown", 1},
        {"reset-before-read", "504 unknown", 0, "409 unknown", 0},
        {"reset-after-read", "504 unknown", 1, "409 unknown", 1},
        {"fast-errors", "500 answered", 1, "500 answered", 1},
        {"shed", "503 not-run", 0, "200 answered", 1},
        {"draining", "503 not-run", 0, "200 answered", 1},
    };
    return cr_make_param_array(OutcomeCase, cases, std::size(cases));
}

ParameterizedTest(OutcomeCase *testCase, Outcomes, nonRepeatable)
{
    TestUpstreams upstreams(2, {});
    MemoryClaims claims;
    TestHost host(testHostOptions("host-1", "gulf"), claims.access(), &upstreams);
    TestCaller caller;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        cr_assert(upstreams[i].control({{"mode", testCase->mode}}).has_value());
    }
    const auto first = summaryOf(caller.call(host.address(), testRequest("order", "1800000000-key-1")));
    cr_assert_eq(first, testCase->first, "%s: %s", testCase->mode, first.c_str());
    cr_assert_eq(upstreams.startedRequests(), static_cast<std::uint64_t>(testCase->startedByFirst), "%s", testCase->mode);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        cr_assert(upstreams[i].control({{"mode", "normal"}}).has_value());
    }
    const auto again = summaryOf(caller.call(host.address(), testRequest("order", "1800000000-key-1")));
    cr_assert_eq(again, testCase->again, "%s: %s", testCase->mode, again.c_str());
    cr_assert_eq(upstreams.startedRequests(), static_cast<std::uint64_t>(testCase->startedByBoth), "%s", testCase->mode);
}

struct RetryCase
{
    char mode[24];
    /// Outcome with the fault on one upstream for one request.
    char oneFaulty[24];
    /// Outcome with the fault on all upstreams.
    char allFaulty[24];
};

// Guards against repeatable requests that fail although another upstream works, and against wrong outcomes when none does.
ParameterizedTestParameters(Outcomes, repeatable)
{
    static RetryCase cases[] = {
        {"swap-answers", "200 answered", "504 unknown"},
        {"cut-body-middle", "200 answered", "504 unknown"},
        {"no-length", "200 answered", "504 unknown"},
        {"silent-after-accept", "200 answered", "504 unknown"},
        {"silent-in-body", "200 answered", "504 unknown"},
        {"reset-before-read", "200 answered", "504 unknown"},
        {"shed", "200 answered", "503 not-run"},
    };
    return cr_make_param_array(RetryCase, cases, std::size(cases));
}

ParameterizedTest(RetryCase *testCase, Outcomes, repeatable)
{
    TestUpstreams upstreams(2, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    cr_assert(upstreams[0].control({{"mode", testCase->mode}}).has_value());
    const auto oneFaulty = summaryOf(caller.call(host.address(), testRequest("browse")));
    cr_assert_eq(oneFaulty, testCase->oneFaulty, "%s: %s", testCase->mode, oneFaulty.c_str());
    cr_assert(upstreams[1].control({{"mode", testCase->mode}}).has_value());
    const auto allFaulty = summaryOf(caller.call(host.address(), testRequest("browse")));
    cr_assert_eq(allFaulty, testCase->allFaulty, "%s: %s", testCase->mode, allFaulty.c_str());
}
