#include <LibSteering/regionload.h>

#include <cmath>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct EstimateCase
{
    double reportedLoad;
    double ownRequestsPerSlot;
    double hosts;
    double expected;
    int reports;
    bool hasEnoughReports;
    char name[40];
};

} // namespace

// Load pattern: the first seconds of a process, in which reports are missing or come from the time before the load. Guards against hosts that take full
// upstreams for idle ones.
ParameterizedTestParameters(RegionLoad, estimates)
{
    static EstimateCase cases[] = {
        {0, 0, 4, 0, 0, false, "nothing sent"},
        {0, 0.5, 1, 0.5, 0, false, "one host"},
        {0, 0.25, 4, 1, 0, false, "four hosts that send as much"},
        {0, 0.25, 0, 0, 0, false, "no other host is known"},
        {0, 0.25, 4, 1, 10, false, "few reports of idle upstreams"},
        {1.5, 0.1, 4, 1.06, 30, false, "few reports of a higher load"},
        {1, 0.25, 4, 1, 50, true, "enough reports"},
        {9, 0, 4, 1.5, 300, true, "reports of long queues"},
    };
    return cr_make_param_array(EstimateCase, cases, std::size(cases));
}

ParameterizedTest(EstimateCase *testCase, RegionLoad, estimates)
{
    RegionLoad load;
    for (int i = 0; i < testCase->reports; ++i) {
        load.recordReport(testCase->reportedLoad);
    }
    const double estimate = load.estimate(testCase->ownRequestsPerSlot, testCase->hosts);
    cr_assert(std::abs(estimate - testCase->expected) < 0.01, "%s: %f", testCase->name, estimate);
    cr_assert_eq(load.hasEnoughReports(), testCase->hasEnoughReports, "%s", testCase->name);
}
