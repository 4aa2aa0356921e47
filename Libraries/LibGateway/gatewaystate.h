#pragma once

#include <LibGateway/hostdirectory.h>
#include <LibHttp/connectionlimit.h>
#include <LibRouting/routetable.h>
#include <LibRouting/upstreamcatalog.h>
#include <LibSteering/coldpacer.h>
#include <LibSteering/placement.h>
#include <LibSteering/retryallowance.h>
#include <LibSteering/slotdemand.h>
#include <LibSteering/spillshare.h>
#include <LibSteering/trafficsplit.h>

#include <memory>
#include <set>
#include <unordered_map>

namespace Trefoil
{

struct GatewayStateSettings
{
    HostId host;
    PlacementSettings placement;
    /// Region of each availability zone.
    std::map<ZoneId, RegionId> regions;
    RetryAllowanceSettings retries;
    /// Factor and addend on a cold upstream's rate that bound the requests of all hosts in one second.
    double coldFactor = 1.0;
    double coldSlack = 0;
    /// As in SpillShareSettings.
    double maximumShift = 0.15;
};

/// One upstream with what paces its first requests.
struct Upstream
{
    explicit Upstream(UpstreamIdentity identity)
        : model(std::move(identity))
    {
    }

    UpstreamModel model;
    ColdPacer pacer;
    /// This host's part of the connections that the upstream accepts.
    std::shared_ptr<ConnectionLimit> connections = ConnectionLimit::create(ConnectionCount(1));
};

/// What is learned about the requests of one route; it outlives changes of the configuration.
struct RouteState
{
    explicit RouteState(Milliseconds targetLatency)
        : work(targetLatency)
    {
    }

    WorkEstimate work;
    std::unique_ptr<TrafficSplit> split;
    std::vector<std::int32_t> weights;
};

/// What is learned about one service.
struct ServiceState
{
    explicit ServiceState(RetryAllowanceSettings settings)
        : retries(settings)
    {
    }

    RetryAllowance retries;
    SlotDemand demand;
    std::vector<std::shared_ptr<Upstream>> upstreams;
    /// Set with the first request.
    std::optional<SpillShare> spill;
    /// Requests in work or waiting for each slot, by the latest reports of the upstreams of a region.
    std::map<RegionId, double> load;
};

/// One request as far as its placement goes.
struct RequestPlacement
{
    const Route *route = nullptr;
    ServiceId service{};
    /// 0 stands for a request without a key.
    std::uint64_t keyHash = 0;
    BootTime arrivedAt{};
    BootTime deadline{};
};

/// How one attempt ended, as far as the upstream is concerned.
struct AttemptObservation
{
    AttemptOutcome outcome = AttemptOutcome::Success;
    /// The request's time ended first.
    bool timedOut = false;
    Milliseconds duration{0};
    std::optional<LoadReport> load{};
};

/// Whether upstreams of the region may serve the route. Precondition: none. Thread safety: safe from any thread.
bool allowsRegion(const Route &route, const RegionId &region);

/// Takes the load that an upstream reported. Precondition: none. Thread safety: one thread at a time.
void recordLoad(ServiceState &service, const UpstreamIdentity &upstream, const LoadReport &report);

/// Everything one host knows: configuration, upstreams, evacuated availability zones, other hosts.
/// Thread safety: one thread at a time.
class GatewayState
{
public:
    explicit GatewayState(GatewayStateSettings settings);

    /// Puts a configuration in force unless a later one is. False when it is older. Precondition: none.
    bool setConfiguration(RoutingConfiguration configuration);

    /// The configuration in force; null before the first one. Precondition: none.
    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routes;
    }

    /// Takes the change that the catalog reported for an upstream. Precondition: registration is the catalog's.
    void upstreamStarted(const UpstreamRegistration &registration, BootTime now);
    void upstreamUpdated(const UpstreamRegistration &registration, BootTime now);
    void upstreamRemoved(const UpstreamId &id);

    /// Sets the availability zones that get no requests. Upstreams of a zone that is taken back count as cold for their
    /// service's cold start, since they lost what they held. Precondition: none.
    void setEvacuated(const std::set<ZoneId> &zones, BootTime now);

    /// The part of the route's split that takes the next request. Precondition: the route has a service.
    ServiceId nextService(const Route &route);

    /// Upstreams of a service that a request may be sent to now. Precondition: none.
    std::vector<std::shared_ptr<Upstream>> usableUpstreams(const ServiceId &service, const Route &route, const std::set<UpstreamId> &excluded, BootTime now);

    /// Of the usable upstreams, those of the own region, or of the one to which the share of keys that leave it belongs. A region
    /// without usable upstreams sends all its keys to others.
    /// Precondition: usable are upstreams of the service.
    std::vector<std::shared_ptr<Upstream>> upstreamsOfChosenRegion(
        const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable, std::uint64_t positionHash, BootTime now);

    /// Load per slot that is usual among usable upstreams of the service, which are all of one region. Precondition: none.
    double meanLoad(const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable);

    /// Chooses one of the usable upstreams for a request, by its index. Precondition: the request has a route.
    PlacementResult place(const RequestPlacement &request, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now);

    /// Learns from the end of an attempt: the upstream's health, load and keys, and the usual times of the route and the service.
    /// Precondition: the request was placed at the upstream as told.
    void recordAttempt(const RequestPlacement &request, Upstream &upstream, const Placed &placed, const AttemptObservation &observation, BootTime now);

    /// True when the cold upstream's pace allows one request now, which is thereby taken. True for every warm one.
    bool tryAcquireColdPermit(Upstream &upstream, BootTime now);

    /// True when a request may be sent to the upstream now, on an open connection; it is then taken as sent. The upstream may have
    /// turned cold, or other requests may have caught up, while the connection was opened.
    /// Precondition: tryAcquireColdPermit() was true for the request.
    bool tryRecordSend(Upstream &upstream, BootTime now);

    /// This host's limit on connections to the upstream: an equal part of what the upstream accepts of all registered hosts. Null
    /// when operators set none. Precondition: none.
    std::shared_ptr<ConnectionLimit> connectionLimit(const Upstream &upstream) const;

    /// Counts a request that came in. Precondition: its service is set.
    void recordArrival(const RequestPlacement &request);

    /// Precondition: none.
    RouteState &routeState(const Route &route);
    ServiceState &serviceState(const ServiceId &service);

    /// Precondition: none.
    HostDirectory &directory()
    {
        return m_directory;
    }
    const GatewayStateSettings &settings() const
    {
        return m_settings;
    }
    const std::set<ZoneId> &evacuated() const
    {
        return m_evacuated;
    }
    std::size_t registeredHostCount() const
    {
        return m_directory.registeredCount();
    }
    std::size_t upstreamCount() const
    {
        return m_upstreams.size();
    }

private:
    /// What outlasts the object of an upstream, since its row may change or come back while it is cold.
    struct ColdHistory
    {
        ColdPacer pacer;
        BootTime coldUntil{};
    };

    SpillShare &updateSpillShare(ServiceState &service, BootTime now);
    const ServicePolicy *policyOf(const ServiceId &service) const;
    std::optional<ColdRateLimit> coldRateLimit(const ServiceId &service) const;
    bool isWarmUpOwner(const Upstream &upstream, BootTime now) const;
    void removeExpiredColdHistories(BootTime now);

    GatewayStateSettings m_settings;
    std::size_t m_regionCount = 0;
    std::shared_ptr<const RouteTable> m_routes;
    std::unordered_map<UpstreamId, std::shared_ptr<Upstream>> m_upstreams;
    /// Of upstreams that are gone.
    std::unordered_map<UpstreamId, ColdHistory> m_coldHistories;
    std::unordered_map<RouteId, RouteState> m_routeStates;
    std::unordered_map<ServiceId, ServiceState> m_serviceStates;
    std::set<ZoneId> m_evacuated;
    HostDirectory m_directory;
};

} // namespace Trefoil
