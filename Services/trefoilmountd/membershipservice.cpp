#include <Services/trefoilmountd/membershipservice.h>

#include <LibMembership/member.h>
#include <LibStore/hostlistclient.h>
#include <LibStore/tableclient.h>
#include <LibTelemetry/log.h>

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>

namespace Trefoil
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds s_tickInterval{100};
/// With the lag of the list itself and one polling interval, a leaving upstream is detected within 5 s; polling an unchanged
/// list transfers only headers.
constexpr milliseconds s_listInterval{1000};
constexpr BootClock::duration s_listTimeout = milliseconds(2000);
/// Look-up responses are valid for 5 s; the host serves for one second longer.
constexpr BootClock::duration s_lookupLifetimeAndMargin = std::chrono::seconds(6);
/// Rate limits of membership's calls to the store: a host writes about once in 10 s, and a few times at its start.
constexpr double s_writesPerSecond = 10;
constexpr double s_readsPerSecond = 10;
/// Minimum interval between views with new hosts or free-slot counts; other changes are published immediately.
constexpr BootClock::duration s_viewInterval = milliseconds(200);

StoreSettings storeSettings(const std::string &address, const HostSettings &settings)
{
    return {address, settings.sourceAddress, s_writesPerSecond, s_readsPerSecond};
}

/// Three missed heartbeats. The view shows free slots of a terminated host for no longer than this.
constexpr BootClock::duration s_heartbeatTimeout = milliseconds(1500);

} // namespace

class MembershipService::Implementation : public std::enable_shared_from_this<MembershipService::Implementation>
{
public:
    Implementation(asio::io_context &context, const HostSettings &settings, Incarnation incarnation, HostState &state, PeerTransport transport)
        : m_context(context)
        , m_settings(settings)
        , m_state(state)
        , m_transport(std::move(transport))
        , m_table(context, storeSettings(settings.tableAddress, settings))
        , m_list(context, storeSettings(settings.hostListAddress, settings))
        , m_member(memberSettings(incarnation), BootClock::now())
        , m_tickTimer(context)
        , m_listTimer(context)
    {
    }

    void start()
    {
        asio::spawn(m_context, [self = shared_from_this()](const asio::yield_context &yield) { self->pollHostList(yield); });
        tick();
    }

    void stop()
    {
        m_stopped = true;
        m_tickTimer.cancel();
        m_listTimer.cancel();
    }

    void handle(const HostId &from, const PeerMessage &message)
    {
        if (std::holds_alternative<Heartbeat>(message)) {
            m_lastHeartbeat[from] = BootClock::now();
        }
        m_member.receive(from, message, BootClock::now());
        processActions();
    }

    void onConfiguration(const Configuration &configuration)
    {
        m_resources = resourcesOf(configuration, m_settings.region);
        m_member.setConfiguration(configuration.version, m_resources, BootClock::now());
        updateSlots();
        m_publishedLimits.clear();
        // A changed interval creates a new shift window, whose grant is still zero.
        publishRates();
        processActions();
    }

    void setConnectionUsage(std::function<ConnectionCount(const UpstreamId &)> usage)
    {
        m_connectionUsage = std::move(usage);
    }

    void setLeaseCondition(std::function<bool(BootTime)> condition)
    {
        m_leaseCondition = std::move(condition);
    }

    void setConfigurationListener(std::function<void(ConfigurationVersion)> listener)
    {
        m_configurationListener = std::move(listener);
    }

    void requestStop()
    {
        if (m_stopRequestedAt != BootTime()) {
            return;
        }
        m_stopRequestedAt = BootClock::now();
        m_member.startLeaving();
    }

    bool hasLeft() const
    {
        return m_member.hasLeft();
    }

private:
    MemberSettings memberSettings(Incarnation incarnation)
    {
        MemberSettings settings;
        settings.host = m_settings.host;
        settings.region = m_settings.region;
        settings.zone = m_settings.zone;
        settings.callerAddress = m_settings.advertisedCallerAddress;
        settings.peerAddress = m_settings.advertisedPeerAddress;
        settings.incarnation = incarnation;
        settings.seed = (std::uint64_t{std::random_device{}()} << 32U) ^ incarnation.value();
        settings.usage = [this](const ResourceId &resource) { return usage(resource); };
        settings.freeSlots = [this] { return freeSlots(); };
        return settings;
    }

    std::int64_t usage(const ResourceId &resource) const
    {
        for (const auto &[id, slots] : m_slots) {
            if (resource == slotsResource(id)) {
                return slots->inFlight().value();
            }
            if (m_connectionUsage && resource == connectionsResource(id)) {
                return m_connectionUsage(id).value();
            }
        }
        return 0;
    }

    SlotCount freeSlots() const
    {
        std::int32_t sum = 0;
        for (const auto &[id, slots] : m_slots) {
            sum += std::max(0, slots->granted().value() - slots->inFlight().value());
        }
        return SlotCount(sum);
    }

    void tick()
    {
        m_member.tick(BootClock::now());
        releaseWhenIdle();
        processActions();
        m_tickTimer.expires_after(s_tickInterval);
        m_tickTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_stopped) {
                self->tick();
            }
        });
    }

    void releaseWhenIdle()
    {
        const bool lookupsExpired = m_stopRequestedAt != BootTime() && BootClock::now() >= m_stopRequestedAt + s_lookupLifetimeAndMargin;
        if (!lookupsExpired || m_member.hasLeft()) {
            return;
        }
        for (const auto &[id, slots] : m_slots) {
            if (slots->inFlight() > SlotCount(0)) {
                return;
            }
        }
        // The lease ends first, so that no request starts between this check and the release.
        m_state.lease.revoke();
        m_publishedLease = BootTime();
        m_member.releaseAll(BootClock::now());
    }

    void processActions()
    {
        for (const MemberAction &action : m_member.takeActions()) {
            if (const auto *message = std::get_if<SendMessage>(&action)) {
                m_transport.send(message->to, message->message);
                continue;
            }
            request(std::get<StoreRequest>(action));
        }
        publishLease();
        publishLimits();
        publishHosts();
        reportNewerConfiguration();
    }

    void reportNewerConfiguration()
    {
        const ConfigurationVersion newest = m_member.newestConfiguration();
        if (newest > m_reportedConfiguration && m_configurationListener) {
            m_reportedConfiguration = newest;
            m_configurationListener(newest);
        }
    }

    void request(const StoreRequest &request)
    {
        asio::spawn(m_context, [self = shared_from_this(), request](const asio::yield_context &yield) {
            const StoreResponse reply = self->execute(request, yield);
            self->m_member.handleStoreResponse(request.id, reply, BootClock::now());
            self->processActions();
        });
    }

    StoreResponse execute(const StoreRequest &request, const asio::yield_context &yield)
    {
        const auto convert = [](auto result) {
            return std::visit([](auto &&value) { return StoreResponse(std::forward<decltype(value)>(value)); }, std::move(result));
        };
        if (const auto *read = std::get_if<ReadRows>(&request.operation)) {
            return convert(m_table.read(read->keys, request.deadline, yield));
        }
        return convert(m_table.transact(std::get<Transaction>(request.operation), request.deadline, yield));
    }

    void publishLease()
    {
        const bool isConditionMet = !m_leaseCondition || m_leaseCondition(BootClock::now());
        const BootTime validUntil = isConditionMet && m_member.isMember() ? m_member.leaseValidUntil() : BootTime();
        if (validUntil < m_publishedLease) {
            m_state.lease.revoke();
            writeLog(LogLevel::Warning, isConditionMet ? "membership-lost" : "configuration-outdated");
        }
        if (validUntil > m_publishedLease) {
            m_state.lease.extend(validUntil);
        }
        m_publishedLease = validUntil;
        if (m_member.isMember() != m_wasMember) {
            m_wasMember = m_member.isMember();
            writeLog(LogLevel::Info, m_wasMember ? "membership-joined" : "membership-left");
        }
    }

    void publishLimits()
    {
        auto limits = m_member.limits(BootClock::now());
        for (const auto &[id, slots] : m_slots) {
            const auto limit = limits.find(slotsResource(id));
            slots->setGranted(SlotCount(limit == limits.end() ? 0 : static_cast<std::int32_t>(limit->second)));
        }
        if (limits == m_publishedLimits) {
            return;
        }
        m_publishedLimits = std::move(limits);
        // Only upstreams with granted slots can be selected, so the view is assembled again.
        m_state.updateRouting([](RoutingView &) {});
        publishRates();
    }

    /// Sets the grants of shift windows and link budgets, which the routing view holds.
    void publishRates()
    {
        const auto view = m_state.routing.read([](const RoutingView &current) { return std::make_pair(current.services, current.links); });
        const BootTime now = BootClock::now();
        for (const auto &service : view.first) {
            service->shiftWindow->setGranted(RequestCount(publishedLimit(shiftResource(service->id))), now);
        }
        for (const LinkRouting &link : view.second) {
            link.budget->setGranted(KilobitsPerSecond(publishedLimit(linkResource(m_settings.region, link.to))), now);
        }
    }

    std::int64_t publishedLimit(const ResourceId &resource) const
    {
        const auto position = m_publishedLimits.find(resource);
        return position == m_publishedLimits.end() ? 0 : position->second;
    }

    /// Hosts that have sent heartbeats and then stopped; no requests are relayed to them until the next heartbeat arrives.
    std::set<HostId> unresponsiveHosts(BootTime now) const
    {
        std::set<HostId> unresponsive;
        for (const auto &[host, lastHeartbeat] : m_lastHeartbeat) {
            if (now - lastHeartbeat > s_heartbeatTimeout) {
                unresponsive.insert(host);
            }
        }
        return unresponsive;
    }

    void publishHosts()
    {
        const std::uint64_t revision = m_member.directory().revision();
        const BootTime now = BootClock::now();
        std::set<HostId> unresponsive = unresponsiveHosts(now);
        if ((revision == m_publishedRevision && unresponsive == m_unresponsiveHosts) || now < m_lastHostsPublished + s_viewInterval) {
            return;
        }
        m_publishedRevision = revision;
        m_unresponsiveHosts = std::move(unresponsive);
        m_lastHostsPublished = now;
        std::vector<HostRouting> hosts = {{m_settings.host,
            m_settings.region,
            m_settings.zone,
            m_settings.advertisedCallerAddress,
            m_settings.advertisedPeerAddress,
            m_stopRequestedAt != BootTime(),
            freeSlots()}};
        std::vector<PeerEndpoint> endpoints;
        for (const auto &[id, peer] : m_member.directory().peers()) {
            hosts.push_back({id,
                peer.row.region,
                peer.row.zone,
                peer.row.callerAddress,
                peer.row.peerAddress,
                peer.leaving,
                m_unresponsiveHosts.count(id) != 0 ? SlotCount(0) : peer.freeSlots});
            endpoints.push_back({id, peer.row.peerAddress});
        }
        m_transport.setPeers(endpoints);
        m_state.updateRouting([&hosts](RoutingView &view) { view.hosts = std::move(hosts); });
    }

    /// Copies the slot counters of this region's upstreams from the view, where the configuration service has set them.
    void updateSlots()
    {
        const auto upstreams = m_state.routing.read([](const RoutingView &view) { return view.upstreams; });
        m_slots.clear();
        for (const auto &upstream : upstreams) {
            m_slots[upstream->configuration.id] = upstream->slots;
        }
        publishLeavingUpstreams();
    }

    void publishLeavingUpstreams()
    {
        m_state.updateRouting([this](RoutingView &view) {
            for (auto &upstream : view.upstreams) {
                auto state = std::make_shared<UpstreamState>(*upstream);
                state->leaving = upstream->configuration.drained || m_leavingUpstreams.count(upstream->configuration.id) != 0;
                upstream = std::move(state);
            }
        });
    }

    void pollHostList(const asio::yield_context &yield)
    {
        while (!m_stopped) {
            const auto result = m_list.list(BootClock::now() + s_listTimeout, yield);
            if (const auto *list = std::get_if<HostList>(&result)) {
                applyList(*list);
            }
            m_listTimer.expires_after(s_listInterval);
            boost::system::error_code error;
            m_listTimer.async_wait(yield[error]);
        }
    }

    void applyList(const HostList &list)
    {
        m_member.setHostList(list.hosts, BootClock::now());
        std::set<UpstreamId> leaving;
        for (const ListedUpstream &upstream : list.upstreams) {
            if (upstream.leaving) {
                leaving.insert(upstream.id);
            }
        }
        if (leaving != m_leavingUpstreams) {
            m_leavingUpstreams = std::move(leaving);
            publishLeavingUpstreams();
        }
        processActions();
    }

    asio::io_context &m_context;
    HostSettings m_settings;
    HostState &m_state;
    PeerTransport m_transport;
    TableClient m_table;
    HostListClient m_list;
    std::function<ConnectionCount(const UpstreamId &)> m_connectionUsage;
    std::function<bool(BootTime)> m_leaseCondition;
    std::function<void(ConfigurationVersion)> m_configurationListener;
    ConfigurationVersion m_reportedConfiguration;
    std::map<UpstreamId, std::shared_ptr<UpstreamSlots>> m_slots;
    Member m_member;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_listTimer;
    std::vector<Resource> m_resources;
    std::set<UpstreamId> m_leavingUpstreams;
    std::map<HostId, BootTime> m_lastHeartbeat;
    std::set<HostId> m_unresponsiveHosts;
    BootTime m_stopRequestedAt;
    BootTime m_publishedLease;
    bool m_wasMember = false;
    bool m_stopped = false;
    std::map<ResourceId, std::int64_t> m_publishedLimits;
    std::uint64_t m_publishedRevision = ~std::uint64_t{0};
    BootTime m_lastHostsPublished;
};

MembershipService::MembershipService(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Result<std::unique_ptr<MembershipService>> MembershipService::create(
    asio::io_context &context, const HostSettings &settings, Incarnation incarnation, HostState &state, PeerTransport transport)
{
    if (!transport.send || !transport.setPeers) {
        return Error{ErrorCode::InvalidInput, "the membership needs a transport to other hosts"};
    }
    auto implementation = std::make_shared<Implementation>(context, settings, incarnation, state, std::move(transport));
    return std::unique_ptr<MembershipService>(new MembershipService(std::move(implementation)));
}

MembershipService::~MembershipService()
{
    m_implementation->stop();
}

void MembershipService::start()
{
    m_implementation->start();
}

void MembershipService::handle(const HostId &from, const PeerMessage &message)
{
    m_implementation->handle(from, message);
}

void MembershipService::onConfiguration(const Configuration &configuration)
{
    m_implementation->onConfiguration(configuration);
}

void MembershipService::setConnectionUsage(std::function<ConnectionCount(const UpstreamId &upstream)> usage)
{
    m_implementation->setConnectionUsage(std::move(usage));
}

void MembershipService::setLeaseCondition(std::function<bool(BootTime now)> condition)
{
    m_implementation->setLeaseCondition(std::move(condition));
}

void MembershipService::setConfigurationListener(std::function<void(ConfigurationVersion version)> listener)
{
    m_implementation->setConfigurationListener(std::move(listener));
}

void MembershipService::requestStop()
{
    m_implementation->requestStop();
}

bool MembershipService::hasLeft() const
{
    return m_implementation->hasLeft();
}

} // namespace Trefoil
