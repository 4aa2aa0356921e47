#include <Services/trefoilmountd/controlplane.h>

#include <LibTelemetry/scrapewriter.h>

#include <utility>

namespace Trefoil
{

namespace
{

/// Each deletion covers one page of a random tenant and service, so hosts share the work without coordination.
constexpr std::chrono::seconds s_claimDeletionInterval{60};

/// 12 hosts then send at most 300 writes/s, below the several hundred that the table service accepts.
constexpr double s_writesPerSecond = 25;

StoreSettings storeSettings(const std::string &address, const HostSettings &settings)
{
    StoreSettings store;
    store.address = address;
    store.sourceAddress = settings.sourceAddress;
    store.writesPerSecond = s_writesPerSecond;
    return store;
}

} // namespace

ControlPlane::ControlPlane(Host &host, const HostSettings &settings, Incarnation incarnation)
    : m_host(host)
    , m_settings(settings)
    , m_table(host.controlContext(), storeSettings(settings.tableAddress, settings))
    , m_objects(host.controlContext(), storeSettings(settings.objectAddress, settings))
    , m_claims(host.controlContext(), m_table, settings.host, incarnation)
    , m_claimTimer(host.controlContext())
    , m_random(incarnation.value())
{
}

ControlPlane::~ControlPlane() = default;

Result<std::unique_ptr<ControlPlane>> ControlPlane::create(Host &host, const HostSettings &settings, const HostSecrets &secrets, Incarnation incarnation)
{
    std::unique_ptr<ControlPlane> plane(new ControlPlane(host, settings, incarnation));
    const auto connected = plane->connect(secrets, incarnation);
    if (connected.has_error()) {
        return connected.error();
    }
    return plane;
}

Result<void> ControlPlane::connect(const HostSecrets &secrets, Incarnation incarnation)
{
    auto &context = m_host.controlContext();
    auto peers = PeerNetwork::create(context,
        {m_settings.host, incarnation, m_settings.peerAddress, m_settings.sourceAddress, secrets.peer},
        [this](const HostId &from, const PeerMessage &message) { handle(from, message); });
    if (peers.has_error()) {
        return peers.error();
    }
    m_peers = std::move(peers.value());
    const auto send = [this](const HostId &to, const PeerMessage &message) { m_peers->send(to, message); };
    auto configuration = ConfigurationService::create(context, {m_settings.host, m_settings.region, m_settings.zone}, m_host.state(), m_table, m_objects, send);
    if (configuration.has_error()) {
        return configuration.error();
    }
    m_configuration = std::move(configuration.value());
    auto membership = MembershipService::create(
        context, m_settings, incarnation, m_host.state(), {send, [this](const std::vector<PeerEndpoint> &endpoints) { m_peers->setPeers(endpoints); }});
    if (membership.has_error()) {
        return membership.error();
    }
    m_membership = std::move(membership.value());
    m_membership->setLeaseCondition([this](BootTime now) { return m_configuration->isCurrent(now); });
    m_membership->setConfigurationListener([this](ConfigurationVersion version) { m_configuration->recordCommittedVersion(version); });
    m_configuration->addListener([this](const std::shared_ptr<const Configuration> &current) { applyConfiguration(current); });
    auto admin = AdminServer::create(context, {m_settings.adminAddress, secrets.admin}, *m_configuration, m_host.state(), adminSources());
    if (admin.has_error()) {
        return admin.error();
    }
    m_admin = std::move(admin.value());
    return boost::outcome_v2::success();
}

void ControlPlane::start()
{
    m_membership->start();
    m_configuration->start();
    deleteExpiredClaims();
}

void ControlPlane::requestStop()
{
    m_membership->requestStop();
}

bool ControlPlane::hasLeft() const
{
    return m_membership->hasLeft();
}

ClaimService &ControlPlane::claims()
{
    return m_claims;
}

void ControlPlane::handle(const HostId &from, const PeerMessage &message)
{
    m_configuration->handle(from, message);
    m_membership->handle(from, message);
}

void ControlPlane::applyConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_membership->onConfiguration(*configuration);
    std::vector<TenantId> tenants;
    for (const auto &tenant : configuration->tenants) {
        tenants.push_back(tenant.id);
    }
    std::vector<ClassId> classes;
    for (const auto &requestClass : configuration->classes) {
        classes.push_back(requestClass.id);
    }
    m_host.metrics().declare(tenants, classes);
}

void ControlPlane::deleteExpiredClaims()
{
    const auto configuration = m_configuration->configuration();
    if (!configuration->services.empty() && !configuration->tenants.empty()) {
        const auto &service = configuration->services[m_random(static_cast<std::uint32_t>(configuration->services.size()))];
        const auto &tenant = configuration->tenants[m_random(static_cast<std::uint32_t>(configuration->tenants.size()))];
        m_claims.deleteExpired(service.id, tenant.id);
    }
    // Jitter prevents hosts that started together from scanning at the same time.
    m_claimTimer.expires_after(s_claimDeletionInterval + std::chrono::milliseconds(m_random(30000)));
    m_claimTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            deleteExpiredClaims();
        }
    });
}

AdminServerSources ControlPlane::adminSources()
{
    AdminServerSources sources;
    sources.metrics = [this] { return metricsText(); };
    sources.framingRejections = &m_host.framingRejections();
    sources.queries.grants = [this](const std::optional<ServiceId> &service) { return grants(service); };
    sources.status = [this] {
        const BootTime now = BootClock::now();
        return nlohmann::json{{"host", m_settings.host.value()},
            {"region", m_settings.region.value()},
            {"zone", m_settings.zone.value()},
            {"leaseValid", m_host.state().lease.isValid(now)},
            {"stopping", m_host.state().stopping.load()},
            {"inFlight", m_host.inFlight()},
            {"peerBytesSent", m_peers->bytesSent()},
            {"peerBytesReceived", m_peers->bytesReceived()},
            {"storeBytesSent", m_table.client().bytesSent()},
            {"storeBytesReceived", m_table.client().bytesReceived()}};
    };
    return sources;
}

nlohmann::json ControlPlane::grants(const std::optional<ServiceId> &service) const
{
    return m_host.state().routing.read([&service](const RoutingView &view) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto &upstream : view.upstreams) {
            if (service && upstream->service != *service) {
                continue;
            }
            rows.push_back({{"service", upstream->service.value()},
                {"upstream", upstream->configuration.id.value()},
                {"slots", upstream->configuration.slots.value()},
                {"granted", upstream->slots->granted().value()},
                {"inFlight", upstream->slots->inFlight().value()},
                {"leaving", upstream->leaving}});
        }
        return rows;
    });
}

std::string ControlPlane::metricsText() const
{
    ScrapeWriter writer;
    m_host.metrics().writeTo(writer);
    m_host.framingRejections().writeTo(writer);
    m_host.connectionEvents().writeTo(writer);
    return writer.text();
}

} // namespace Trefoil
