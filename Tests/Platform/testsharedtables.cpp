#include "storestandin.h"
#include <LibCore/sleep.h>
#include <platform/decode.h>
#include <platform/hostrows.h>
#include <platform/platformtables.h>

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <set>
#include <thread>

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr auto s_configuration = R"({{"version": "r{}", "routes": [{{"name": "route", "host": "example", "prefix": "/", "kind": "safe", "timeout": "1s",
    "service": "service", "allowed_regions": ["east"]}}], "services": [{{"name": "service"}}],
    "limits": {{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3s", "idle_timeout": "15s"}}}})";
constexpr auto s_registration = R"({{"service": "service", "address": "127.0.0.1:1", "zone": "east-a", "version": "v1", "max_concurrency": 4,
    "state": "{}", "cold_remaining": "0ms", "seq_no": {}}})";
constexpr std::chrono::milliseconds s_beaconInterval{1000};
/// Spreads the requests of the hosts over the hold time of publishers.
constexpr std::chrono::milliseconds s_startDelay{90};
/// A change that is not applied by then counts as never applied.
constexpr std::chrono::milliseconds s_maximumWait{8000};

enum class Change {
    Configuration,
    LeavingUpstream,
};

/// A host's copies of the store's tables and its feed sharing. It has a context of its own, so that it can be paused.
struct Host
{
    Host(HostId hostId, std::string sourceAddress, const std::string &storeAddress, std::chrono::milliseconds startDelay, const PeerFeed::Send &send)
        : id(std::move(hostId))
        , address(std::move(sourceAddress))
        , client(context, storeAddress, address)
        , sharing(context, choice(id), send, [this] { return state.directory().publisherCandidates(BootClock::now()); })
        , state(stateSettings(id))
        , tables(context, client, sharing, limits, state, metrics, [](const HttpInputLimits &) {})
    {
        state.directory().setSelf(registration(), HostPhase::Serving);
        asio::spawn(context, [this](const asio::yield_context &yield) { sharing.serveSubscribers(yield); });
        asio::spawn(context, [this, startDelay](const asio::yield_context &yield) {
            sleepFor(context, startDelay, yield);
            tables.start();
        });
    }

    static PublisherChoiceSettings choice(const HostId &self)
    {
        PublisherChoiceSettings settings;
        settings.self = self;
        return settings;
    }

    static GatewayStateSettings stateSettings(const HostId &self)
    {
        GatewayStateSettings settings;
        settings.host = self;
        settings.placement.zone = ZoneId("east-a");
        settings.placement.region = RegionId("east");
        settings.regions = {{ZoneId("east-a"), RegionId("east")}};
        return settings;
    }

    HostRegistration registration() const
    {
        HostRegistration registration;
        registration.id = id;
        registration.address = address + ":1";
        registration.peerAddress = address + ":2";
        registration.zone = ZoneId("east-a");
        registration.region = RegionId("east");
        registration.incarnation = 1;
        return registration;
    }

    /// Version of the configuration in force; 0 for none.
    std::uint64_t configuration() const
    {
        const auto routes = state.routes();
        return routes ? routes->configuration().version.value() : 0;
    }

    bool hasUpstream()
    {
        const auto routes = state.routes();
        const Route *route = routes ? routes->match("example", "/") : nullptr;
        return route && !state.usableUpstreams(ServiceId("service"), *route, {}, BootClock::now()).empty();
    }

    asio::io_context context{1};
    HostId id;
    /// Source address of the calls of the host to the store.
    std::string address;
    MetadataStore client;
    FeedSharing sharing;
    GatewayLimits limits;
    GatewayState state;
    GatewayMetrics metrics;
    PlatformTables tables;
    /// The context of the host does not run.
    bool isPaused = false;
    /// The host receives requests of subscribers and does not respond.
    bool dropsResponses = false;
    /// When the store last became reachable for this host.
    BootTime reachableAt{};
    BootTime appliedAt{};
};

/// Hosts of one availability zone that share the feeds of the store. Messages between them take no time.
class Zone
{
public:
    Zone(std::size_t count, Change change)
        : store(m_context)
        , m_change(change)
        , m_table(change == Change::Configuration ? operatorTable : registrationTable)
    {
        store.set(operatorTable, configurationKey, fmt::format(s_configuration, 1));
        store.set(registrationTable, "upstream", fmt::format(s_registration, "ready", 1));
        for (std::size_t i = 0; i < count; ++i) {
            const HostId id("host-" + std::to_string(i));
            const auto send = [this, id](const HostId &to, const PeerMessage &message) { deliver(id, to, message); };
            hosts.push_back(std::make_unique<Host>(id, "127.0.0." + std::to_string(10 + i), store.address(), s_startDelay * static_cast<int>(i), send));
            store.set(hostTable, id.value(), encodeHostRegistration(hosts.back()->registration()));
        }
    }

    void run(const std::function<void(const asio::yield_context &yield)> &body)
    {
        asio::spawn(m_context, [this](const asio::yield_context &yield) { beaconLoop(yield); });
        asio::spawn(m_context, [this, &body](const asio::yield_context &yield) {
            awaitSharing(yield);
            body(yield);
            m_context.stop();
        });
        while (!m_context.stopped()) {
            m_context.poll();
            for (const auto &host : hosts) {
                if (!host->isPaused) {
                    host->context.poll();
                }
            }
            std::this_thread::sleep_for(500us);
        }
    }

    void sleep(std::chrono::milliseconds time, const asio::yield_context &yield)
    {
        sleepFor(m_context, time, yield);
    }

    template<typename Condition>
    bool await(Condition condition, std::chrono::milliseconds maximum, const asio::yield_context &yield)
    {
        const BootTime start = BootClock::now();
        while (!condition() && BootClock::now() - start < maximum) {
            sleep(1ms, yield);
        }
        return condition();
    }

    /// The hosts that are publishers by their own choice.
    std::vector<Host *> publishers() const
    {
        std::vector<Host *> found;
        for (const auto &host : hosts) {
            if (std::holds_alternative<PublisherRole>(host->sharing.role(BootClock::now()))) {
                found.push_back(host.get());
            }
        }
        return found;
    }

    std::vector<Host *> subscribers() const
    {
        std::vector<Host *> found;
        for (const auto &host : hosts) {
            if (!std::holds_alternative<PublisherRole>(host->sharing.role(BootClock::now()))) {
                found.push_back(host.get());
            }
        }
        return found;
    }

    /// Waits until the next call of a host to the feed has reached the store.
    void awaitCall(const Host &host, const asio::yield_context &yield)
    {
        const int before = callsOf(host);
        cr_assert(await([&] { return callsOf(host) > before; }, 10s, yield), "%s stopped calling the store", host.id.value().c_str());
    }

    /// Waits until a request for changes has reached a host from another one.
    void awaitRequest(const Host &host, const asio::yield_context &yield)
    {
        const int before = m_requests[host.id];
        cr_assert(await([&] { return m_requests[host.id] > before; }, 15s, yield), "%s has no subscribers", host.id.value().c_str());
    }

    /// The next call of a host to the feed is dropped.
    void loseNextCall(const Host &host)
    {
        store.feedCallsToDrop[{host.address, m_table}] = 1;
    }

    bool isCallLost(const Host &host)
    {
        return store.feedCallsToDrop[{host.address, m_table}] == 0;
    }

    void restoreLinks()
    {
        m_cutLinks.clear();
    }

    void cutLink(const Host &a, const Host &b)
    {
        m_cutLinks.insert({a.id, b.id});
        m_cutLinks.insert({b.id, a.id});
    }

    /// The store responds to no host until this is called with false.
    void setUnresponsive(bool isUnresponsive)
    {
        store.setUnresponsive(isUnresponsive);
        for (const auto &host : hosts) {
            host->reachableAt = BootClock::now();
        }
    }

    /// The store acknowledges a change.
    void change()
    {
        m_changedAt = BootClock::now();
        if (m_change == Change::Configuration) {
            store.set(operatorTable, configurationKey, fmt::format(s_configuration, 2));
        } else {
            store.set(registrationTable, "upstream", fmt::format(s_registration, "draining", 2));
        }
    }

    /// Hosts that are no publisher candidates in the directory of some host.
    std::string absentCandidates() const
    {
        std::string absent;
        for (const auto &host : hosts) {
            const auto candidates = host->state.directory().publisherCandidates(BootClock::now());
            for (const auto &other : hosts) {
                if (std::find(candidates.begin(), candidates.end(), other->id) == candidates.end()) {
                    absent += fmt::format(" {} at {}", other->id.value(), host->id.value());
                }
            }
        }
        return absent;
    }

    /// Waits until the hosts have applied the change. Returns those that applied it too late, with the time since the store
    /// acknowledged it and was reachable for the host.
    std::string lateHosts(const std::set<Host *> &excluded, const asio::yield_context &yield)
    {
        const auto countPending = [&] {
            return std::count_if(hosts.begin(), hosts.end(), [&](const auto &host) { return !hasApplied(*host) && excluded.count(host.get()) == 0; });
        };
        await([&] { return countPending() == 0; }, s_maximumWait, yield);
        const auto limit = m_change == Change::Configuration ? hosts.front()->limits.configurationApply : hosts.front()->limits.drainNotice;
        std::string late;
        for (const auto &host : hosts) {
            if (excluded.count(host.get()) > 0) {
                continue;
            }
            const BootTime appliedAt = hasApplied(*host) ? host->appliedAt : BootClock::now();
            const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(appliedAt - std::max(m_changedAt, host->reachableAt));
            if (time >= limit) {
                late += fmt::format(" {} after {} ms{}", host->id.value(), time.count(), hasApplied(*host) ? "" : " never");
            }
        }
        return late;
    }

private:
    /// Declared first: must outlive everything that runs on it.
    asio::io_context m_context{1};

public:
    StoreStandIn store;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    int callsOf(const Host &host)
    {
        return store.receivedFeedCalls[{host.address, m_table}];
    }

    bool hasApplied(Host &host) const
    {
        const bool isApplied = m_change == Change::Configuration ? host.configuration() == 2 : !host.hasUpstream();
        if (isApplied && host.appliedAt == BootTime{}) {
            host.appliedAt = BootClock::now();
        }
        return isApplied;
    }

    /// Waits until only the publishers call the feed.
    void awaitSharing(const asio::yield_context &yield)
    {
        const auto isShared = [&] {
            std::map<Host *, int> before;
            for (Host *host : subscribers()) {
                before[host] = callsOf(*host);
            }
            sleep(1200ms, yield);
            return std::all_of(before.begin(), before.end(), [&](const auto &entry) { return callsOf(*entry.first) == entry.second; })
                && std::all_of(hosts.begin(), hosts.end(), [](const auto &host) { return host->configuration() == 1 && host->hasUpstream(); })
                && subscribers().size() < hosts.size();
        };
        cr_assert(await(isShared, 20s, yield), "the hosts do not share the feed");
    }

    void beaconLoop(const asio::yield_context &yield)
    {
        while (!m_context.stopped()) {
            for (const auto &from : hosts) {
                if (from->isPaused) {
                    continue;
                }
                const bool isStoreReachable = from->tables.isStoreReachable();
                for (const auto &to : hosts) {
                    asio::post(to->context, [&to = *to, &from = *from, isStoreReachable] {
                        to.state.directory().recordBeacon(from.id, HostPhase::Serving, isStoreReachable, BootClock::now());
                    });
                }
            }
            sleep(s_beaconInterval, yield);
        }
    }

    void deliver(const HostId &from, const HostId &to, const PeerMessage &message)
    {
        const auto host = [this](const HostId &id) -> Host & {
            return **std::find_if(hosts.begin(), hosts.end(), [&id](const auto &other) { return other->id == id; });
        };
        if (m_cutLinks.count({from, to}) > 0 || host(from).dropsResponses) {
            return;
        }
        asio::post(host(to).context, [this, &receiver = host(to), from, message] {
            const auto *request = std::get_if<AwaitChanges>(&message);
            m_requests[receiver.id] += request && request->table == m_table ? 1 : 0;
            receiver.sharing.receive(from, message, BootClock::now());
        });
    }

    Change m_change;
    std::string m_table;
    BootTime m_changedAt{};
    std::set<std::pair<HostId, HostId>> m_cutLinks;
    std::map<HostId, int> m_requests;
};

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
