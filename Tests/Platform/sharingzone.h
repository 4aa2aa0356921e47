#pragma once

#include "storestandin.h"
#include <LibCore/sleep.h>
#include <platform/decode.h>
#include <platform/hostrows.h>
#include <platform/platformtables.h>

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <set>
#include <thread>

/// Hosts of one availability zone in one process, each with a context of its own, and a stand-in for the store.
namespace Trefoil::Platform
{

using namespace std::chrono_literals;

inline constexpr auto s_configuration = R"({{"version": "r{}", "routes": [{{"name": "route", "host": "example", "prefix": "/", "kind": "safe", "timeout": "1s",
    "service": "service", "allowed_regions": ["east"]}}], "services": [{{"name": "service"}}],
    "limits": {{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3s", "idle_timeout": "15s"}}}})";
inline constexpr auto s_registration = R"({{"service": "service", "address": "127.0.0.1:1", "zone": "east-a", "version": "v1", "max_concurrency": 4,
    "state": "{}", "cold_remaining": "0ms", "seq_no": {}}})";
inline constexpr std::chrono::milliseconds s_beaconInterval{1000};
/// Spreads the requests of the hosts over the hold time of publishers.
inline constexpr std::chrono::milliseconds s_startDelay{90};
/// A change that is not applied by then counts as never applied.
inline constexpr std::chrono::milliseconds s_maximumWait{8000};

enum class Change {
    Configuration,
    LeavingUpstream,
};

/// A host's copies of the store's tables and its feed sharing. It has a context of its own, so that it can be paused.
struct Host
{
    Host(HostId hostId,
        std::string sourceAddress,
        const std::string &storeAddress,
        std::chrono::milliseconds startDelay,
        const GatewayLimits &hostLimits,
        const PeerFeed::Send &send)
        : id(std::move(hostId))
        , address(std::move(sourceAddress))
        , client(context, storeAddress, address)
        , limits(hostLimits)
        , sharing(context, choice(id), send, [this] { return state.directory().publisherCandidates(BootClock::now()); })
        , state(stateSettings(id))
        , tables(context, client, sharing, limits, state, metrics, [](const HttpInputLimits &) {})
    {
        state.directory().setSelf(registration(), HostPhase::Serving);
        boost::asio::spawn(context, [this](const boost::asio::yield_context &yield) { sharing.serveSubscribers(yield); });
        boost::asio::spawn(context, [this, startDelay](const boost::asio::yield_context &yield) {
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

    boost::asio::io_context context{1};
    HostId id;
    /// Source address of the calls of the host to the store.
    std::string address;
    MetadataStore client;
    GatewayLimits limits;
    FeedSharing sharing;
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
    Zone(std::size_t count, Change change, const GatewayLimits &limits = {})
        : store(m_context)
        , m_limits(limits)
        , m_change(change)
        , m_table(change == Change::Configuration ? operatorTable : registrationTable)
    {
        store.set(operatorTable, configurationKey, fmt::format(s_configuration, 1));
        store.set(registrationTable, "upstream", fmt::format(s_registration, "ready", 1));
        for (std::size_t i = 0; i < count; ++i) {
            hosts.push_back(makeHost(i, s_startDelay * static_cast<int>(i)));
            store.set(hostTable, hosts.back()->id.value(), encodeHostRegistration(hosts.back()->registration()));
        }
    }

    void run(const std::function<void(const boost::asio::yield_context &yield)> &body)
    {
        boost::asio::spawn(m_context, [this](const boost::asio::yield_context &yield) { beaconLoop(yield); });
        boost::asio::spawn(m_context, [this, &body](const boost::asio::yield_context &yield) {
            awaitSharing(yield);
            body(yield);
            m_context.stop();
        });
        while (!m_context.stopped()) {
            m_context.poll();
            for (const auto &host : hosts) {
                if (!host->isPaused) {
                    host->context.poll();
                    if (onHostRun) {
                        onHostRun(*host);
                    }
                }
            }
            std::this_thread::sleep_for(500us);
        }
    }

    void sleep(std::chrono::milliseconds time, const boost::asio::yield_context &yield)
    {
        sleepFor(m_context, time, yield);
    }

    template<typename Condition>
    bool await(Condition condition, std::chrono::milliseconds maximum, const boost::asio::yield_context &yield)
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
    void awaitCall(const Host &host, const boost::asio::yield_context &yield)
    {
        const int before = callsOf(host);
        cr_assert(await([&] { return callsOf(host) > before; }, 10s, yield), "%s stopped calling the store", host.id.value().c_str());
    }

    /// Waits until a request for changes has reached a host from another one.
    void awaitRequest(const Host &host, const boost::asio::yield_context &yield)
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

    /// Messages from one host to another are lost; those in the other direction arrive.
    void cutDirection(const Host &from, const Host &to)
    {
        m_cutLinks.insert({from.id, to.id});
    }

    /// Replaces a host by a new process that knows nothing. Precondition: not called from a coroutine of the host.
    void restart(const Host &host)
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(), [&host](const auto &other) { return other.get() == &host; });
        *found = makeHost(static_cast<std::size_t>(found - hosts.begin()), std::chrono::milliseconds(0));
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
    std::string lateHosts(const std::set<Host *> &excluded, const boost::asio::yield_context &yield)
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
    boost::asio::io_context m_context{1};

public:
    StoreStandIn store;
    std::vector<std::unique_ptr<Host>> hosts;
    /// Called each time after a host has run. Optional.
    std::function<void(Host &host)> onHostRun;

private:
    std::unique_ptr<Host> makeHost(std::size_t index, std::chrono::milliseconds startDelay)
    {
        const HostId id("host-" + std::to_string(index));
        const auto send = [this, id](const HostId &to, const PeerMessage &message) { deliver(id, to, message); };
        return std::make_unique<Host>(id, "127.0.0." + std::to_string(10 + index), store.address(), startDelay, m_limits, send);
    }
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
    void awaitSharing(const boost::asio::yield_context &yield)
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

    void beaconLoop(const boost::asio::yield_context &yield)
    {
        while (!m_context.stopped()) {
            for (const auto &from : hosts) {
                if (from->isPaused) {
                    continue;
                }
                const bool isStoreReachable = from->tables.isStoreReachable();
                for (const auto &to : hosts) {
                    // The sender may be restarted before the receiver runs.
                    boost::asio::post(to->context, [&to = *to, from = from->id, isStoreReachable] {
                        to.state.directory().recordBeacon(from, HostPhase::Serving, isStoreReachable, BootClock::now());
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
        boost::asio::post(host(to).context, [this, &receiver = host(to), from, message] {
            const auto *request = std::get_if<AwaitChanges>(&message);
            m_requests[receiver.id] += request && request->table == m_table ? 1 : 0;
            receiver.sharing.receive(from, message, BootClock::now());
        });
    }

    GatewayLimits m_limits;
    Change m_change;
    std::string m_table;
    BootTime m_changedAt{};
    std::set<std::pair<HostId, HostId>> m_cutLinks;
    std::map<HostId, int> m_requests;
};

} // namespace Trefoil::Platform
