#include <LibReplication/feederchoice.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <set>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

std::vector<HostId> hosts(std::size_t count)
{
    std::vector<HostId> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.emplace_back("host-" + std::to_string(i));
    }
    return result;
}

FeederChoice choiceOf(const HostId &self)
{
    FeederChoiceSettings settings;
    settings.self = self;
    return FeederChoice(settings);
}

struct ZoneCase
{
    std::size_t hosts;
    std::size_t readers;
    bool isShared;
};

} // namespace

// Load pattern: a change that all hosts of a large deployment read at once. Guards against a store load that grows with the
// hosts, against hosts that disagree, and against one feeder that serves them all.
ParameterizedTestParameters(FeederChoice, hostsAgreeOnFewFeeders)
{
    static ZoneCase cases[] = {{1, 1, false}, {2, 2, false}, {4, 4, false}, {5, 1, true}, {12, 1, true}, {13, 2, true}, {50, 5, true}};
    return cr_make_param_array(ZoneCase, cases, std::size(cases));
}

ParameterizedTest(ZoneCase *testCase, FeederChoice, hostsAgreeOnFewFeeders)
{
    const auto live = hosts(testCase->hosts);
    std::set<HostId> readers;
    std::map<HostId, std::size_t> followers;
    for (const HostId &host : live) {
        const FeedRole role = choiceOf(host).role(live, s_start);
        if (const auto *follows = std::get_if<Follows>(&role)) {
            ++followers[follows->feeder];
        } else {
            readers.insert(host);
            cr_assert_eq(std::holds_alternative<ReadsForOthers>(role), testCase->isShared);
        }
    }
    cr_assert_eq(readers.size(), testCase->readers);
    for (const auto &[feeder, count] : followers) {
        cr_assert(readers.count(feeder) == 1, "a host follows one that follows another");
        cr_assert_leq(count, 24, "%zu of %zu hosts follow one", count, testCase->hosts);
    }
}

// Guards against followers that stay with a feeder which gives no answers, and against hosts that follow one which isn't a feeder.
Test(FeederChoice, distrustedFeedersAreLeftOut)
{
    const auto live = hosts(20);
    const auto follower =
        std::find_if(live.begin(), live.end(), [&live](const HostId &host) { return std::holds_alternative<Follows>(choiceOf(host).role(live, s_start)); });
    FeederChoice choice = choiceOf(*follower);
    std::set<HostId> asked;
    FeedRole role = choice.role(live, s_start);
    while (const auto *follows = std::get_if<Follows>(&role)) {
        cr_assert(asked.insert(follows->feeder).second, "asked twice");
        cr_assert(std::holds_alternative<ReadsForOthers>(choiceOf(follows->feeder).role(live, s_start)));
        choice.distrust(follows->feeder, s_start + 5s);
        role = choice.role(live, s_start);
    }
    cr_assert_eq(asked.size(), 2);
    cr_assert(std::holds_alternative<ReadsForItself>(role));
    cr_assert(std::holds_alternative<Follows>(choice.role(live, s_start + 5s)), "feeders are asked again later");
}
