#include <LibSteering/affinityranking.h>
#include <LibSteering/remainingwork.h>
#include <LibSteering/requestcost.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <pcg_random.hpp>
#include <random>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

using Milliseconds = RequestCost::Milliseconds;

const BootTime s_start{1h};
const std::uint64_t s_key = stableHash("key");

RequestCost learned(Milliseconds work)
{
    RequestCost cost(600ms);
    for (int i = 0; i < 300; ++i) {
        cost.record(CacheState::Cached, {}, work);
    }
    return cost;
}

struct FeatureCase
{
    char name[32];
    CostFeatures dear;
    CostFeatures other;
};

struct WaitCase
{
    char name[48];
    /// Requests of this host, each with 100 ms of work, and how long they have run.
    int own;
    int ownElapsed;
    /// Requests of other hosts, each with 100 ms of work.
    double others;
    double minimum;
    double maximum;
};

} // namespace

// Load pattern: requests of one route that cost differently by customer, size or key. Guards against a group that is not learned, and against one
// whose cost is charged to others.
ParameterizedTestParameters(RequestCost, groupsAreLearned)
{
    static FeatureCase cases[] = {
        {"customer", {1, 0, 0}, {2, 0, 0}},
        {"size", {0, 0, 90'000}, {0, 0, 100}},
        {"key", {0, s_key, 0}, {0, s_key + 1, 0}},
        {"key of one customer", {1, s_key, 100}, {1, s_key + 1, 100}},
    };
    return cr_make_param_array(FeatureCase, cases, std::size(cases));
}

ParameterizedTest(FeatureCase *testCase, RequestCost, groupsAreLearned)
{
    RequestCost cost(600ms);
    for (int i = 0; i < 400; ++i) {
        cost.record(CacheState::Cached, testCase->dear, 400ms);
        cost.record(CacheState::Cached, testCase->other, 100ms);
    }
    cr_assert_float_eq(cost.expected(CacheState::Cached, testCase->dear).count(), 400, 80, "%s", testCase->name);
    cr_assert_float_eq(cost.expected(CacheState::Cached, testCase->other).count(), 100, 20, "%s", testCase->name);
}

// Load pattern: customers and keys that are seen for the first time. Guards against an estimate that a single sample decides, and against one that
// ignores the coarser group.
Test(RequestCost, fewSamplesFallBackToTheCoarserGroup)
{
    RequestCost cost = learned(100ms);
    const CostFeatures unknown{7, s_key, 0};
    cr_assert_float_eq(cost.expected(CacheState::Cached, unknown).count(), 100, 1);
    cost.record(CacheState::Cached, unknown, 300ms);
    const double once = cost.expected(CacheState::Cached, unknown).count();
    cr_assert(once > 105 && once < 200, "%f", once);
}

// Load pattern: 3% of the requests take 7 times as long. Guards against means that one long sample spoils for the requests after it.
Test(RequestCost, longSamplesDoNotSpoilTheMean)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        pcg32 random(seed);
        RequestCost cost = learned(100ms);
        double highest = 0;
        double sum = 0;
        for (int i = 0; i < 3000; ++i) {
            cost.record(CacheState::Cached, {}, random(100) < 3 ? 700ms : 100ms);
            const double expected = cost.expected(CacheState::Cached, {}).count();
            highest = std::max(highest, expected);
            sum += expected / 3000;
        }
        // The mean of all samples is 118 ms, and a plain moving average of the same weight reaches 160 ms after one long sample.
        cr_assert(sum > 95 && sum < 118, "seed %lu: %f", static_cast<unsigned long>(seed), sum);
        cr_assert(highest < 160, "seed %lu: %f", static_cast<unsigned long>(seed), highest);
    }
}

// Load pattern: a route whose work becomes five times as long for good. Guards against a bound on samples that keeps the estimate low.
Test(RequestCost, lastingChangesAreLearned)
{
    RequestCost cost = learned(100ms);
    for (int i = 0; i < 60; ++i) {
        cost.record(CacheState::Cached, {}, 500ms);
    }
    cr_assert(cost.expected(CacheState::Cached, {}).count() > 400);
    cr_assert(learned(100ms).spread() < 0.05);
}

// Load pattern: more keys than the table has entries. Guards against memory that grows with the keys, and against an estimate of one key that is used
// for another one that shares its entry.
Test(RequestCost, manyKeysShareABoundedTable)
{
    RequestCost cost = learned(100ms);
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        cost.record(CacheState::Cached, {0, stableHash(std::to_string(i)), 0}, i % 2 == 0 ? 50ms : 150ms);
    }
    const double unseen = cost.expected(CacheState::Cached, {0, stableHash("unseen"), 0}).count();
    cr_assert(unseen > 60 && unseen < 140, "%f", unseen);
}

// Load pattern: long tails. Guards against a long request that is expected to end soon because it has already run for longer than the mean.
Test(RequestCost, longRunningRequestsRunOn)
{
    pcg32 random(3);
    RequestCost cost = learned(100ms);
    for (int i = 0; i < 1000; ++i) {
        cost.record(CacheState::Cached, {}, random(100) < 3 ? 700ms : 100ms);
    }
    cr_assert(cost.remainingRatio(0.5) < 1, "%f", cost.remainingRatio(0.5));
    cr_assert(cost.remainingRatio(2) > 3, "%f", cost.remainingRatio(2));
    cr_assert(cost.remainingRatio(6) < cost.remainingRatio(2));
    cr_assert(cost.remainingRatio(100) > 0);
}

// Load pattern: upstreams with two slots and requests of this host and of others. Guards against a delay at an upstream with a free slot, and against
// delays that ignore how long the requests have run.
ParameterizedTestParameters(RemainingWork, waits)
{
    static WaitCase cases[] = {
        {"idle", 0, 0, 0, 0, 0},
        {"one slot free", 1, 0, 0, 0, 0},
        {"half a request of others", 1, 0, 0.5, 1, 60},
        {"just begun", 2, 0, 0, 80, 130},
        {"nearly done", 2, 90, 0, 5, 60},
        {"running for much longer", 2, 300, 0, 100, 600},
        {"others in the slots", 0, 0, 2, 10, 50},
        {"others in the queue", 0, 0, 4, 60, 150},
    };
    return cr_make_param_array(WaitCase, cases, std::size(cases));
}

ParameterizedTest(WaitCase *testCase, RemainingWork, waits)
{
    pcg32 random(4);
    RequestCost cost = learned(100ms);
    for (int i = 0; i < 1000; ++i) {
        cost.record(CacheState::Cached, {}, random(100) < 3 ? 700ms : 100ms);
    }
    RemainingWork remaining;
    std::vector<RemainingWork::Token> tokens;
    tokens.reserve(static_cast<std::size_t>(testCase->own));
    for (int i = 0; i < testCase->own; ++i) {
        tokens.push_back(remaining.recordStart(cost, 100ms, 0ms, s_start));
    }
    const BootTime now = s_start + std::chrono::milliseconds(testCase->ownElapsed);
    const double wait = remaining.wait(2, {testCase->others, 100ms}, now).count();
    cr_assert(wait >= testCase->minimum && wait <= testCase->maximum, "%s: %f", testCase->name, wait);
    for (const auto token : tokens) {
        remaining.recordEnd(token);
    }
    cr_assert_eq(remaining.ownWork(now).count(), 0);
    cr_assert_eq(remaining.wait(2, {}, now).count(), 0);
}
