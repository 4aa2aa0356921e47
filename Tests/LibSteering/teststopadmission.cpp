#include <LibSteering/stopadmission.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_now{1h};

/// Times in milliseconds from now.
struct StopCase
{
    char name[56];
    int hostEnd;
    int deadline;
    double expectedWait;
    double uncachedWork;
    double slowness;
    double likelyAttemptTime;
    bool isIdempotent;
    bool fits;
};

} // namespace

// Load pattern: requests that arrive while a host stops. Guards against orders that are passed on and then cut at the end of the host, and against
// rejections of requests that the host can complete, which cost callers one of few retries.
ParameterizedTestParameters(StopAdmission, fitsBeforeStop)
{
    static StopCase cases[] = {
        {"upload that ends late, no attempt seen yet", 1700, 6000, 0, 2400, 1, 0, false, false},
        {"the same, idempotent", 1700, 6000, 0, 2400, 1, 0, true, false},
        {"early in the stop", 5700, 6000, 0, 960, 1, 1100, false, true},
        {"deadline before the end, whatever the work", 3100, 3000, 500, 2400, 4, 9000, false, true},
        {"deadline at the end", 3000, 3000, 0, 2400, 1, 0, false, true},
        {"deadline just after the end", 3000, 3001, 0, 2400, 1, 0, false, false},
        {"mean fits, longest doesn't", 1500, 6000, 0, 960, 1, 900, true, false},
        {"longest fits", 1600, 6000, 0, 960, 1, 900, true, true},
        {"longest fits, but not for a request that runs once", 1600, 6000, 0, 960, 1, 900, false, false},
        {"room for a request that runs once", 2300, 6000, 0, 960, 1, 900, false, true},
        {"queue at the upstream", 1600, 6000, 200, 960, 1, 900, true, false},
        {"slow upstream", 2400, 6000, 0, 960, 2, 900, true, false},
        {"fast upstream gives no room: its key may be gone", 1400, 6000, 0, 960, 0.5, 900, true, false},
        {"attempts take longer than the expected work", 1600, 6000, 0, 480, 1, 2000, true, false},
        {"long work at the start of the stop", 5700, 20000, 0, 2400, 1, 6000, true, false},
        {"after the end", -10, 6000, 0, 1, 1, 1, true, false},
        {"response needs its way to the caller", 90, 6000, 0, 1, 1, 1, true, false},
    };
    return cr_make_param_array(StopCase, cases, std::size(cases));
}

ParameterizedTest(StopCase *testCase, StopAdmission, fitsBeforeStop)
{
    StopAdmissionQuery query;
    query.now = s_now;
    query.hostEnd = s_now + std::chrono::milliseconds(testCase->hostEnd);
    query.deadline = s_now + std::chrono::milliseconds(testCase->deadline);
    query.expectedWait = Milliseconds(testCase->expectedWait);
    query.uncachedWork = Milliseconds(testCase->uncachedWork);
    query.slowness = testCase->slowness;
    query.likelyAttemptTime = Milliseconds(testCase->likelyAttemptTime);
    query.isIdempotent = testCase->isIdempotent;
    cr_assert_eq(fitsBeforeStop(query), testCase->fits, "%s", testCase->name);
}

// Guards against upstreams that work for a host that has ended, and against a deadline that is later than the caller's.
Test(StopAdmission, upstreamsGetNoDeadlineAfterTheEnd)
{
    cr_assert(deadlineForUpstream(s_now + 3s, std::nullopt) == s_now + 3s);
    cr_assert(deadlineForUpstream(s_now + 3s, s_now + 6s) == s_now + 3s);
    cr_assert(deadlineForUpstream(s_now + 20s, s_now + 6s) < s_now + 6s);
    cr_assert(deadlineForUpstream(s_now + 20s, s_now + 6s) > s_now + 5800ms);
}
