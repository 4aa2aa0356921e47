#include <LibGateway/gatewaystate.h>

#include <LibSteering/affinityranking.h>
#include <LibSteering/stopadmission.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

/// Hosts that send to one cold upstream. With more, each would get a smaller share of its rate; with fewer, the upstream would get no
/// requests after one of them fails.
constexpr std::size_t s_warmUpHosts = 2;
/// Hosts that may consider themselves warm-up hosts of one upstream at the same time, since hosts can differ in which hosts they see as
/// live. The requests that a cold upstream tolerates in a second are divided by this number.
constexpr double s_maximumWarmUpHosts = 4;
/// The second for which a cold upstream's limit holds, plus the difference between the times of sending and of arrival in a zone.
constexpr std::chrono::milliseconds s_coldWindow{1020};
/// Removed upstreams whose notices are kept; as many as the catalog keeps reports of.
constexpr std::size_t s_maximumNotices = 4096;

HostDirectorySettings directorySettings(const GatewayStateSettings &settings)
{
    HostDirectorySettings directory;
    directory.self = settings.host;
    directory.zone = settings.placement.zone;
    directory.region = settings.placement.region;
    directory.choosesByCapacity = settings.choosesHostsByCapacity;
    return directory;
}

CostFeatures costFeatures(const RequestPlacement &request)
{
    return {request.customer ? stableHash(request.customer->id.value()) : 0, request.keyHash, request.bytes};
}

/// Queueing delays at the upstreams from the work that they still have to do.
std::vector<Milliseconds> expectedWaits(const std::vector<std::shared_ptr<Upstream>> &upstreams, const PlacementQuery &query)
{
    std::vector<Milliseconds> waits;
    waits.reserve(upstreams.size());
    for (const auto &upstream : upstreams) {
        const UpstreamModel &model = upstream->model;
        const double speed = model.slowness(query.now) * model.workFactor(query.now);
        const double others = model.occupancy(query.now, query.meanLoad) - model.inFlight();
        waits.push_back(upstream->remaining.wait(std::max(1, model.identity().slots.value()), {std::max(others, 0.0), query.slotTime * speed}, query.now));
    }
    return waits;
}

} // namespace

GatewayState::GatewayState(GatewayStateSettings settings)
    : m_settings(std::move(settings))
    , m_directory(directorySettings(m_settings))
{
    std::set<RegionId> regions;
    for (const auto &[zone, region] : m_settings.regions) {
        regions.insert(region);
    }
    m_regionCount = regions.size();
}

bool GatewayState::setConfiguration(RoutingConfiguration configuration)
{
    if (m_routes && configuration.version <= m_routes->configuration().version) {
        return false;
    }
    m_routes = std::make_shared<const RouteTable>(std::move(configuration));
    for (auto &[id, service] : m_serviceStates) {
        service.customers.setWeights(customerWeights());
    }
    return true;
}

std::unordered_map<std::string, double> GatewayState::customerWeights() const
{
    std::unordered_map<std::string, double> weights;
    if (m_routes) {
        for (const Customer &customer : m_routes->configuration().customers) {
            weights.emplace(customer.id.value(), customer.requestsPerSecond);
        }
    }
    return weights;
}

void GatewayState::upstreamStarted(const UpstreamRegistration &registration, BootTime now)
{
    const auto region = m_settings.regions.find(registration.zone);
    const RegionId regionId = region == m_settings.regions.end() ? RegionId() : region->second;
    UpstreamIdentity identity{
        registration.id, registration.service, registration.address, registration.zone, regionId, registration.slots, registration.startedAt};
    removeExpiredColdHistories(now);
    upstreamRemoved(registration.id);
    auto upstream = std::make_shared<Upstream>(std::move(identity));
    if (const auto history = m_coldHistories.find(registration.id); history != m_coldHistories.end()) {
        upstream->pacer = history->second.pacer;
        upstream->model.setColdUntil(history->second.coldUntil);
        m_coldHistories.erase(history);
    } else if (registration.coldRemaining.count() > 0) {
        // No host treated the upstream as warm before, so that the pacer needs no pause.
        upstream->model.setColdUntil(now + registration.coldRemaining);
    }
    restoreNotices(*upstream);
    m_upstreams.emplace(registration.id, upstream);
    serviceState(registration.service).upstreams.push_back(std::move(upstream));
    upstreamUpdated(registration, now);
}

void GatewayState::upstreamUpdated(const UpstreamRegistration &registration, BootTime now)
{
    const auto found = m_upstreams.find(registration.id);
    if (found == m_upstreams.end()) {
        return;
    }
    const UpstreamIdentity &current = found->second->model.identity();
    const bool hasMoved = current.address != registration.address || current.service != registration.service || current.zone != registration.zone
        || current.slots != registration.slots;
    if (hasMoved) {
        upstreamStarted(registration, now);
        return;
    }
    UpstreamModel &model = found->second->model;
    model.isLeaving = model.isLeaving || registration.leaving;
    if (registration.coldRemaining.count() > 0) {
        if (!model.isCold(now)) {
            // Until the pause ends, hosts that receive the change later may still send as to a warm upstream.
            found->second->pacer.pauseUntil(now + s_coldWindow);
        }
        model.setColdUntil(now + registration.coldRemaining);
    }
}

void GatewayState::upstreamRemoved(const UpstreamId &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    auto &upstreams = serviceState(found->second->model.identity().service).upstreams;
    upstreams.erase(std::remove(upstreams.begin(), upstreams.end(), found->second), upstreams.end());
    keepNotices(*found->second);
    found->second->model.isLeaving = true;
    m_coldHistories.insert_or_assign(id, ColdHistory{found->second->pacer, found->second->model.coldUntil()});
    m_upstreams.erase(found);
}

void GatewayState::upstreamMisdirected(const Upstream &upstream)
{
    const UpstreamId id = upstream.model.identity().id;
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end() && found->second.get() == &upstream) {
        upstreamRemoved(id);
    }
}

void GatewayState::removeExpiredColdHistories(BootTime now)
{
    for (auto it = m_coldHistories.begin(); it != m_coldHistories.end();) {
        const bool isExpired = it->second.coldUntil <= now && it->second.pacer.canSend(now, {1, s_coldWindow});
        it = isExpired ? m_coldHistories.erase(it) : std::next(it);
    }
}

void GatewayState::keepNotices(const Upstream &upstream)
{
    if (!upstream.saidLeaving && upstream.backoff.pausedUntil() == BootTime{}) {
        return;
    }
    const UpstreamIdentity &identity = upstream.model.identity();
    if (m_notices.size() >= s_maximumNotices && m_notices.count(identity.id) == 0) {
        m_notices.erase(m_notices.begin());
    }
    m_notices[identity.id] = {identity.startedAt, upstream.saidLeaving, upstream.backoff};
}

void GatewayState::restoreNotices(Upstream &upstream)
{
    const auto found = m_notices.find(upstream.model.identity().id);
    if (found == m_notices.end()) {
        return;
    }
    if (found->second.startedAt == upstream.model.identity().startedAt) {
        upstream.saidLeaving = found->second.saidLeaving;
        upstream.model.isLeaving = found->second.saidLeaving;
        upstream.backoff = found->second.backoff;
    }
    m_notices.erase(found);
}

void GatewayState::setEvacuated(const std::set<ZoneId> &zones, BootTime now)
{
    for (auto &[id, upstream] : m_upstreams) {
        const UpstreamIdentity &identity = upstream->model.identity();
        const bool isReadmitted = m_evacuated.count(identity.zone) > 0 && zones.count(identity.zone) == 0;
        const ServicePolicy *policy = policyOf(identity.service);
        if (isReadmitted && policy) {
            upstream->model.setColdUntil(now + policy->coldStart);
        }
    }
    m_evacuated = zones;
}

ServiceId GatewayState::nextService(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<std::int32_t> weights;
    for (const WeightedService &part : route.services) {
        weights.push_back(part.weight);
    }
    RouteState &state = routeState(route);
    if (!state.split || state.weights != weights) {
        state.split = std::make_unique<TrafficSplit>(weights);
        state.weights = std::move(weights);
    }
    return route.services[state.split->next()].service;
}

std::vector<std::shared_ptr<Upstream>> GatewayState::usableUpstreams(
    const ServiceId &service, const Route &route, const std::set<UpstreamId> &excluded, BootTime now)
{
    std::vector<std::shared_ptr<Upstream>> usable;
    for (const auto &upstream : serviceState(service).upstreams) {
        if (!isInService(*upstream, route) || excluded.count(upstream->model.identity().id) > 0) {
            continue;
        }
        if (!upstream->backoff.maySend(upstream->model.inFlight(), now)) {
            continue;
        }
        if (upstream->model.isCold(now) && !isWarmUpHost(*upstream, now)) {
            continue;
        }
        usable.push_back(upstream);
    }
    return usable;
}

bool GatewayState::isInService(const Upstream &upstream, const Route &route) const
{
    const UpstreamIdentity &identity = upstream.model.identity();
    return !upstream.model.isLeaving && m_evacuated.count(identity.zone) == 0 && allowsRegion(route, identity.region);
}

std::optional<Milliseconds> GatewayState::timeUntilPauseEnds(const ServiceId &service, const Route &route, BootTime now)
{
    std::optional<Milliseconds> shortest;
    for (const auto &upstream : serviceState(service).upstreams) {
        if (!isInService(*upstream, route) || !upstream->backoff.isPaused(now)) {
            continue;
        }
        const Milliseconds time = upstream->backoff.pausedUntil() - now;
        shortest = std::min(shortest.value_or(time), time);
    }
    return shortest;
}

SpillShare &GatewayState::updateSpillShare(ServiceState &service, BootTime now)
{
    SpillShare::Observation observation;
    for (const auto &upstream : service.upstreams) {
        const UpstreamIdentity &identity = upstream->model.identity();
        // The slots of a paused upstream can't be used, so that its keys move as if it were gone.
        if (upstream->model.isLeaving || m_evacuated.count(identity.zone) > 0 || upstream->backoff.isPaused(now)) {
            continue;
        }
        if (identity.region != m_settings.placement.region) {
            observation.otherSlots += identity.slots.value();
            continue;
        }
        observation.slots += identity.slots.value();
        observation.occupancy += upstream->model.occupancy(now, service.load[identity.region].reported());
    }
    if (!service.spill) {
        service.spill.emplace(observation, SpillShareSettings{m_regionCount, m_settings.maximumShift}, now);
    }
    service.spill->observe(observation, now);
    return *service.spill;
}

std::vector<std::shared_ptr<Upstream>> GatewayState::upstreamsOfChosenRegion(
    const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable, std::uint64_t positionHash, BootTime now)
{
    SpillShare &spill = updateSpillShare(serviceState(service), now);
    const RegionId &own = m_settings.placement.region;
    std::map<RegionId, double> slots;
    for (const auto &upstream : usable) {
        slots[upstream->model.identity().region] += upstream->model.identity().slots.value();
    }
    RegionId chosen = own;
    if (slots.count(own) == 0 || (slots.size() > 1 && spill.isSpilled(unitInterval(positionHash)))) {
        double best = -1;
        for (const auto &[region, regionSlots] : slots) {
            const double score = affinityScore(positionHash, stableHash(region.value()), regionSlots);
            if (region != own && score > best) {
                best = score;
                chosen = region;
            }
        }
    }
    std::vector<std::shared_ptr<Upstream>> result;
    for (const auto &upstream : usable) {
        if (upstream->model.identity().region == chosen) {
            result.push_back(upstream);
        }
    }
    return result;
}

double GatewayState::meanLoad(const ServiceId &service, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now)
{
    if (usable.empty()) {
        return 0;
    }
    ServiceState &state = serviceState(service);
    const RegionId &region = usable.front()->model.identity().region;
    const RegionLoad &load = state.load[region];
    // Hosts of other regions send few requests here, and how many hosts spill to another region isn't known.
    if (load.hasEnoughReports() || !estimatesLoad() || region != m_settings.placement.region) {
        return load.reported();
    }
    double inFlight = 0;
    double slots = 0;
    for (const auto &upstream : state.upstreams) {
        if (upstream->model.identity().region == region && !upstream->model.isLeaving) {
            inFlight += upstream->model.inFlight();
            slots += upstream->model.identity().slots.value();
        }
    }
    return load.estimate(inFlight / std::max(slots, 1.0), entryHostsOfRegion(now));
}

bool GatewayState::estimatesLoad() const
{
    return m_routes && m_routes->hasCustomers();
}

double GatewayState::entryHostsOfRegion(BootTime now) const
{
    const RegionId &own = m_settings.placement.region;
    const auto zones = std::count_if(m_settings.regions.begin(), m_settings.regions.end(), [&own](const auto &entry) { return entry.second == own; });
    // Beacons come from the hosts of the own availability zone only.
    return static_cast<double>(zones) * static_cast<double>(m_directory.hostsOf(m_settings.placement.zone, now).size());
}

PlacementResult GatewayState::place(const RequestPlacement &request, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now)
{
    std::vector<UpstreamModel *> models;
    models.reserve(usable.size());
    for (const auto &upstream : usable) {
        models.push_back(&upstream->model);
    }
    PlacementQuery query;
    query.keyHash = request.keyHash;
    query.targetLatency = request.route->targetLatency;
    query.elapsed = now - request.arrivedAt;
    query.timeLeft = request.deadline - now;
    query.work = &routeState(*request.route).work;
    query.meanLoad = meanLoad(request.service, usable, now);
    const SlotDemand &demand = serviceState(request.service).demand;
    query.slotTime = demand.slotTime();
    if (query.slotTime.count() <= 0 && estimatesLoad()) {
        query.slotTime = query.work->expected(CacheState::Unlikely);
    }
    query.displacedValue = demand.displacedValue(request.route->priority);
    if (request.customer && m_settings.usesCustomerShares) {
        query.customerFactor = serviceState(request.service).customers.priceFactor(request.customer->id.value(), now);
    }
    query.now = now;
    if (serviceState(request.service).reportsWorkFactor) {
        const RequestCost &cost = routeState(*request.route).cost;
        if (m_settings.usesRequestCost) {
            const CostFeatures features = costFeatures(request);
            query.expectedWork = {
                cost.expected(CacheState::Unlikely, features), cost.expected(CacheState::Likely, features), cost.expected(CacheState::Cached, features)};
        }
        if (m_settings.usesRemainingWork) {
            query.waits = expectedWaits(usable, query);
        }
    }
    return Trefoil::place(models, query, m_settings.placement);
}

bool GatewayState::fitsBeforeStop(const RequestPlacement &request, const Upstream &upstream, const Placed &placed, BootTime hostEnd, BootTime now)
{
    const RouteState &route = routeState(*request.route);
    StopAdmissionQuery query;
    query.now = now;
    query.hostEnd = hostEnd;
    query.deadline = request.deadline;
    query.expectedWait = placed.expectedWait;
    query.uncachedWork = route.work.longestExpected();
    query.slowness = upstream.model.slowness(now);
    query.likelyAttemptTime = route.attemptTime.likelyMaximum();
    query.isIdempotent = request.route->kind == RequestKind::Idempotent;
    return Trefoil::fitsBeforeStop(query);
}

RemainingWork::Token GatewayState::recordStart(const RequestPlacement &request, Upstream &upstream, const Placed &placed, BootTime now)
{
    upstream.model.recordStart();
    if (!serviceState(request.service).reportsWorkFactor) {
        return 0;
    }
    const RequestCost &cost = routeState(*request.route).cost;
    return upstream.remaining.recordStart(cost, std::max(placed.expectedWork, Milliseconds(1)), placed.expectedWait, now);
}

void GatewayState::recordAttempt(const RequestPlacement &request, Upstream &upstream, const Placed &placed, const AttemptObservation &observation, BootTime now)
{
    const UpstreamIdentity &identity = upstream.model.identity();
    const PlacementSettings &placement = m_settings.placement;
    const Milliseconds roundTrip = identity.region == placement.region ? placement.zoneRoundTrip : placement.regionRoundTrip;
    WorkEstimate &work = routeState(*request.route).work;
    ServiceState &service = serviceState(request.service);
    const Milliseconds timeAtUpstream = std::max(observation.duration - roundTrip, Milliseconds(1));
    upstream.remaining.recordEnd(observation.token);
    const Milliseconds expectedTime = work.expected(placed.cache);
    const auto slowness = work.slowness(placed.cache, std::max(timeAtUpstream - placed.expectedWait, Milliseconds(1)));
    upstream.model.recordEnd(
        observation.timedOut && observation.duration < expectedTime ? AttemptOutcome::Cancelled : observation.outcome, slowness, observation.load, now);
    if (observation.load) {
        recordLoad(service, identity, *observation.load);
    }
    if (observation.isUpstreamLeaving) {
        upstream.saidLeaving = true;
        upstream.model.isLeaving = true;
    }
    if (observation.pause) {
        upstream.backoff.recordPause(*observation.pause, now);
    }
    ServiceTimeEstimate &attemptTime = routeState(*request.route).attemptTime;
    const auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(timeAtUpstream);
    if (observation.outcome == AttemptOutcome::Success) {
        attemptTime.record(duration);
    } else if (duration > attemptTime.likelyMaximum()) {
        // A success would have taken longer still; a fast failure says nothing about the time.
        attemptTime.recordTimeout(duration);
    }
    if (observation.outcome != AttemptOutcome::Success) {
        return;
    }
    upstream.backoff.recordAccepted(now);
    if (placed.expectedWait.count() <= 0) {
        work.record(placed.cache, timeAtUpstream);
        if (service.reportsWorkFactor) {
            routeState(*request.route).cost.record(placed.cache, costFeatures(request), timeAtUpstream / upstream.model.workFactor(now));
        }
        service.demand.recordSlotTime(request.route->priority, timeAtUpstream);
    }
    if (request.keyHash != 0) {
        upstream.model.recordKey(request.keyHash, now);
    }
}

void GatewayState::recordArrival(const RequestPlacement &request)
{
    ServiceState &service = serviceState(request.service);
    service.retries.recordRequest(request.arrivedAt);
    service.demand.recordArrival(request.route->priority);
    if (request.customer) {
        service.customers.recordArrival(request.customer->id.value(), request.arrivedAt);
    }
}

bool GatewayState::isWarmUpHost(const Upstream &upstream, BootTime now) const
{
    if (!coldRateLimit(upstream.model.identity().service)) {
        return true;
    }
    std::vector<std::uint64_t> hosts;
    // Hosts of the upstream's own availability zone know which of them are live. For a zone without hosts, the warm-up hosts are
    // chosen among all registered hosts: hosts agree on these, but not on which of them are live.
    auto candidates = m_directory.hostsOf(upstream.model.identity().zone, now);
    if (candidates.empty()) {
        candidates = m_directory.registeredHosts();
    }
    hosts.reserve(candidates.size());
    for (const HostId &host : candidates) {
        hosts.push_back(stableHash(host.value()));
    }
    if (std::find(candidates.begin(), candidates.end(), m_settings.host) == candidates.end()) {
        return false;
    }
    return Trefoil::isWarmUpHost(upstream.model.hash(), stableHash(m_settings.host.value()), hosts, s_warmUpHosts);
}

bool GatewayState::tryAcquireColdPermit(Upstream &upstream, BootTime now)
{
    const auto rateLimit = coldRateLimit(upstream.model.identity().service);
    if (!upstream.model.isCold(now) || !rateLimit) {
        return true;
    }
    return upstream.pacer.canSend(now, *rateLimit) && upstream.pacer.tryAcquire(now, rateLimit->window / rateLimit->requests);
}

bool GatewayState::tryRecordSend(Upstream &upstream, BootTime now)
{
    // The attempt itself is already among the requests in flight.
    if (upstream.model.isLeaving || !upstream.backoff.maySend(std::max(upstream.model.inFlight() - 1, 0), now)) {
        return false;
    }
    const auto rateLimit = coldRateLimit(upstream.model.identity().service);
    if (!rateLimit) {
        return true;
    }
    if (upstream.model.isCold(now) && !(isWarmUpHost(upstream, now) && upstream.pacer.canSend(now, *rateLimit))) {
        return false;
    }
    upstream.pacer.recordSent(now, *rateLimit);
    return true;
}

std::shared_ptr<ConnectionLimit> GatewayState::connectionLimit(const Upstream &upstream) const
{
    const ServicePolicy *policy = policyOf(upstream.model.identity().service);
    if (!policy || policy->maximumConnections.value() <= 0) {
        return nullptr;
    }
    const auto hosts = static_cast<std::int32_t>(std::max<std::size_t>(m_directory.registeredCount(), 1));
    upstream.connections->setGranted(ConnectionCount(std::max(policy->maximumConnections.value() / hosts, 1)));
    return upstream.connections;
}

RouteState &GatewayState::routeState(const Route &route)
{
    return m_routeStates.try_emplace(route.id, Milliseconds(std::max(route.targetLatency, std::chrono::milliseconds(1)))).first->second;
}

ServiceState &GatewayState::serviceState(const ServiceId &service)
{
    const auto [position, isNew] = m_serviceStates.try_emplace(service, m_settings.retries);
    if (isNew) {
        position->second.customers.setWeights(customerWeights());
    }
    return position->second;
}

GatewayState::CostNotes GatewayState::costNotes(const RequestPlacement &request, const Upstream &upstream, BootTime now)
{
    if (!serviceState(request.service).reportsWorkFactor) {
        return {};
    }
    return {routeState(*request.route).cost.spread(), upstream.remaining.ownWork(now)};
}

const ServicePolicy *GatewayState::policyOf(const ServiceId &service) const
{
    return m_routes ? m_routes->service(service) : nullptr;
}

std::optional<ColdRateLimit> GatewayState::coldRateLimit(const ServiceId &service) const
{
    const ServicePolicy *policy = policyOf(service);
    if (!policy || policy->coldRequestsPerSecond <= 0) {
        return std::nullopt;
    }
    const double tolerated = policy->coldRequestsPerSecond * m_settings.coldFactor + m_settings.coldSlack;
    // A whole number of requests for each warm-up host, since a fraction of a request would become a whole one in some seconds.
    const double ownRequests = std::max(1.0, std::floor(tolerated / s_maximumWarmUpHosts));
    return ColdRateLimit{static_cast<std::size_t>(ownRequests), s_coldWindow};
}

bool allowsRegion(const Route &route, const RegionId &region)
{
    const auto &allowed = route.allowedRegions;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

void recordLoad(ServiceState &service, const UpstreamIdentity &upstream, const LoadReport &report)
{
    // The report still counts the request whose response carries it.
    const double others = std::max(0, report.running + report.waiting - 1);
    service.load[upstream.region].recordReport(others / std::max(1, upstream.slots.value()));
    service.reportsWorkFactor = service.reportsWorkFactor || report.workFactor.has_value();
}

} // namespace Trefoil
