#include <LibReplication/subscriptionwait.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

struct WaitCase
{
    char name[48];
    int age;
    /// -1 where the subscriber has to call the store.
    int wait;
};

/// Timing for changes that must be in force within 2 s.
constexpr PublisherTiming s_timing{300ms, 700ms, 200ms};

} // namespace

// Guards against a change that is in force too late because a publisher lost its call to the store and then hung: its subscribers waited
// for the whole hold time and margin although their copy was already old.
ParameterizedTestParameters(SubscriptionWait, olderCopiesWaitForLess)
{
    static WaitCase cases[] = {
        {"just confirmed", 0, 700},
        {"the usual age", 700, 700},
        {"the publisher has lost a call", 1100, 300},
        {"the publisher is about to refuse", 1200, 200},
        {"little is left", 1399, 1},
        {"too old", 1400, -1},
        {"far too old", 5000, -1},
    };
    return cr_make_param_array(WaitCase, cases, std::size(cases));
}

ParameterizedTest(WaitCase *testCase, SubscriptionWait, olderCopiesWaitForLess)
{
    const auto wait = subscriptionWait(std::chrono::milliseconds(testCase->age), s_timing);
    cr_assert_eq(wait ? wait->count() : -1, testCase->wait, "%s", testCase->name);
}

// Guards against an age at which lost responses are noticed only after a change must be in force.
Test(SubscriptionWait, aLostResponseIsNoticedInTime)
{
    for (std::chrono::milliseconds age = 0ms; age < 1400ms; age += 1ms) {
        const auto noticed = age + subscriptionWait(age, s_timing).value() + s_timing.responseMargin;
        cr_assert(noticed <= 1600ms, "%ld after %ld ms", static_cast<long>(noticed.count()), static_cast<long>(age.count()));
    }
}
