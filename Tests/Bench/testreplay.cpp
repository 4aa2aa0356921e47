#include <Bench/Replay/customerreplay.h>
#include <Bench/Replay/replay.h>

#include <algorithm>
#include <cmath>
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

// Load patterns: even overload, one customer that sends 7.5 to 10 times its rate, a small customer beside large ones, and one that stops sending.
// Guards against a customer that is hardly served because another one sends more (a deployment fails if a customer is served less than a quarter as
// often as all customers together), and against a fairness term that harms those whom it is to protect. The worst tenth is of the customers within their
// rate: the others are to be served less. With fewer seeds, the worst tenth of small customers depends on chance alone.
ParameterizedTestParameters(Replay, customersAreServedFairly)
{
    static std::vector<PatternCase> cases;
    for (std::size_t i = 0; i < customerPatterns().size(); ++i) {
        cases.push_back({i});
    }
    return cr_make_param_array(PatternCase, cases.data(), cases.size());
}

ParameterizedTest(PatternCase *testCase, Replay, customersAreServedFairly)
{
    const Pattern &pattern = customerPatterns()[testCase->index];
    constexpr std::uint64_t seeds = 100;
    const CustomerScore own = playCustomers(pattern, Policy::Own, seeds);
    const CustomerScore without = playCustomers(pattern, Policy::OwnWithoutCustomerShares, seeds);
    cr_assert(own.worstWithinRate >= own.all / 4, "%s: %f, all customers %f", pattern.name.c_str(), own.worstWithinRate, own.all);
    // Where nearly all requests are served, the two policies differ by chance in either direction.
    const double chance = 2 * std::hypot(own.worstTenthError, without.worstTenthError);
    cr_assert(own.worstTenthWithinRate >= without.worstTenthWithinRate - chance,
        "%s: worst tenth %f, without the term %f",
        pattern.name.c_str(),
        own.worstTenthWithinRate,
        without.worstTenthWithinRate);
    const bool hasSender = std::any_of(pattern.customers.begin(), pattern.customers.end(), [](const CustomerLoad &customer) { return customer.surge > 1; });
    cr_assert(!hasSender || own.sender >= own.all / 4, "%s: %f for the sender, all customers %f", pattern.name.c_str(), own.sender, own.all);
}

// Load pattern: 1.9 times the slots, of which the largest customer stops to send its fifth. Guards against a share that is kept for a customer which
// doesn't use it.
Test(Replay, theShareOfAStoppedCustomerIsUsed)
{
    constexpr std::uint64_t seeds = 10;
    const auto find = [](std::string_view name) {
        return std::find_if(customerPatterns().begin(), customerPatterns().end(), [name](const Pattern &each) { return each.name == name; });
    };
    const auto even = find("customers, load 1.9");
    const auto stopped = find("largest customer stops, load 1.9");
    cr_assert(even != customerPatterns().end() && stopped != customerPatterns().end());
    const double before = playCustomers(*even, Policy::Own, seeds).others;
    const double after = playCustomers(*stopped, Policy::Own, seeds).others;
    cr_assert(after > before, "others served %f, beside the customer %f", after, before);
}
