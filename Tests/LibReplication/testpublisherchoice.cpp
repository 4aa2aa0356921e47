#include <LibReplication/publisherchoice.h>

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

PublisherChoice choiceOf(const HostId &self)
{
    PublisherChoiceSettings settings;
    settings.self = self;
    return PublisherChoice(settings);
}

struct ZoneCase
{
    std::size_t hosts;
    std::size_t readers;
    bool isShared;
};

} // namespace

// Guards against a host that the store rejects and that waits for the store alone, because it counts itself as a publisher.
Test(PublisherChoice, aSubstituteIsAnotherHostThatReadsTheFeeds)
{
    const auto liveHosts = hosts(13);
    for (const HostId &self : liveHosts) {
        std::vector<HostId> others = liveHosts;
        others.erase(std::find(others.begin(), others.end(), self));
        PublisherChoice choice = choiceOf(self);
        const auto substitute = choice.substitute(liveHosts, s_start);
        cr_assert(substitute && std::holds_alternative<PublisherRole>(choiceOf(*substitute).role(others, s_start)));
        choice.exclude(*substitute, s_start + 1s);
        cr_assert_neq(choice.substitute(liveHosts, s_start), substitute);
    }
    cr_assert_eq(choiceOf(HostId("host-0")).substitute(hosts(2), s_start), HostId("host-1"));
    cr_assert_not(choiceOf(HostId("host-0")).substitute(hosts(1), s_start));
}

// Load pattern: large configurations in quick succession in a zone whose hosts have unequal links. Guards against a publisher with a narrow link, which
// needs seconds to send a change to its subscribers, so that these give it up and call the store.
Test(PublisherChoice, hostsWithWideLinksPublish)
{
    PublisherChoiceSettings settings;
    settings.self = HostId("host-0");
    settings.linkMegabits = [](const HostId &host) {
        return host == HostId("host-3") || host == HostId("host-7") ? 200.0 : host == HostId("host-9") ? 0.0 : 10.0;
    };
    const std::set<HostId> wide = {HostId("host-3"), HostId("host-7")};
    for (const std::size_t count : {13, 24}) {
        const auto publishers = publishersAmong(hosts(count), settings);
        cr_assert(std::set<HostId>(publishers.begin(), publishers.end()) == wide, "%zu hosts", count);
    }
    cr_assert_eq(wide.count(publishersAmong(hosts(12), settings).front()), 1);
    const auto three = publishersAmong(hosts(25), settings);
    cr_assert(three.size() == 3 && three.back() != HostId("host-9") && wide.count(three.back()) == 0);
    settings.linkMegabits = [](const HostId &) { return 10.0; };
    PublisherChoiceSettings equal;
    cr_assert(publishersAmong(hosts(25), settings) == publishersAmong(hosts(25), equal), "equal links change nothing");
}

// Load pattern: a change that all hosts of a large deployment read at once. Guards against a load of the store that grows with the
// number of hosts, against hosts that disagree, and against a single publisher that serves all of them.
ParameterizedTestParameters(PublisherChoice, hostsAgreeOnFewPublishers)
{
    static ZoneCase cases[] = {{1, 1, false}, {2, 2, false}, {4, 4, false}, {5, 1, true}, {12, 1, true}, {13, 2, true}, {50, 5, true}};
    return cr_make_param_array(ZoneCase, cases, std::size(cases));
}

ParameterizedTest(ZoneCase *testCase, PublisherChoice, hostsAgreeOnFewPublishers)
{
    const auto liveHosts = hosts(testCase->hosts);
    std::set<HostId> readers;
    std::map<HostId, std::size_t> subscribers;
    for (const HostId &host : liveHosts) {
        const FeedRole role = choiceOf(host).role(liveHosts, s_start);
        if (const auto *subscribes = std::get_if<SubscriberRole>(&role)) {
            ++subscribers[subscribes->publisher];
        } else {
            readers.insert(host);
            cr_assert_eq(std::holds_alternative<PublisherRole>(role), testCase->isShared);
        }
    }
    cr_assert_eq(readers.size(), testCase->readers);
    for (const auto &[publisher, count] : subscribers) {
        cr_assert(readers.count(publisher) == 1, "a host subscribes to a host that is not a publisher");
        cr_assert_leq(count, 24, "%zu of %zu hosts subscribe to one publisher", count, testCase->hosts);
    }
}

// Guards against subscribers that stay with an unresponsive publisher, and against hosts that subscribe to one that is no publisher.
Test(PublisherChoice, excludedPublishersAreSkipped)
{
    const auto liveHosts = hosts(20);
    const auto subscriber = std::find_if(liveHosts.begin(), liveHosts.end(), [&liveHosts](const HostId &host) {
        return std::holds_alternative<SubscriberRole>(choiceOf(host).role(liveHosts, s_start));
    });
    PublisherChoice choice = choiceOf(*subscriber);
    std::set<HostId> excluded;
    FeedRole role = choice.role(liveHosts, s_start);
    while (const auto *subscribes = std::get_if<SubscriberRole>(&role)) {
        cr_assert(excluded.insert(subscribes->publisher).second, "an excluded publisher is chosen");
        cr_assert(std::holds_alternative<PublisherRole>(choiceOf(subscribes->publisher).role(liveHosts, s_start)));
        choice.exclude(subscribes->publisher, s_start + 5s);
        role = choice.role(liveHosts, s_start);
    }
    cr_assert_eq(excluded.size(), 2);
    cr_assert(std::holds_alternative<StandaloneRole>(role));
    cr_assert(std::holds_alternative<SubscriberRole>(choice.role(liveHosts, s_start + 5s)), "publishers are not chosen again after their exclusion");
}
