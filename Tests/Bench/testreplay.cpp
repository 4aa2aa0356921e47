#include <Bench/Replay/replay.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil::Replay;

namespace
{

struct PatternCase
{
    std::size_t index;
};

} // namespace

// Load patterns: from half to 2.6 times the slots, a burst, a slow upstream and one that sheds. Guards against decisions that serve
// callers worse than a plain policy does, over all requests and for the most urgent ones. To send each key to its first upstream is
// as good while there is room; it is compared where there is none.
ParameterizedTestParameters(Replay, ownPolicyAgainstPlainOnes)
{
    static std::vector<PatternCase> cases;
    for (std::size_t i = 0; i < allPatterns().size(); ++i) {
        cases.push_back({i});
    }
    return cr_make_param_array(PatternCase, cases.data(), cases.size());
}

ParameterizedTest(PatternCase *testCase, Replay, ownPolicyAgainstPlainOnes)
{
    const Pattern &pattern = allPatterns()[testCase->index];
    constexpr std::uint64_t seeds = 3;
    for (const Policy policy : {Policy::RoundRobin, Policy::LeastLoaded, Policy::TwoChoices, Policy::AffinityOnly}) {
        if (policy == Policy::AffinityOnly && pattern.load * pattern.burst <= 1) {
            continue;
        }
        double gain = 0;
        double urgentGain = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Score own = play(pattern, Policy::Own, seed);
            const Score plain = play(pattern, policy, seed);
            gain += own.total - plain.total;
            urgentGain += own.urgent - plain.urgent;
        }
        cr_assert(gain >= 0, "%s: %f less than %s", pattern.name.c_str(), -gain / seeds, toText(policy).data());
        cr_assert(urgentGain >= 0, "%s: urgent requests %f less than %s", pattern.name.c_str(), -urgentGain / seeds, toText(policy).data());
    }
}

// Load pattern: 1.9 times the slots for 40 s. Guards against overload that keeps itself up: where keys spread as soon as there is a
// queue, cold work at idle upstreams takes the time in which warm ones would serve twice as much.
Test(Replay, stayingAtWarmUpstreamsEndsAnOverload)
{
    Pattern overload;
    overload.load = 1.9;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Score own = play(overload, Policy::Own, seed);
        const Score spreading = play(overload, Policy::OwnSpreading, seed);
        cr_assert(own.total >= spreading.total + 0.1, "seed %lu: %f, spreading %f", static_cast<unsigned long>(seed), own.total, spreading.total);
        cr_assert(own.urgent >= spreading.urgent, "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Load pattern: slots that short urgent work shares with long work of a low rank, at 2.2 times what they do. Guards against long work
// that takes the slots: without its price, urgent requests wait behind it until they are late.
Test(Replay, longWorkOfLowRankYieldsToUrgentWork)
{
    const auto pattern = std::find_if(allPatterns().begin(), allPatterns().end(), [](const Pattern &each) { return each.name == "long work of low rank 2.2"; });
    cr_assert(pattern != allPatterns().end());
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Score own = play(*pattern, Policy::Own, seed);
        const Score unpriced = play(*pattern, Policy::OwnWithoutPrice, seed);
        cr_assert(own.total >= unpriced.total + 0.1, "seed %lu: %f, without a price %f", static_cast<unsigned long>(seed), own.total, unpriced.total);
        cr_assert(own.urgent >= unpriced.urgent + 0.1, "seed %lu: %f, without a price %f", static_cast<unsigned long>(seed), own.urgent, unpriced.urgent);
    }
}

// Load patterns: long tails, keys of different cost and uneven machines, at 0.7 to 1.8 times the slots. Guards against a learned cost and remaining
// work with which callers are served worse than by hosts that read three load figures only.
Test(Replay, learnedCostIsNoLoss)
{
    constexpr std::uint64_t seeds = 10;
    for (const Pattern &pattern : costPatterns()) {
        double gain = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            gain += play(pattern, Policy::Own, seed).total - play(pattern, Policy::OwnWithThreeFigures, seed).total;
        }
        cr_assert(gain >= 0, "%s: %f less", pattern.name.c_str(), -gain / seeds);
    }
}
