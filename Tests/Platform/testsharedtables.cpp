#include "sharingzone.h"

#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace Trefoil::Platform;
namespace asio = boost::asio;

namespace
{

using Excluded = std::set<Host *>;

/// Injects the fault and makes the change. Returns the hosts that cannot receive the change.
using Script = Excluded (*)(Zone &zone, const asio::yield_context &yield);

struct Fault
{
    const char *name;
    std::size_t hosts;
    Change change;
    Script run;
};

void hang(const std::vector<Host *> &publishers)
{
    for (Host *publisher : publishers) {
        publisher->dropsResponses = true;
    }
}

Excluded loseStore(Zone &zone, const std::vector<Host *> &publishers)
{
    for (const Host *publisher : publishers) {
        zone.store.unresponsiveTo.insert(publisher->address);
    }
    return {publishers.begin(), publishers.end()};
}

Excluded publisherCallLost(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    zone.loseNextCall(publisher);
    zone.awaitCall(publisher, yield);
    zone.change();
    return {};
}

Excluded publishersLoseStore(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    zone.awaitCall(*publishers.front(), yield);
    Excluded excluded = loseStore(zone, publishers);
    zone.change();
    return excluded;
}

Excluded publisherLosesStoreEarlier(Zone &zone, const asio::yield_context &yield)
{
    Excluded excluded = loseStore(zone, zone.publishers());
    zone.sleep(4700ms, yield);
    zone.change();
    return excluded;
}

void keepStoreUnresponsiveUntilCallOf(Zone &zone, const Host &host, std::chrono::milliseconds duration, const asio::yield_context &yield)
{
    zone.setUnresponsive(true);
    zone.sleep(duration, yield);
    zone.awaitCall(host, yield);
    zone.setUnresponsive(false);
}

template<int Milliseconds>
Excluded storeUnresponsiveUntilPublisherCalls(Zone &zone, const asio::yield_context &yield)
{
    keepStoreUnresponsiveUntilCallOf(zone, *zone.publishers().front(), std::chrono::milliseconds(Milliseconds), yield);
    zone.change();
    return {};
}

template<int Milliseconds>
Excluded storeUnresponsiveUntilSubscriberCalls(Zone &zone, const asio::yield_context &yield)
{
    keepStoreUnresponsiveUntilCallOf(zone, *zone.subscribers().front(), std::chrono::milliseconds(Milliseconds), yield);
    zone.change();
    return {};
}

Excluded publishersHang(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    zone.awaitRequest(*publishers.front(), yield);
    hang(publishers);
    zone.change();
    return {};
}

Excluded publishersHangAndAreRetried(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    hang(publishers);
    zone.sleep(2000ms, yield);
    zone.awaitRequest(*publishers.front(), yield);
    zone.change();
    return {};
}

Excluded publisherIsPaused(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    zone.awaitRequest(publisher, yield);
    publisher.isPaused = true;
    zone.change();
    return {&publisher};
}

Excluded publisherIsPausedAndResumes(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    zone.awaitRequest(publisher, yield);
    publisher.isPaused = true;
    zone.sleep(850ms, yield);
    zone.change();
    zone.sleep(650ms, yield);
    publisher.isPaused = false;
    publisher.reachableAt = BootClock::now();
    return {};
}

Excluded publisherStopsAndItsSuccessorLosesStore(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    publisher.isPaused = true;
    Host *successor = &publisher;
    zone.await(
        [&] {
            const auto publishers = zone.publishers();
            const auto found = std::find_if(publishers.begin(), publishers.end(), [&](const Host *host) { return host != &publisher; });
            successor = found == publishers.end() ? &publisher : *found;
            return successor != &publisher;
        },
        10s,
        yield);
    cr_assert_neq(successor, &publisher, "no host replaces the publisher");
    zone.sleep(1500ms, yield);
    zone.awaitCall(*successor, yield);
    Excluded excluded = loseStore(zone, {successor});
    zone.change();
    excluded.insert(&publisher);
    return excluded;
}

Excluded publisherCallAndSubscriberCallsLost(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    for (const Host *host : zone.subscribers()) {
        zone.loseNextCall(*host);
    }
    zone.loseNextCall(publisher);
    zone.awaitCall(publisher, yield);
    zone.change();
    return {};
}

Excluded publishersHangAndSubscriberCallsAreLost(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    for (const Host *host : zone.subscribers()) {
        zone.loseNextCall(*host);
    }
    zone.awaitRequest(*publishers.front(), yield);
    hang(publishers);
    zone.change();
    return {};
}

Excluded publisherLinksAreCut(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    zone.awaitRequest(publisher, yield);
    for (const Host *host : zone.subscribers()) {
        zone.cutLink(publisher, *host);
    }
    zone.change();
    return {};
}

/// The change is made when the store ends the publisher's call after its hold time.
Excluded changeAtTheEndOfACall(Zone &zone, const asio::yield_context &yield)
{
    zone.awaitCall(*zone.publishers().front(), yield);
    zone.sleep(697ms, yield);
    zone.change();
    return {};
}

/// The publisher hangs shortly before its subscribers would notice that it has lost the store.
Excluded publisherCallLostThenItHangs(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    zone.loseNextCall(publisher);
    zone.awaitCall(publisher, yield);
    zone.change();
    zone.sleep(1150ms, yield);
    hang({&publisher});
    return {};
}

Excluded publisherCallsLostOneAfterTheOther(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    for (const Host *publisher : publishers) {
        zone.loseNextCall(*publisher);
    }
    zone.awaitCall(*publishers.front(), yield);
    zone.change();
    return {};
}

Excluded storeUnresponsiveThenPublishersHang(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    keepStoreUnresponsiveUntilCallOf(zone, *publishers.front(), 3000ms, yield);
    hang(publishers);
    zone.change();
    return {};
}

Excluded storeUnresponsiveThenPublisherLosesStoreAgain(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    keepStoreUnresponsiveUntilCallOf(zone, *publishers.front(), 3000ms, yield);
    zone.sleep(1900ms, yield);
    zone.awaitCall(*publishers.front(), yield);
    Excluded excluded = loseStore(zone, publishers);
    zone.change();
    return excluded;
}

Excluded publishersHangOneAfterTheOther(Zone &zone, const asio::yield_context &yield)
{
    const auto publishers = zone.publishers();
    zone.awaitRequest(*publishers.front(), yield);
    hang({publishers.front()});
    zone.change();
    for (std::size_t i = 1; i < publishers.size(); ++i) {
        zone.sleep(600ms, yield);
        hang({publishers[i]});
    }
    return {};
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all = {
        {"no fault", 8, Change::Configuration, changeAtTheEndOfACall},
        {"a publisher's call is lost", 8, Change::Configuration, publisherCallLost},
        {"a publisher's call is lost (upstream)", 8, Change::LeavingUpstream, publisherCallLost},
        {"the publisher loses the store", 8, Change::Configuration, publishersLoseStore},
        {"the publisher loses the store (upstream)", 8, Change::LeavingUpstream, publishersLoseStore},
        {"the publisher lost the store earlier", 8, Change::Configuration, publisherLosesStoreEarlier},
        {"two publishers lose the store", 16, Change::Configuration, publishersLoseStore},
        {"two publishers lose the store (upstream)", 16, Change::LeavingUpstream, publishersLoseStore},
        {"two publishers lost the store earlier", 16, Change::Configuration, publisherLosesStoreEarlier},
        {"store unresponsive for 0.1 s, the publisher's call lost", 8, Change::Configuration, storeUnresponsiveUntilPublisherCalls<100>},
        {"store unresponsive for 1.3 s, the publisher's call lost", 8, Change::Configuration, storeUnresponsiveUntilPublisherCalls<1300>},
        {"store unresponsive for 3 s, the publisher's call lost", 8, Change::Configuration, storeUnresponsiveUntilPublisherCalls<3000>},
        {"store unresponsive for 6 s, the publisher's call lost", 8, Change::Configuration, storeUnresponsiveUntilPublisherCalls<6000>},
        {"store unresponsive for 3 s, the publisher's call lost (upstream)", 8, Change::LeavingUpstream, storeUnresponsiveUntilPublisherCalls<3000>},
        {"store unresponsive for 0.1 s, a subscriber's call lost", 8, Change::Configuration, storeUnresponsiveUntilSubscriberCalls<100>},
        {"store unresponsive for 2 s, a subscriber's call lost", 8, Change::Configuration, storeUnresponsiveUntilSubscriberCalls<2000>},
        {"store unresponsive for 3 s, a subscriber's call lost", 8, Change::Configuration, storeUnresponsiveUntilSubscriberCalls<3000>},
        {"store unresponsive for 6 s, a subscriber's call lost", 8, Change::Configuration, storeUnresponsiveUntilSubscriberCalls<6000>},
        {"store unresponsive for 3 s, a subscriber's call lost, 16 hosts", 16, Change::Configuration, storeUnresponsiveUntilSubscriberCalls<3000>},
        {"the publisher hangs", 8, Change::Configuration, publishersHang},
        {"the publisher hangs (upstream)", 8, Change::LeavingUpstream, publishersHang},
        {"two publishers hang", 16, Change::Configuration, publishersHang},
        {"three publishers hang", 26, Change::Configuration, publishersHang},
        {"the publisher hangs and is retried", 8, Change::Configuration, publishersHangAndAreRetried},
        {"three publishers hang and are retried", 26, Change::Configuration, publishersHangAndAreRetried},
        {"the publisher is paused or terminated", 8, Change::Configuration, publisherIsPaused},
        {"the publisher is paused or terminated (upstream)", 8, Change::LeavingUpstream, publisherIsPaused},
        {"the publisher is paused and resumes", 8, Change::Configuration, publisherIsPausedAndResumes},
        {"the publisher stops, its successor loses the store", 8, Change::Configuration, publisherStopsAndItsSuccessorLosesStore},
        {"the publisher's and the subscribers' calls are lost", 8, Change::Configuration, publisherCallAndSubscriberCallsLost},
        {"the publisher hangs, the subscribers' calls are lost", 8, Change::Configuration, publishersHangAndSubscriberCallsAreLost},
        {"two publishers hang, the subscribers' calls are lost", 16, Change::Configuration, publishersHangAndSubscriberCallsAreLost},
        {"the links of the publisher are cut", 8, Change::Configuration, publisherLinksAreCut},
        {"the publisher's call is lost, then it hangs", 8, Change::Configuration, publisherCallLostThenItHangs},
        {"two publishers lose a call one after the other", 16, Change::Configuration, publisherCallsLostOneAfterTheOther},
        {"two publishers hang one after the other", 16, Change::Configuration, publishersHangOneAfterTheOther},
        {"three publishers hang one after the other", 26, Change::Configuration, publishersHangOneAfterTheOther},
        {"store unresponsive, then the publisher hangs", 8, Change::Configuration, storeUnresponsiveThenPublishersHang},
        {"store unresponsive, then the publisher loses the store", 8, Change::Configuration, storeUnresponsiveThenPublisherLosesStoreAgain},
    };
    return all;
}

} // namespace

// Guards against requests that leave the regions of their route, or are sent to leaving upstreams, because a host subscribes to a
// publisher that has lost the store or no longer responds.
ParameterizedTestParameters(SharedTables, changesAreAppliedInTimeWhenAPublisherFails)
{
    static std::vector<std::size_t> cases;
    for (std::size_t i = 0; i < faults().size(); ++i) {
        cases.push_back(i);
    }
    return cr_make_param_array(std::size_t, cases.data(), cases.size());
}

ParameterizedTest(std::size_t *index, SharedTables, changesAreAppliedInTimeWhenAPublisherFails)
{
    const Fault &fault = faults()[*index];
    Zone zone(fault.hosts, fault.change);
    zone.run([&](const asio::yield_context &yield) {
        const Excluded excluded = fault.run(zone, yield);
        const std::string late = zone.lateHosts(excluded, yield);
        cr_assert(late.empty(), "%s: applied late at%s", fault.name, late.c_str());
    });
}

namespace
{

/// Injects a fault and repairs it, so that all hosts can reach the store at the end.
using ReachabilityScript = void (*)(Zone &zone, const asio::yield_context &yield);

struct StoreFault
{
    const char *name;
    ReachabilityScript run;
};

void subscriberLosesStoreAndPublisher(Zone &zone, const asio::yield_context &yield)
{
    Host &publisher = *zone.publishers().front();
    Host &subscriber = *zone.subscribers().front();
    zone.store.unresponsiveTo.insert(subscriber.address);
    zone.cutLink(publisher, subscriber);
    const bool isNoticed = zone.await([&] { return !subscriber.tables.isStoreReachable(); }, 10s, yield);
    cr_assert(isNoticed, "the host did not notice that the store is unreachable");
    zone.restoreLinks();
    const auto isSubscriber = [&] { return std::holds_alternative<SubscriberRole>(subscriber.sharing.role(BootClock::now())); };
    cr_assert(zone.await(isSubscriber, 10s, yield), "the host does not subscribe to its publisher again");
    zone.sleep(1000ms, yield);
    zone.store.unresponsiveTo.clear();
}

void publisherLosesStore(Zone &zone, const asio::yield_context &yield)
{
    zone.store.unresponsiveTo.insert(zone.publishers().front()->address);
    zone.sleep(5000ms, yield);
    zone.store.unresponsiveTo.clear();
}

template<int Milliseconds>
void storeIsUnresponsive(Zone &zone, const asio::yield_context &yield)
{
    keepStoreUnresponsiveUntilCallOf(zone, *zone.publishers().front(), std::chrono::milliseconds(Milliseconds), yield);
}

const std::vector<StoreFault> &storeFaults()
{
    static const std::vector<StoreFault> all = {
        {"a subscriber loses the store and its publisher", subscriberLosesStoreAndPublisher},
        {"the publisher loses the store", publisherLosesStore},
        {"the store is unresponsive for 3 s", storeIsUnresponsive<3000>},
        {"the store is unresponsive for 6 s", storeIsUnresponsive<6000>},
    };
    return all;
}

} // namespace

// Guards against a host that never becomes a publisher candidate again, because it has been a subscriber since it lost the store and
// does not notice that it reaches the store again.
ParameterizedTestParameters(SharedTables, hostsThatReachTheStoreAgainBecomeCandidates)
{
    static std::vector<std::size_t> cases;
    for (std::size_t i = 0; i < storeFaults().size(); ++i) {
        cases.push_back(i);
    }
    return cr_make_param_array(std::size_t, cases.data(), cases.size());
}

ParameterizedTest(std::size_t *index, SharedTables, hostsThatReachTheStoreAgainBecomeCandidates)
{
    const StoreFault &fault = storeFaults()[*index];
    Zone zone(8, Change::Configuration);
    zone.run([&](const asio::yield_context &yield) {
        fault.run(zone, yield);
        // Each host notices it within the time limit of a change, and its next beacon reports it.
        zone.sleep(2000ms + s_beaconInterval, yield);
        const std::string absent = zone.absentCandidates();
        cr_assert(absent.empty(), "%s: no publisher candidates:%s", fault.name, absent.c_str());
    });
}
