#include <LibSteering/customershares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

struct ShareCase
{
    char name[48];
    /// Entitled requests per second of the customer that is asked about, and of each of nine others; then the actual ones.
    double weight;
    double otherWeight;
    int rate;
    int otherRate;
    double minimum;
    double maximum;
};

} // namespace

// Guards against a customer that takes the slots of others by sending more, and against a large customer that pays for its size alone.
ParameterizedTestParameters(CustomerShares, priceFactors)
{
    static ShareCase cases[] = {
        {"all send their part", 20, 20, 20, 20, 0.95, 1.05},
        {"a large customer sends its part", 200, 20, 200, 20, 0.95, 1.05},
        {"ten times its part", 20, 20, 200, 20, 2.0, 2.5},
        {"beside a customer that sends too much", 20, 20, 20, 60, 0.6, 0.7},
        {"all send too much alike", 20, 20, 80, 80, 0.95, 1.05},
        {"a small customer without requests", 1, 20, 0, 20, 0.6, 1},
        {"without a limit, as an average one", 0, 20, 20, 20, 0.95, 1.05},
        {"no customer has a limit", 0, 0, 20, 20, 0.95, 1.05},
    };
    return cr_make_param_array(ShareCase, cases, std::size(cases));
}

ParameterizedTest(ShareCase *testCase, CustomerShares, priceFactors)
{
    CustomerShares shares;
    std::unordered_map<std::string, double> weights{{"asked", testCase->weight}};
    for (int i = 0; i < 9; ++i) {
        weights.emplace("other " + std::to_string(i), testCase->otherWeight);
    }
    shares.setWeights(weights);
    constexpr int seconds = 8;
    BootTime now = s_start;
    for (int second = 0; second < seconds; ++second) {
        // Evenly spread over the second, in steps of a millisecond.
        for (int step = 1; step <= 1000; ++step) {
            now += 1ms;
            for (const auto &[customer, weight] : weights) {
                const int rate = customer == "asked" ? testCase->rate : testCase->otherRate;
                if (step * rate / 1000 > (step - 1) * rate / 1000) {
                    shares.recordArrival(customer, now);
                }
            }
        }
    }
    const double factor = shares.priceFactor("asked", now);
    cr_assert(factor >= testCase->minimum && factor <= testCase->maximum, "%s: %f", testCase->name, factor);
    cr_assert_float_eq(shares.priceFactor("unknown", now), 1, 1e-9);
}

// Guards against a customer that pays for a burst long after its end, and against arrivals of removed customers that are kept.
Test(CustomerShares, aBurstIsForgotten)
{
    CustomerShares shares;
    shares.setWeights({{"a", 10}, {"b", 10}});
    // A customer that sends nothing lends its part.
    shares.recordArrival("b", s_start);
    for (int i = 0; i < 200; ++i) {
        shares.recordArrival("a", s_start);
    }
    cr_assert(shares.priceFactor("a", s_start) > 1.5);
    cr_assert_float_eq(shares.priceFactor("a", s_start + 60s), 1, 0.05);
    shares.setWeights({{"b", 10}});
    cr_assert_float_eq(shares.priceFactor("a", s_start), 1, 1e-9);
}

// Guards against a small customer that pays more because each decision about it counts the request that is decided, and against one that pays for a
// chance excess: beside 20 requests per second of each of nine others it sends one request.
Test(CustomerShares, aSingleRequestIsNotCharged)
{
    for (const int requests : {1, 2}) {
        CustomerShares shares;
        std::unordered_map<std::string, double> weights{{"small", 0.1}};
        for (int i = 0; i < 9; ++i) {
            weights.emplace("other " + std::to_string(i), 20);
        }
        shares.setWeights(weights);
        BootTime now = s_start;
        for (int step = 0; step < 100; ++step) {
            now += 50ms;
            for (int i = 0; i < 9; ++i) {
                shares.recordArrival("other " + std::to_string(i), now);
            }
        }
        for (int i = 0; i < requests; ++i) {
            shares.recordArrival("small", now);
        }
        const double factor = shares.priceFactor("small", now);
        cr_assert(factor <= 1, "%d requests: %f", requests, factor);
    }
}

// Guards against customers that pay for the part of another one which has stopped sending: each of four sends 20 requests per second, a fifth one, which
// is entitled to half of the service, stops after 10 s.
Test(CustomerShares, theShareOfASilentCustomerIsLent)
{
    CustomerShares shares;
    shares.setWeights({{"large", 80}, {"a", 20}, {"b", 20}, {"c", 20}, {"d", 20}});
    BootTime now = s_start;
    for (int step = 0; step < 400; ++step) {
        now += 50ms;
        for (const char *customer : {"a", "b", "c", "d"}) {
            shares.recordArrival(customer, now);
        }
        for (int i = 0; step < 200 && i < 4; ++i) {
            shares.recordArrival("large", now);
        }
        if (step == 199) {
            cr_assert_float_eq(shares.priceFactor("a", now), 1, 0.05);
        }
    }
    cr_assert_float_eq(shares.priceFactor("a", now), 1, 0.05);
    // The customer comes back: its part counts again at once, although its count is low.
    shares.recordArrival("large", now);
    cr_assert(shares.priceFactor("large", now) <= 0.7);
}
