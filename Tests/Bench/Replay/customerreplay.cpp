#include <Bench/Replay/customerreplay.h>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Trefoil::Replay
{

namespace
{

constexpr double s_largestShare = 0.2;
/// Rank of the medium customer that sends too much, with a twentieth of the traffic.
constexpr std::size_t s_mediumCustomer = 6;

/// Twenty customers: one with a fifth of the traffic, and nineteen that each send 0.85 of the one before them, from an eighth to 0.7% of the traffic.
std::vector<CustomerLoad> unevenCustomers()
{
    constexpr int others = 19;
    constexpr double ratio = 0.85;
    std::vector<CustomerLoad> customers{{"largest", s_largestShare}};
    double share = (1 - s_largestShare) * (1 - ratio) / (1 - std::pow(ratio, others));
    for (int i = 1; i <= others; ++i) {
        customers.push_back({fmt::format("customer {}", i), share});
        share *= ratio;
    }
    return customers;
}

Pattern evenOverload(double load)
{
    Pattern pattern;
    pattern.name = fmt::format("customers, load {}", load);
    pattern.load = load;
    pattern.customers = unevenCustomers();
    return pattern;
}

/// One customer sends a multiple of its rate while the others together send a given load.
Pattern surgeOf(std::size_t customer, double surge, double loadOfOthers)
{
    Pattern pattern;
    pattern.customers = unevenCustomers();
    CustomerLoad &sender = pattern.customers[customer];
    sender.surge = surge;
    pattern.name = fmt::format("{} customer {} times, others {}", customer == 0 ? "largest" : "medium", surge, loadOfOthers);
    pattern.load = loadOfOthers / (1 - sender.share);
    return pattern;
}

/// A customer with less than one request per second beside eleven large ones.
Pattern smallCustomer(double load)
{
    constexpr int large = 10;
    constexpr double smallShare = 0.01;
    Pattern pattern;
    pattern.name = fmt::format("small customer, load {}", load);
    pattern.load = load;
    pattern.customers = {{"small", smallShare}, {"largest", s_largestShare}};
    for (int i = 0; i < large; ++i) {
        pattern.customers.push_back({fmt::format("large {}", i), (1 - s_largestShare - smallShare) / large});
    }
    return pattern;
}

Pattern stoppedCustomer(double load)
{
    Pattern pattern = evenOverload(load);
    pattern.name = fmt::format("largest customer stops, load {}", load);
    pattern.customers[0].surge = 0;
    return pattern;
}

double servedShare(const CustomerCount &count)
{
    return count.served / std::max(count.arrived, 1.0);
}

CustomerCount sumOf(const std::vector<CustomerCount> &counts, std::size_t number)
{
    CustomerCount sum;
    for (std::size_t i = 0; i < number; ++i) {
        sum.arrived += counts[i].arrived;
        sum.served += counts[i].served;
    }
    return sum;
}

void sortByServedShare(std::vector<CustomerCount> &counts)
{
    std::sort(counts.begin(), counts.end(), [](const CustomerCount &a, const CustomerCount &b) { return servedShare(a) < servedShare(b); });
}

/// Served share of the worst tenth, rounded up. Precondition: counts are sorted by served share.
double worstTenthOf(const std::vector<CustomerCount> &counts)
{
    return servedShare(sumOf(counts, (counts.size() + 9) / 10));
}

} // namespace

const std::vector<Pattern> &customerPatterns()
{
    static const std::vector<Pattern> all = {
        evenOverload(1.4),
        evenOverload(1.9),
        surgeOf(s_mediumCustomer, 7.5, 0.9),
        surgeOf(s_mediumCustomer, 10, 0.9),
        surgeOf(s_mediumCustomer, 7.5, 1.4),
        surgeOf(s_mediumCustomer, 10, 1.4),
        surgeOf(0, 7.5, 0.9),
        surgeOf(0, 7.5, 1.4),
        smallCustomer(1.4),
        smallCustomer(1.9),
        stoppedCustomer(1.9),
    };
    return all;
}

const std::vector<Policy> &customerPolicies()
{
    static const std::vector<Policy> all = {Policy::OwnWithoutCustomerShares, Policy::Own};
    return all;
}

CustomerScore playCustomers(const Pattern &pattern, Policy policy, std::uint64_t seeds)
{
    const auto plays = static_cast<double>(seeds);
    CustomerScore result;
    std::vector<CustomerCount> counts(pattern.customers.size());
    double squares = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Score score = play(pattern, policy, seed);
        result.worth += score.total / plays;
        squares += score.total * score.total / plays;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            counts[i].arrived += score.customers[i].arrived;
            counts[i].served += score.customers[i].served;
        }
    }
    result.spread = std::sqrt(std::max(0.0, squares - result.worth * result.worth));
    std::vector<CustomerCount> sending;
    std::vector<CustomerCount> withinRate;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].arrived <= 0) {
            continue;
        }
        sending.push_back(counts[i]);
        if (pattern.customers[i].surge > 1) {
            result.sender = servedShare(counts[i]);
            continue;
        }
        withinRate.push_back(counts[i]);
    }
    sortByServedShare(sending);
    sortByServedShare(withinRate);
    result.all = servedShare(sumOf(sending, sending.size()));
    result.others = servedShare(sumOf(withinRate, withinRate.size()));
    result.worstTenth = worstTenthOf(sending);
    result.worstTenthWithinRate = worstTenthOf(withinRate);
    const double worstTenthArrived = sumOf(withinRate, (withinRate.size() + 9) / 10).arrived;
    result.worstTenthError = std::sqrt(result.worstTenthWithinRate * (1 - result.worstTenthWithinRate) / worstTenthArrived);
    result.worstWithinRate = servedShare(withinRate.front());
    return result;
}

} // namespace Trefoil::Replay
