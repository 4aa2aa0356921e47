#include <platform/connectionshares.h>

#include <algorithm>
#include <cmath>
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
    std::size_t upstreams;
};

/// A host of a deployment, and the most connections to upstreams that callers within its limits make it need.
struct DeploymentCase
{
    char name[32];
    double memory;
    double descriptors;
    std::size_t upstreams;
    /// Of all upstreams together.
    std::size_t slots;
};

} // namespace

// Guards against servers that together accept more connections than the host has memory or descriptors for.
ParameterizedTestParameters(ConnectionShares, keepWithinTheHost)
{
    static ShareCase cases[] = {
        {48, 400, 100, 25, 12, 38},
        {160, 4100, 533, 133, 66, 2000},
        {512, 8192, 1706, 426, 213, 4096},
        // Without known descriptors the memory decides.
        {160, 0, 533, 133, 66, 2000},
        // Fewer descriptors than files use.
        {160, 100, 4, 4, 4, 4},
        {1000000, 0, 4096, 4096, 4096, 4096},
        // The descriptors are the closer bound for all shares.
        {160, 1200, 500, 125, 62, 188},
        // The memory is the closer bound for all shares.
        {48, 4100, 160, 40, 20, 600},
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
    cr_expect_eq(shares.upstreams, testCase->upstreams, "%zu", shares.upstreams);
}

// Guards against shares that together need more descriptors than the host has, of which its files use 200.
Test(ConnectionShares, allSharesFitTheDescriptors)
{
    for (int memory = 48; memory <= 4096; memory += 16) {
        for (int descriptors = 400; descriptors <= 65536; descriptors += 500) {
            GatewayLimits limits;
            limits.memory = memory;
            limits.descriptors = descriptors;
            const auto shares = connectionSharesFor(limits);
            const auto sum = static_cast<double>(shares.callers + shares.lookups + shares.readiness + shares.metrics + shares.upstreams);
            const int sockets = descriptors - 200;
            cr_expect(sum <= sockets * 15.0 / 16, "%d MB, %d descriptors: %.0f", memory, descriptors, sum);
        }
    }
}

// Guards against a limit that ordinary callers of the deployments reach: neither the requests in progress nor the connections that become idle after
// them may need as many connections.
ParameterizedTestParameters(ConnectionShares, deploymentsDoNotReachTheLimit)
{
    static DeploymentCase cases[] = {
        {"kitami, small host", 160, 4100, 204, 612},
        {"kitami, large host", 512, 8192, 204, 612},
        {"jccsa, smallest host", 373, 8192, 214, 978},
        {"jccsa, largest host", 512, 11275, 214, 978},
        {"tpceo-now, small host", 160, 4100, 306, 1310},
    };
    return cr_make_param_array(DeploymentCase, cases, std::size(cases));
}

ParameterizedTest(DeploymentCase *testCase, ConnectionShares, deploymentsDoNotReachTheLimit)
{
    constexpr double requestsInProgress = 400;
    // The requests in progress at one upstream vary like arrivals at random. A connection stays open for 60 s after its request, so that the most
    // requests of 60 s count, which are taken as independent samples of 1 s each.
    const double mean = requestsInProgress / static_cast<double>(testCase->upstreams);
    constexpr int samples = 60;
    double expectedPeak = 0;
    double probability = std::exp(-mean);
    double atMost = probability;
    for (int count = 1; count < 100; ++count) {
        expectedPeak += 1 - std::pow(atMost, samples);
        probability *= mean / count;
        atMost = std::min(1.0, atMost + probability);
    }
    const double connections = expectedPeak * static_cast<double>(testCase->upstreams);
    GatewayLimits limits;
    limits.memory = testCase->memory;
    limits.descriptors = testCase->descriptors;
    const auto limit = static_cast<double>(connectionSharesFor(limits).upstreams);
    cr_log_info("%s: %.0f connections, limit %.0f", testCase->name, connections, limit);
    cr_expect(limit > requestsInProgress, "%s: %.0f", testCase->name, limit);
    cr_expect(limit > static_cast<double>(testCase->slots), "%s: %.0f", testCase->name, limit);
    cr_expect(limit > connections, "%s: %.0f needed, limit %.0f", testCase->name, connections, limit);
}
