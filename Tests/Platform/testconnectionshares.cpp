#include <platform/connectionshares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace Trefoil::Platform;

namespace
{

struct ShareCase
{
    double memory;
    double descriptors;
    std::size_t callers;
    std::size_t lookups;
    std::size_t metrics;
};

} // namespace

// Guards against servers that together accept more connections than the host has memory or descriptors for.
ParameterizedTestParameters(ConnectionShares, keepWithinTheHost)
{
    static ShareCase cases[] = {
        {48, 400, 100, 25, 12},
        {160, 4100, 533, 133, 66},
        {512, 8192, 1706, 426, 213},
        // Without known descriptors the memory decides.
        {160, 0, 533, 133, 66},
        // Fewer descriptors than files use.
        {160, 100, 4, 4, 4},
        {1000000, 0, 4096, 4096, 4096},
    };
    return cr_make_param_array(ShareCase, cases, std::size(cases));
}

ParameterizedTest(ShareCase *testCase, ConnectionShares, keepWithinTheHost)
{
    GatewayLimits limits;
    limits.memory = testCase->memory;
    limits.descriptors = testCase->descriptors;
    const auto shares = connectionSharesFor(limits);
    cr_expect_eq(shares.callers, testCase->callers, "%zu", shares.callers);
    cr_expect_eq(shares.lookups, testCase->lookups, "%zu", shares.lookups);
    cr_expect_eq(shares.metrics, testCase->metrics, "%zu", shares.metrics);
    cr_expect_eq(shares.readiness, testCase->metrics, "%zu", shares.readiness);
}
