#pragma once

#include <LibGateway/hostdirectory.h>
#include <LibHttp/connectionlimit.h>
#include <LibRouting/routetable.h>
#include <LibRouting/upstreamcatalog.h>
#include <LibSteering/coldpacer.h>
#include <LibSteering/customershares.h>
#include <LibSteering/placement.h>
#include <LibSteering/regionload.h>
#include <LibSteering/remainingwork.h>
#include <LibSteering/requestcost.h>
#include <LibSteering/retryallowance.h>
#include <LibSteering/servicetimeestimate.h>
#include <LibSteering/slotdemand.h>
#include <LibSteering/spillshare.h>
#include <LibSteering/trafficsplit.h>
#include <LibSteering/upstreambackoff.h>

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
    /// All hosts together send a cold upstream at most rate * factor + slack requests in one second.
    double coldFactor = 1.0;
    double coldSlack = 0;
    /// As in SpillShareSettings.
    double maximumShift = 0.15;
    /// As in HostDirectorySettings.
    bool choosesHostsByCapacity = false;
    /// Whether placement uses the learned cost of requests and the remaining work of upstreams, for services whose upstreams report a work time.
    bool usesRequestCost = true;
    bool usesRemainingWork = true;
    /// Whether the price of slots depends on what the request's customer sent recently.
    bool usesCustomerShares = true;
};

/// One upstream, with the pacer for the time in which it is cold and the limit on connections to it.
struct Upstream
{
    explicit Upstream(UpstreamIdentity identity)
        : model(std::move(identity))
    {
    }

    UpstreamModel model;
    /// Requests in flight, where the service reports a work time.
    RemainingWork remaining;
    ColdPacer pacer;
    /// The pause that the upstream asked for in its responses.
    UpstreamBackoff backoff;
    /// Whether a response of the upstream said that it is leaving. It does not come back as the same process.
    bool saidLeaving = false;
    /// This host's share of the connections that the upstream accepts.
    std::shared_ptr<ConnectionLimit> connections = ConnectionLimit::create(ConnectionCount(1));
};

/// Measured work and traffic split of one route; it outlives changes of the configuration.
struct RouteState
{
    explicit RouteState(Milliseconds targetLatency)
        : work(targetLatency)
        , cost(targetLatency)
    {
    }

    WorkEstimate work;
    /// Learned only for services whose upstreams report a work time.
    RequestCost cost;
    /// Time of attempts, with their queueing delay.
    ServiceTimeEstimate attemptTime;
    std::unique_ptr<TrafficSplit> split;
    std::vector<std::int32_t> weights;
};

/// Upstreams of one service, and the state of its retries, slots and load.
struct ServiceState
{
    explicit ServiceState(RetryAllowanceSettings settings)
        : retries(settings)
    {
    }

    RetryAllowance retries;
    SlotDemand demand;
    CustomerShares customers;
    std::vector<std::shared_ptr<Upstream>> upstreams;
    /// Set with the first request.
    std::optional<SpillShare> spill;
    std::map<RegionId, RegionLoad> load;
    /// Whether an upstream reported the time that work takes on its machine.
    bool reportsWorkFactor = false;
};

/// The part of a request that its placement depends on.
struct RequestPlacement
{
    const Route *route = nullptr;
    ServiceId service{};
    /// 0 stands for a request without a key.
    std::uint64_t keyHash = 0;
    BootTime arrivedAt{};
    BootTime deadline{};
    /// Whose request it is; null for an anonymous caller.
    const Customer *customer = nullptr;
    /// Size of the request's body.
    std::uint64_t bytes = 0;
};

/// Result of one attempt, as it concerns the upstream.
struct AttemptObservation
{
    AttemptOutcome outcome = AttemptOutcome::Success;
    /// Whether the attempt ended because its deadline passed or its connection stalled.
    bool timedOut = false;
    Milliseconds duration{0};
    std::optional<LoadReport> load{};
    /// Whether the response says that the upstream is leaving.
    bool isUpstreamLeaving = false;
    /// The pause that the response asks for.
    std::optional<std::chrono::milliseconds> pause{};
    /// From GatewayState::recordStart(); 0 without.
    RemainingWork::Token token = 0;
};

/// Whether upstreams of the region may serve the route. Precondition: none. Thread safety: safe from any thread.
bool allowsRegion(const Route &route, const RegionId &region);

/// Adds an upstream's load report to the load of its region. Precondition: none. Thread safety: one thread at a time.
void recordLoad(ServiceState &service, const UpstreamIdentity &upstream, const LoadReport &report);

/// State of one host on which its routing depends: configuration, upstreams, evacuated availability zones and other hosts.
/// Thread safety: one thread at a time.
class GatewayState
{
public:
    explicit GatewayState(GatewayStateSettings settings);

    /// Puts a configuration in force. False when the one in force has the same or a later version. Precondition: none.
    bool setConfiguration(RoutingConfiguration configuration);

    /// The configuration in force; null before the first one. Precondition: none.
    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routes;
    }

    /// Applies a change of an upstream that the catalog reported. Precondition: registration comes from the catalog.
    void upstreamStarted(const UpstreamRegistration &registration, BootTime now);
    void upstreamUpdated(const UpstreamRegistration &registration, BootTime now);
    void upstreamRemoved(const UpstreamId &id);

    /// Removes an upstream whose address answered for another one, unless a later process or address has taken its place meanwhile.
    /// Precondition: none.
    void upstreamMisdirected(const Upstream &upstream);

    /// Sets the availability zones that get no requests. Upstreams of a zone that is readmitted count as cold for the time of their
    /// service's cold start, since their caches no longer hold what requests need. Precondition: none.
    void setEvacuated(const std::set<ZoneId> &zones, BootTime now);

    /// Chooses the service for the next request by the weights of the route. Precondition: the route has a service.
    ServiceId nextService(const Route &route);

    /// Upstreams of a service to which a request of the route may be sent now, without the excluded ones. Precondition: none.
    std::vector<std::shared_ptr<Upstream>> usableUpstreams(const ServiceId &service, const Route &route, const std::set<UpstreamId> &excluded, BootTime now);

    /// Time until an upstream that the route may use ends its pause; nothing when none is paused. Precondition: none.
    std::optional<Milliseconds> timeUntilPauseEnds(const ServiceId &service, const Route &route, BootTime now);

    /// The usable upstreams of the region that serves the position: the own region, or another one for the share of keys that is
    /// spilled. Without usable upstreams in the own region, all keys are spilled.
    /// Precondition: usable are upstreams of the service.
    std::vector<std::shared_ptr<Upstream>> upstreamsOfChosenRegion(
        const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable, std::uint64_t positionHash, BootTime now);

    /// Mean load per slot of the service in the region of the usable upstreams; 0 without any. With customers in the configuration, the load of the own
    /// region is estimated while there are few reports. Precondition: the usable upstreams are of one region.
    double meanLoad(const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now);

    /// Chooses one of the usable upstreams for a request; the result holds its index. Precondition: the request has a route.
    PlacementResult place(const RequestPlacement &request, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now);

    /// Whether a host that ends at that time may still send the request to the upstream. Precondition: placed is the placement of the request at the
    /// upstream.
    bool fitsBeforeStop(const RequestPlacement &request, const Upstream &upstream, const Placed &placed, BootTime hostEnd, BootTime now);

    /// Records an attempt that is about to be sent. Precondition: recordAttempt() follows once, with the result as the observation's token; placed is
    /// the placement of the request at the upstream.
    RemainingWork::Token recordStart(const RequestPlacement &request, Upstream &upstream, const Placed &placed, BootTime now);

    /// Records the end of an attempt: updates the upstream's health, load and keys, and the expected times of the route and the
    /// service. Precondition: placed is the placement of the request at the upstream.
    void recordAttempt(const RequestPlacement &request, Upstream &upstream, const Placed &placed, const AttemptObservation &observation, BootTime now);

    /// Acquires a permit to choose the upstream for one request now. False when the upstream is cold and its rate limit is used up;
    /// always true for a warm one. Precondition: now does not go back.
    bool tryAcquireColdPermit(Upstream &upstream, BootTime now);

    /// Whether a request may be sent to the upstream now, on an open connection; if so, it is counted as sent. While the connection
    /// was opened, the upstream may have turned cold or started leaving, or other requests may have used up its rate limit.
    /// Precondition: tryAcquireColdPermit() was true for the request.
    bool tryRecordSend(Upstream &upstream, BootTime now);

    /// This host's limit on connections to the upstream: an equal share, among all registered hosts, of the connections that the
    /// upstream accepts. Null when operators set no limit. Precondition: none.
    std::shared_ptr<ConnectionLimit> connectionLimit(const Upstream &upstream) const;

    /// Counts an arrived request for the retries and the slot demand of its service. Precondition: its service is set.
    void recordArrival(const RequestPlacement &request);

    /// State of a route or a service, which is created on first use. Precondition: none.
    RouteState &routeState(const Route &route);
    ServiceState &serviceState(const ServiceId &service);

    /// Learned cost and remaining work of a request that is placed at an upstream, for logs; 0 for services whose upstreams report no work time.
    struct CostNotes
    {
        double spread = 0;
        Milliseconds remainingWork{0};
    };
    /// Precondition: the request has a route.
    CostNotes costNotes(const RequestPlacement &request, const Upstream &upstream, BootTime now);

    /// Routes and services with their states, for metrics. Precondition: none.
    const std::unordered_map<RouteId, RouteState> &routeStates() const
    {
        return m_routeStates;
    }
    const std::unordered_map<ServiceId, ServiceState> &serviceStates() const
    {
        return m_serviceStates;
    }

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
    /// State that outlives the object of an upstream, since its row may change or be written again while the upstream is cold.
    struct ColdHistory
    {
        ColdPacer pacer;
        BootTime coldUntil{};
    };

    /// What an upstream said in its responses; it holds for the same process when its row is removed and written again.
    struct Notices
    {
        std::int64_t startedAt = 0;
        bool saidLeaving = false;
        UpstreamBackoff backoff;
    };

    void keepNotices(const Upstream &upstream);
    void restoreNotices(Upstream &upstream);
    /// Whether the upstream receives requests apart from pauses and cold starts.
    bool isInService(const Upstream &upstream, const Route &route) const;
    SpillShare &updateSpillShare(ServiceState &service, BootTime now);
    /// Whether load is estimated before upstreams have reported it. Customers that are bound to a region can fill its upstreams alone.
    bool estimatesLoad() const;
    double entryHostsOfRegion(BootTime now) const;
    const ServicePolicy *policyOf(const ServiceId &service) const;
    std::optional<ColdRateLimit> coldRateLimit(const ServiceId &service) const;
    /// Whether this host may send requests to the upstream while it is cold; always true without a rate limit.
    bool isWarmUpHost(const Upstream &upstream, BootTime now) const;
    void removeExpiredColdHistories(BootTime now);
    /// What the customers of the configuration in force are entitled to.
    std::unordered_map<std::string, double> customerWeights() const;

    GatewayStateSettings m_settings;
    std::size_t m_regionCount = 0;
    std::shared_ptr<const RouteTable> m_routes;
    std::unordered_map<UpstreamId, std::shared_ptr<Upstream>> m_upstreams;
    /// Histories of removed upstreams.
    std::unordered_map<UpstreamId, ColdHistory> m_coldHistories;
    std::unordered_map<UpstreamId, Notices> m_notices;
    std::unordered_map<RouteId, RouteState> m_routeStates;
    std::unordered_map<ServiceId, ServiceState> m_serviceStates;
    std::set<ZoneId> m_evacuated;
    HostDirectory m_directory;
};

} // namespace Trefoil
