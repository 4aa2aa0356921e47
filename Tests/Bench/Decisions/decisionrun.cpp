#include "decisionrun.h"

#include <cmath>
#include <limits>

namespace Trefoil::Bench
{

using namespace std::chrono_literals;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(1000)};
constexpr auto s_measureAfter = 20s;
constexpr auto s_eventEnd = 60s;
constexpr auto s_runEnd = 65s;
constexpr std::size_t s_hostsPerRegion = 4;
constexpr std::size_t s_zones = 2;
constexpr std::size_t s_clientsPerRegion = 64;
constexpr auto s_clientDelay = 8ms;
constexpr auto s_otherZoneDelay = 500us;
constexpr auto s_sameZoneDelay = 50us;
constexpr auto s_shiftInterval = 10s;
constexpr auto s_leaseTime = 3s;
constexpr auto s_reclaimAfter = 6s;
constexpr auto s_heartbeat = 500ms;
constexpr auto s_hostRestart = 8s;
constexpr auto s_listLag = 10s;
constexpr auto s_silentHost = 2s;
constexpr auto s_lookupLifetime = 5s;
constexpr auto s_connectTimeout = 1s;
constexpr auto s_progressTimeout = 2s;
constexpr auto s_leavingLag = 1s;
constexpr auto s_leavingBound = 5s;
constexpr Bytes s_requestBytes{20'000};
constexpr double s_loadSlowness = 0.25;
/// Mean of a request's time over that on an idle upstream, at the mean load.
constexpr double s_meanSlowness = 1.3;
constexpr int s_coldRequests = 100;
constexpr double s_coldSlowness = 3;
constexpr int s_attempts = 3;
constexpr std::size_t s_queueCapacity = 64;
/// Regions differ in their demand, as the regions of both users do.
constexpr double s_regionWeights[] = {1.15, 1.0, 0.85};
constexpr std::size_t s_lostRegion = 1;
constexpr std::int64_t s_unlimited = 16'000'000;

std::chrono::nanoseconds seconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e9));
}

double toSeconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

/// Part of a total for one of several members; the remainders start at a different member for each resource.
std::int64_t shareOf(std::int64_t total, std::size_t members, std::size_t place, std::size_t resource)
{
    const auto count = static_cast<std::int64_t>(members);
    const std::size_t rotated = (place + resource) % members;
    return total / count + (static_cast<std::int64_t>(rotated) < total % count ? 1 : 0);
}

} // namespace

namespace
{

std::shared_ptr<RelayCounter> counterOf(std::map<std::size_t, std::shared_ptr<RelayCounter>> &counters, std::size_t target)
{
    auto &counter = counters[target];
    if (!counter) {
        counter = std::make_shared<RelayCounter>();
    }
    return counter;
}

} // namespace

std::int64_t shiftCap(const ServiceModel &service, std::size_t regions)
{
    constexpr double part = 0.4;
    const double perRegion = static_cast<double>(service.upstreams * service.slots) / static_cast<double>(regions);
    return static_cast<std::int64_t>(part * perRegion * toSeconds(s_shiftInterval) / (toSeconds(service.serviceTime) * s_meanSlowness));
}

DecisionRun::DecisionRun(const Deployment &deployment, const CaseModel &model, const PolicyModel &policy, std::uint64_t seed)
    : m_deployment(deployment)
    , m_case(model)
    , m_policy(policy)
    , m_generator(seed, 1)
    , m_arrivals(seed, 2)
    , m_faults(seed, 3)
    , m_time(s_start)
    , m_drained(deployment.regions.size())
    , m_regionSeen(deployment.regions.size(), s_start)
    , m_freeSum(deployment.regions.size())
    , m_unmet(deployment.regions.size())
{
    for (const auto &region : deployment.regions) {
        m_regionIds.emplace_back(region);
    }
    m_measures.lowestHeadroom.assign(deployment.regions.size(), 1.0);
    createUpstreams();
    createHosts();
    startTimers();
    scheduleCase();
}

Measures DecisionRun::run()
{
    m_time.runUntil(s_start + s_runEnd);
    for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
        const auto cap = static_cast<double>(shiftCap(m_deployment.services[service], m_regionIds.size()));
        for (const auto &[key, window] : m_shifted) {
            if (key.first == service) {
                m_measures.largestShiftOfCap = std::max(m_measures.largestShiftOfCap, static_cast<double>(window.largest()) / cap);
            }
        }
    }
    std::sort(m_measures.latencies.begin(), m_measures.latencies.end());
    m_measures.lowestOfRegions = *std::min_element(m_measures.lowestHeadroom.begin(), m_measures.lowestHeadroom.end());
    constexpr double usersPercentile = 0.99;
    m_measures.runLatencies = {m_measures.percentile(usersPercentile)};
    m_measures.runHeadrooms = {m_measures.lowestOfRegions};
    return std::move(m_measures);
}

void DecisionRun::createUpstreams()
{
    for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
        const ServiceModel &model = m_deployment.services[service];
        for (int i = 0; i < model.upstreams; ++i) {
            FakeUpstream upstream;
            upstream.service = service;
            upstream.region = static_cast<std::size_t>(i) % m_regionIds.size();
            upstream.zone = static_cast<std::size_t>(i) / m_regionIds.size() % s_zones;
            upstream.slots = model.slots;
            // Machines of different ages: from 15% faster to 30% slower than usual.
            constexpr double fastest = 0.85;
            constexpr double spread = 0.45;
            upstream.slowness = fastest + spread * uniform(m_faults);
            upstream.servedSinceStart = s_coldRequests;
            m_upstreams.push_back(upstream);
        }
    }
    if (m_case.lyingUpstream) {
        m_upstreams.front().lies = true;
        m_upstreams.front().slowness *= 2;
    }
}

void DecisionRun::createHosts()
{
    m_hosts.resize(s_hostsPerRegion * m_regionIds.size());
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        FakeHost &host = m_hosts[i];
        host.region = i / s_hostsPerRegion;
        host.zone = i % s_zones;
        host.pausedUntil = s_start;
        host.lastSeen = s_start;
        resetServices(host);
    }
    m_membersOfShares.assign(m_regionIds.size(), 0);
    m_clients.assign(m_regionIds.size(), std::vector<Client>(s_clientsPerRegion));
    resolveHosts();
    moveGrants();
    heartbeats();
}

void DecisionRun::resetServices(FakeHost &host)
{
    host.lease = std::make_unique<LeaseGuard>();
    host.leaseEnd = s_start;
    host.services.clear();
    host.links.clear();
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        host.links.push_back(LinkBudget::create());
        if (!m_policy.limits) {
            host.links.back()->setGranted(KilobitsPerSecond(1'000'000'000), m_time.now() - 1s);
        }
    }
    for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
        HostService state;
        state.group = std::make_shared<UpstreamGroup>();
        const auto indices = upstreamsOf(host.region, service);
        state.group->setUpstreamCount(static_cast<std::int32_t>(indices.size()));
        for (const std::size_t index : indices) {
            const FakeUpstream &upstream = m_upstreams[index];
            auto slots = UpstreamSlots::create();
            slots->setGranted(SlotCount(m_policy.limits ? 0 : upstream.slots));
            auto tracker = std::make_shared<UpstreamTracker>(UpstreamId(std::to_string(index)), upstream.zone == host.zone, slots, state.group);
            tracker->setLeaving(upstream.leaving);
            state.slots.push_back(slots);
            state.trackers.push_back(tracker);
        }
        state.limit = UpstreamSlots::create();
        state.shift = std::make_shared<ShiftWindow>(s_shiftInterval);
        if (!m_policy.limits) {
            state.shift->setGranted(RequestCount(s_unlimited), s_start - s_shiftInterval);
        }
        state.selector = std::make_shared<UpstreamSelector>(m_policy.selection, state.trackers, state.group);
        state.gate = std::make_unique<DispatchGate>(state.limit, state.shift, state.selector);
        state.queue = std::make_unique<AdmissionQueue>(s_queueCapacity);
        state.balance = std::make_shared<RegionBalance>();
        state.retries = std::make_unique<RetryBudget>();
        state.serviceSeconds = toSeconds(m_deployment.services[service].serviceTime);
        applyLimit(state);
        host.services.push_back(std::move(state));
    }
}

void DecisionRun::every(Duration interval, std::function<void()> action)
{
    m_time.after(interval, [this, interval, action = std::move(action)] {
        action();
        every(interval, action);
    });
}

void DecisionRun::startTimers()
{
    every(s_heartbeat, [this] { heartbeats(); });
    every(100ms, [this] { moveGrants(); });
    every(1s, [this] { reportLoads(); });
    every(1s, [this] { resolveHosts(); });
    every(50ms, [this] { sampleHeadroom(); });
    every(10ms, [this] { sampleFreeSlots(); });
    every(10ms, [this] {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            for (std::size_t service = 0; service < m_deployment.services.size() && isRunning(m_hosts[host]); ++service) {
                expire(host, service);
                pump(host, service);
            }
        }
    });
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
            arriveNext(region, service);
        }
    }
}

void DecisionRun::scheduleCase()
{
    if (m_case.zoneLoss) {
        m_time.after(s_measureAfter, [this] { loseZone(0, 0); });
    }
    if (m_case.regionLoss) {
        m_time.after(s_measureAfter, [this] { loseZone(s_lostRegion, -1); });
    }
    if (m_case.drain) {
        m_time.after(s_measureAfter, [this] {
            m_drained[s_lostRegion] = true;
            heartbeats();
            watchDrain();
        });
    }
    if (m_case.restarts) {
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            m_time.after(s_measureAfter + i * 1s, [this, i] { restartUpstream(i); });
        }
    }
    if (m_case.frozenReports) {
        m_time.after(s_measureAfter, [this] { m_frozen = true; });
    }
    if (m_case.hostFaults) {
        m_time.after(s_measureAfter, [this] { disturbHosts(); });
    }
}

void DecisionRun::arriveNext(std::size_t region, std::size_t service)
{
    m_time.after(seconds(exponential(m_arrivals, 1.0 / demand(region, service))), [this, region, service] {
        auto request = std::make_shared<Request>();
        request->id = ++m_nextRequest;
        request->service = service;
        request->home = region;
        request->client = m_arrivals(s_clientsPerRegion);
        request->tenant = m_arrivals(4);
        request->mayWait = m_arrivals(5) == 0;
        request->mayRepeat = m_arrivals(10) != 0;
        request->start = m_time.now();
        request->deadline = m_time.now() + (request->mayWait ? 5s : 1s);
        send(request);
        arriveNext(region, service);
    });
}

double DecisionRun::demand(std::size_t region, std::size_t service) const
{
    const ServiceModel &model = m_deployment.services[service];
    const bool surging = m_time.now() >= s_start + s_measureAfter && m_time.now() < s_start + s_eventEnd;
    const double load = m_case.load * (surging ? m_case.surge : 1.0) * s_regionWeights[region];
    const double slots = static_cast<double>(model.upstreams * model.slots) / static_cast<double>(m_regionIds.size());
    return load * slots / (toSeconds(model.serviceTime) * s_meanSlowness);
}

void DecisionRun::send(const RequestPointer &request)
{
    Client &client = m_clients[request->home][request->client];
    if (client.order.empty() || m_time.now() - client.resolvedAt > s_lookupLifetime) {
        client.order = m_ranking->rank(static_cast<std::uint16_t>(request->home), static_cast<std::uint32_t>(request->client * 97 + request->home));
        client.place = 0;
        client.resolvedAt = m_time.now();
    }
    if (client.place >= client.order.size()) {
        client.place = 0;
        end(request, End::NotRun);
        return;
    }
    const std::size_t host = client.order[client.place];
    FakeHost &target = m_hosts[host];
    request->entryHost = host;
    request->pickedUp = false;
    const int attempt = ++request->sends;
    const Duration way = s_clientDelay + regionDelay(request->home, target.region);
    if (!target.alive) {
        giveHostUp(request, host, target.silent ? Duration(s_connectTimeout) : 2 * way);
        return;
    }
    const auto pickUp = [this, host, request, attempt] {
        if (request->sends == attempt && !request->ended) {
            request->pickedUp = true;
            serve(host, request);
        }
    };
    m_time.after(way,
        [this, host, life = target.life, pickUp, request] { onHost(host, life, pickUp, [this, host, request] { giveHostUp(request, host, s_clientDelay); }); });
    m_time.after(way + s_progressTimeout, [this, host, request, attempt] {
        if (request->sends == attempt && !request->pickedUp && !request->ended) {
            giveHostUp(request, host, 0s);
        }
    });
}

void DecisionRun::giveHostUp(const RequestPointer &request, std::size_t host, Duration after)
{
    m_time.after(after, [this, request, host] {
        Client &client = m_clients[request->home][request->client];
        if (client.place < client.order.size() && client.order[client.place] == host) {
            ++client.place;
        }
        if (m_time.now() >= request->deadline) {
            end(request, End::NotRun);
            return;
        }
        send(request);
    });
}

void DecisionRun::onHost(std::size_t host, int life, VirtualTime::Action action, VirtualTime::Action lost)
{
    FakeHost &target = m_hosts[host];
    if (!target.alive || target.life != life) {
        lost();
        return;
    }
    if (m_time.now() < target.pausedUntil) {
        target.inbox.push_back([this, host, life, action = std::move(action), lost = std::move(lost)] { onHost(host, life, action, lost); });
        return;
    }
    action();
}

void DecisionRun::serve(std::size_t host, const RequestPointer &request, bool ownShiftFull)
{
    FakeHost &self = m_hosts[host];
    HostService &service = self.services[request->service];
    if (m_time.now() >= request->deadline) {
        end(request, End::NotRun);
        return;
    }
    const int free = service.selector->freeSlots().value();
    const bool freeInRegion = free > 0 || service.targets->hasFreeSlot();
    const double granted = std::max(1, service.selector->usableSlots().value());
    const Duration wait = seconds(static_cast<double>(service.queue->size() + 1) * service.serviceSeconds / granted);
    const bool open = isRegionOpen(self.region);
    if (!request->relayed && (m_policy.spill || !open)) {
        const RegionQuestion question{m_regionIds[request->home], false, freeInRegion, ownShiftFull, wait, s_requestBytes};
        auto decision = service.regions->decide(question, m_time.now());
        if (auto *relay = std::get_if<RelayToRegion>(&decision)) {
            const auto region = static_cast<std::size_t>(std::find(m_regionIds.begin(), m_regionIds.end(), relay->region) - m_regionIds.begin());
            request->relay = std::make_shared<RelayPlace>(std::move(relay->place));
            relayToRegion(host, request, region, std::make_shared<LinkReservation>(std::move(relay->link)));
            return;
        }
        if (!open || ownShiftFull) {
            retryLater(host, request);
            return;
        }
    }
    if (free <= 0 && !request->relayed && relayWithinRegion(host, request)) {
        return;
    }
    dispatchOrQueue(host, request);
}

bool DecisionRun::relayWithinRegion(std::size_t host, const RequestPointer &request)
{
    const HostService &service = m_hosts[host].services[request->service];
    auto chosen = service.targets->choose(m_generator);
    if (!chosen) {
        return false;
    }
    const std::size_t target = service.targetHosts[chosen->index];
    request->relayed = true;
    request->relay = std::make_shared<RelayPlace>(std::move(chosen->place));
    m_time.after(zoneDelay(m_hosts[host].zone, m_hosts[target].zone), [this, host, target, life = m_hosts[target].life, request] {
        onHost(
            target, life, [this, target, request] { serve(target, request); }, [this, host, request] { dispatchOrQueue(host, request); });
    });
    return true;
}

void DecisionRun::relayToRegion(std::size_t host, const RequestPointer &request, std::size_t region, const std::shared_ptr<LinkReservation> &link)
{
    const std::int64_t perSecond = m_deployment.linkKilobits * 125;
    auto &window = m_linkBytes.try_emplace({m_hosts[host].region, region}, ExactWindow(1s)).first->second;
    m_measures.violations.link += window.add(s_requestBytes.value(), m_time.now()) > perSecond ? 1 : 0;
    std::vector<std::size_t> targets;
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        if (m_hosts[other].region == region && m_time.now() - m_hosts[other].lastSeen < 2 * s_heartbeat) {
            targets.push_back(other);
        }
    }
    if (targets.empty()) {
        enqueue(host, request);
        return;
    }
    const std::size_t target = targets[m_generator(static_cast<std::uint32_t>(targets.size()))];
    request->relayed = true;
    const auto refused = [this, host, request] { retryLater(host, request); };
    m_time.after(regionDelay(m_hosts[host].region, region), [this, target, life = m_hosts[target].life, request, link, refused] {
        link->settle(s_requestBytes, m_time.now());
        onHost(
            target, life, [this, target, request] { serve(target, request); }, refused);
    });
}

void DecisionRun::dispatchOrQueue(std::size_t host, const RequestPointer &request)
{
    FakeHost &self = m_hosts[host];
    if (!self.alive) {
        retryOrEnd(host, request, UpstreamOutcome::Error);
        return;
    }
    HostService &service = self.services[request->service];
    const bool moved = request->home != self.region;
    if (service.queue->size() == 0) {
        auto decision = service.gate->tryDispatch(moved, request->mayRepeat, *self.lease, m_generator, m_time.now());
        if (auto *dispatch = std::get_if<Dispatch>(&decision)) {
            startOn(host, request, std::make_shared<Dispatch>(std::move(*dispatch)));
            return;
        }
        if (std::get<DispatchRefusal>(decision) == DispatchRefusal::ShiftCap) {
            if (request->relayed || !m_policy.spill) {
                retryLater(host, request);
            } else {
                serve(host, request, true);
            }
            return;
        }
    }
    enqueue(host, request);
}

void DecisionRun::enqueue(std::size_t host, const RequestPointer &request)
{
    HostService &service = m_hosts[host].services[request->service];
    service.queue->setServiceTime(seconds(service.serviceSeconds));
    const QueuedWork work{request->id, TenantId(std::to_string(request->tenant)), 100, request->mayWait, request->deadline};
    const PushResult result = service.queue->push(work, m_time.now());
    if (result.outcome != PushOutcome::Queued) {
        end(request, End::NotRun);
        return;
    }
    service.waiting[request->id] = request;
    if (result.evicted) {
        const auto evicted = service.waiting.extract(result.evicted->ticket);
        end(evicted.mapped(), End::NotRun);
    }
}

void DecisionRun::retryLater(std::size_t host, const RequestPointer &request)
{
    // The caller's host keeps the request and decides again; a relay that was refused did not run.
    const std::size_t entry = request->entryHost;
    request->relayed = false;
    request->relay.reset();
    const Duration back = regionDelay(m_hosts[host].region, m_hosts[entry].region);
    m_time.after(back + 50ms, [this, entry, life = m_hosts[entry].life, request] {
        onHost(
            entry, life, [this, entry, request] { serve(entry, request); }, [this, entry, request] { retryOrEnd(entry, request, UpstreamOutcome::Error); });
    });
}

void DecisionRun::pump(std::size_t host, std::size_t index)
{
    FakeHost &self = m_hosts[host];
    HostService &service = self.services[index];
    while (service.queue->size() > 0) {
        const auto work = service.queue->pop(m_time.now());
        if (!work) {
            return;
        }
        const RequestPointer request = service.waiting.at(work->ticket);
        auto decision = service.gate->tryDispatch(request->home != self.region, request->mayRepeat, *self.lease, m_generator, m_time.now());
        if (auto *dispatch = std::get_if<Dispatch>(&decision)) {
            service.waiting.erase(work->ticket);
            startOn(host, request, std::make_shared<Dispatch>(std::move(*dispatch)));
            continue;
        }
        if (std::get<DispatchRefusal>(decision) != DispatchRefusal::ShiftCap) {
            service.queue->putBack(*work);
            return;
        }
        service.waiting.erase(work->ticket);
        retryLater(host, request);
    }
}

void DecisionRun::expire(std::size_t host, std::size_t index)
{
    HostService &service = m_hosts[host].services[index];
    for (const auto &work : service.queue->expire(m_time.now())) {
        const auto expired = service.waiting.extract(work.ticket);
        end(expired.mapped(), End::NotRun);
    }
}

void DecisionRun::startOn(std::size_t host, const RequestPointer &request, const std::shared_ptr<Dispatch> &dispatch)
{
    const FakeHost &self = m_hosts[host];
    ++request->attempts;
    if (m_policy.limits && m_time.now() >= self.leaseEnd) {
        ++m_measures.violations.lease;
    }
    if (request->home != self.region) {
        auto &window = m_shifted.try_emplace({request->service, self.region}, ExactWindow(s_shiftInterval)).first->second;
        const std::int64_t cap = shiftCap(m_deployment.services[request->service], m_regionIds.size());
        m_measures.violations.shift += window.add(1, m_time.now()) > cap ? 1 : 0;
    }
    FakeUpstream &upstream = m_upstreams[indexOfUpstream(*dispatch->selection.upstream)];
    m_time.after(zoneDelay(self.zone, upstream.zone),
        [this, host, life = self.life, request, dispatch, &upstream, sent = m_time.now()] { arriveAtUpstream(host, life, request, dispatch, upstream, sent); });
}

void DecisionRun::arriveAtUpstream(
    std::size_t host, int life, const RequestPointer &request, const std::shared_ptr<Dispatch> &dispatch, FakeUpstream &upstream, BootTime sent)
{
    const Duration back = zoneDelay(m_hosts[host].zone, upstream.zone);
    if (!upstream.alive) {
        finishOnHost(host, life, request, dispatch, UpstreamOutcome::ConnectFailed, sent, upstream.silent ? Duration(s_connectTimeout) : back);
        return;
    }
    if (upstream.leaving && m_time.now() - upstream.leavingSince > s_leavingBound) {
        ++m_measures.violations.leaving;
    }
    if (upstream.inFlight >= upstream.slots) {
        ++m_measures.violations.slots;
        finishOnHost(host, life, request, dispatch, UpstreamOutcome::Shed, sent, back);
        return;
    }
    const double busy = static_cast<double>(upstream.inFlight) / upstream.slots;
    ++upstream.inFlight;
    double taken = toSeconds(m_deployment.services[upstream.service].serviceTime) * upstream.slowness * (1 + s_loadSlowness * busy);
    if (upstream.servedSinceStart < s_coldRequests) {
        taken *= s_coldSlowness - (s_coldSlowness - 1) * upstream.servedSinceStart / s_coldRequests;
    }
    ++upstream.servedSinceStart;
    // A fixed part and an exponential one give the times a tail.
    constexpr double fixedPart = 0.6;
    taken *= fixedPart + exponential(m_generator, 1 - fixedPart);
    m_time.after(seconds(taken), [this, host, life, request, dispatch, &upstream, sent, back, upstreamLife = upstream.life] {
        if (upstream.life != upstreamLife) {
            finishOnHost(host,
                life,
                request,
                dispatch,
                upstream.silent ? UpstreamOutcome::Timeout : UpstreamOutcome::Error,
                sent,
                upstream.silent ? Duration(s_progressTimeout) : back);
            return;
        }
        --upstream.inFlight;
        finishOnHost(host, life, request, dispatch, UpstreamOutcome::Success, sent, back);
    });
}

void DecisionRun::finishOnHost(std::size_t host,
    int life,
    const RequestPointer &request,
    const std::shared_ptr<Dispatch> &dispatch,
    UpstreamOutcome outcome,
    BootTime sent,
    Duration after)
{
    // The slot stays reserved for as long as the action holds the dispatch.
    auto held = std::make_shared<std::shared_ptr<Dispatch>>(dispatch);
    const auto finished = [this, host, request, held, outcome, sent] {
        HostService &service = m_hosts[host].services[request->service];
        const Duration latency = m_time.now() - sent;
        (*held)->selection.upstream->record(outcome, latency, m_time.now());
        held->reset();
        if (outcome == UpstreamOutcome::Success) {
            constexpr double alpha = 0.05;
            service.serviceSeconds += alpha * (toSeconds(latency) - service.serviceSeconds);
            service.retries->recordSuccess(m_time.now());
            answer(host, request);
        } else {
            retryOrEnd(host, request, outcome);
        }
        pump(host, request->service);
    };
    const auto lost = [this, host, request, held] {
        held->reset();
        retryOrEnd(host, request, UpstreamOutcome::Error);
    };
    m_time.after(after, [this, host, life, finished, lost] { onHost(host, life, finished, lost); });
}

void DecisionRun::retryOrEnd(std::size_t host, const RequestPointer &request, UpstreamOutcome outcome)
{
    const bool notRun = outcome == UpstreamOutcome::Shed || outcome == UpstreamOutcome::ConnectFailed;
    const FakeHost &self = m_hosts[host];
    if (!self.alive) {
        // The caller's connection broke. What was not dispatched, or may repeat, goes to the next host.
        if (request->mayRepeat || request->attempts == 0) {
            request->relayed = false;
            giveHostUp(request, request->entryHost, self.silent ? Duration(s_progressTimeout) : Duration(s_clientDelay));
        } else {
            end(request, End::Unknown);
        }
        return;
    }
    // Where the connection failed nothing was sent, so trying elsewhere adds no load and needs no budget.
    const bool budget = !m_policy.product || outcome == UpstreamOutcome::ConnectFailed || self.services[request->service].retries->tryTake(m_time.now());
    if (request->mayRepeat && request->attempts < s_attempts && budget && m_time.now() < request->deadline) {
        request->relayed = true;
        dispatchOrQueue(host, request);
        return;
    }
    end(request, notRun ? End::NotRun : End::Unknown);
}

void DecisionRun::answer(std::size_t host, const RequestPointer &request)
{
    const FakeHost &entry = m_hosts[request->entryHost];
    const FakeHost &self = m_hosts[host];
    Duration back = s_clientDelay + regionDelay(entry.region, request->home);
    if (host != request->entryHost) {
        back += entry.region == self.region ? zoneDelay(entry.zone, self.zone) : regionDelay(entry.region, self.region);
    }
    m_time.after(back, [this, request] { end(request, m_time.now() <= request->deadline ? End::Answered : End::Unknown); });
}

void DecisionRun::end(const RequestPointer &request, End how)
{
    if (request->ended) {
        return;
    }
    request->ended = true;
    request->relay.reset();
    if (request->start < s_start + s_measureAfter || request->start >= s_start + s_eventEnd) {
        return;
    }
    m_measures.answered += how == End::Answered ? 1 : 0;
    m_measures.notRun += how == End::NotRun ? 1 : 0;
    m_measures.unknown += how == End::Unknown ? 1 : 0;
    if (how == End::NotRun) {
        m_unmet[request->home] += toSeconds(m_deployment.services[request->service].serviceTime) * s_meanSlowness;
    }
    const Duration latency = how == End::Answered ? m_time.now() - request->start : request->deadline - request->start;
    m_measures.latencies.push_back(std::chrono::duration<float, std::milli>(latency).count());
}

void DecisionRun::heartbeats()
{
    for (auto &host : m_hosts) {
        if (!isRunning(host)) {
            continue;
        }
        host.lastSeen = m_time.now();
        m_regionSeen[host.region] = m_time.now();
        if (host.reclaimed && m_policy.limits) {
            // A reclaimed host learns that its epoch is gone, and joins anew without grants.
            host.lease->revoke();
            for (auto &service : host.services) {
                for (const auto &slots : service.slots) {
                    slots->setGranted(SlotCount(0));
                }
                service.shift->setGranted(RequestCount(0), m_time.now());
                applyLimit(service);
            }
        }
        host.reclaimed = false;
        host.leaseEnd = m_time.now() + s_leaseTime;
        host.lease->extend(m_policy.limits ? host.leaseEnd : BootTime::max());
    }
    reclaimSilentHosts();
    for (auto &host : m_hosts) {
        if (isRunning(host)) {
            rebuildRegions(host);
        }
    }
}

void DecisionRun::rebuildRegions(FakeHost &host)
{
    for (std::size_t index = 0; index < host.services.size(); ++index) {
        std::vector<int> free(m_regionIds.size());
        std::vector<int> slots(m_regionIds.size());
        HostService &service = host.services[index];
        service.targetHosts.clear();
        std::vector<RelayCandidate> targets;
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (m_time.now() - m_hosts[other].lastSeen >= 2 * s_heartbeat) {
                continue;
            }
            const HostService &reported = m_hosts[other].services[index];
            const auto count = static_cast<int>(std::lround(reported.meanFree));
            free[m_hosts[other].region] += count;
            slots[m_hosts[other].region] += reported.limit->granted().value();
            if (m_hosts[other].region == host.region && &m_hosts[other] != &host) {
                targets.push_back({SlotCount(count), counterOf(service.relaysToHost, other)});
                service.targetHosts.push_back(other);
            }
        }
        service.targets = std::make_unique<RelayTargets>(targets);
        std::vector<RegionCandidate> others;
        for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
            if (region != host.region) {
                others.push_back({m_regionIds[region],
                    m_deployment.regionDelay,
                    isRegionOpen(region),
                    SlotCount(free[region]),
                    SlotCount(slots[region]),
                    host.links[region],
                    counterOf(service.relaysToRegion, region)});
            }
        }
        const OwnRegion own{m_regionIds[host.region], isRegionOpen(host.region), SlotCount(free[host.region]), SlotCount(slots[host.region])};
        service.regions = std::make_unique<RegionSelector>(m_policy.objective, own, std::move(others), service.balance);
    }
}

void DecisionRun::reclaimSilentHosts()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        FakeHost &host = m_hosts[index];
        if (host.reclaimed || m_time.now() - host.lastSeen < s_reclaimAfter) {
            continue;
        }
        host.reclaimed = true;
        for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
            m_held.erase({upstream, index});
        }
    }
}

void DecisionRun::moveGrants()
{
    if (!m_policy.limits) {
        return;
    }
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        std::vector<std::size_t> members;
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].region == region && !m_hosts[host].reclaimed) {
                members.push_back(host);
            }
        }
        for (std::size_t service = 0; service < m_deployment.services.size() && !members.empty(); ++service) {
            moveSlotGrants(region, service, members);
        }
        // Shift and link parts only change with the members; lowered parts are in force at once, raised ones wait.
        std::size_t key = members.size();
        for (const std::size_t member : members) {
            key = key * 31 + member * 7 + static_cast<std::size_t>(m_hosts[member].life);
        }
        if (key == m_membersOfShares[region]) {
            continue;
        }
        m_membersOfShares[region] = key;
        const BootTime from = m_time.now() == s_start ? s_start - s_shiftInterval : m_time.now();
        for (std::size_t place = 0; place < members.size(); ++place) {
            FakeHost &host = m_hosts[members[place]];
            for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
                const std::int64_t cap = shiftCap(m_deployment.services[service], m_regionIds.size());
                host.services[service].shift->setGranted(RequestCount(shareOf(cap, members.size(), place, service)), from);
            }
            for (const auto &link : host.links) {
                link->setGranted(KilobitsPerSecond(m_deployment.linkKilobits / static_cast<std::int64_t>(members.size())), from);
            }
        }
    }
}

void DecisionRun::moveSlotGrants(std::size_t region, std::size_t service, const std::vector<std::size_t> &members)
{
    const auto indices = upstreamsOf(region, service);
    for (std::size_t place = 0; place < indices.size(); ++place) {
        int rest = m_upstreams[indices[place]].slots;
        for (const std::size_t member : members) {
            rest -= m_held[{indices[place], member}];
        }
        for (const bool lowering : {true, false}) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                FakeHost &host = m_hosts[members[i]];
                if (!isRunning(host)) {
                    continue;
                }
                int &held = m_held[{indices[place], members[i]}];
                const auto target = static_cast<int>(shareOf(m_upstreams[indices[place]].slots, members.size(), i, place));
                HostService &state = host.services[service];
                const int before = held;
                if (lowering && held > target) {
                    state.slots[place]->setGranted(SlotCount(target));
                    if (state.slots[place]->inFlight().value() <= target) {
                        rest += held - target;
                        held = target;
                    }
                    applyLimit(state);
                } else if (!lowering && held < target) {
                    const int taken = std::min(target - held, rest);
                    held += taken;
                    rest -= taken;
                    state.slots[place]->setGranted(SlotCount(held));
                }
                if (held != before) {
                    applyLimit(state);
                }
            }
        }
    }
}

void DecisionRun::applyLimit(HostService &service)
{
    std::int32_t sum = 0;
    for (const auto &slots : service.slots) {
        sum += slots->granted().value();
    }
    service.limit->setGranted(DispatchGate::regionLimitGrant(SlotCount(sum), 100));
}

void DecisionRun::reportLoads()
{
    if (m_frozen) {
        return;
    }
    for (auto &host : m_hosts) {
        for (auto &service : host.services) {
            for (const auto &tracker : service.trackers) {
                tracker->health().recordReport(m_upstreams[indexOfUpstream(*tracker)].reported, m_time.now() - 1s);
            }
        }
    }
    for (auto &upstream : m_upstreams) {
        upstream.reported = upstream.lies ? 0.0F : static_cast<float>(upstream.inFlight) / static_cast<float>(upstream.slots);
    }
}

void DecisionRun::resolveHosts()
{
    std::vector<RankedHost> ranked;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const FakeHost &host = m_hosts[i];
        // Entry hosts learn of each other's death from heartbeats; without them there is only the platform's list.
        const bool listedAsDead = m_policy.limits ? m_time.now() - host.lastSeen > s_silentHost : !host.alive && m_time.now() - host.diedAt > s_listLag;
        ranked.push_back({HostId("host" + std::to_string(i)), m_regionIds[host.region], ZoneId(std::to_string(host.zone)), listedAsDead});
    }
    m_ranking = std::make_unique<HostRanking>(ranked, m_regionIds, std::vector<LinkConfiguration>{});
}

void DecisionRun::sampleHeadroom()
{
    std::vector<int> slots(m_regionIds.size());
    std::vector<int> used(m_regionIds.size());
    for (const auto &upstream : m_upstreams) {
        if (upstream.alive && !upstream.leaving) {
            slots[upstream.region] += upstream.slots;
            used[upstream.region] += upstream.inFlight;
        }
    }
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        const bool counts = slots[region] > 0 && !m_drained[region];
        m_freeSum[region] += counts ? 1.0 - static_cast<double>(used[region]) / slots[region] : 1.0;
    }
    constexpr int samples = 20;
    if (++m_freeSamples < samples) {
        return;
    }
    const bool measured = m_time.now() > s_start + s_measureAfter + 1s && m_time.now() <= s_start + s_eventEnd;
    // Refused work of a region without upstreams would have needed slots in the others.
    double homeless = 0;
    int serving = 0;
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        const bool serves = slots[region] > 0 && !m_drained[region];
        serving += serves ? 1 : 0;
        homeless += serves ? 0 : m_unmet[region];
    }
    for (std::size_t region = 0; region < m_regionIds.size(); ++region) {
        if (measured && slots[region] > 0 && !m_drained[region]) {
            const double unmet = (m_unmet[region] + homeless / serving) / slots[region];
            m_measures.lowestHeadroom[region] = std::min(m_measures.lowestHeadroom[region], m_freeSum[region] / samples - unmet);
        }
        m_freeSum[region] = 0;
        m_unmet[region] = 0;
    }
    m_freeSamples = 0;
}

void DecisionRun::sampleFreeSlots()
{
    constexpr double alpha = 0.04;
    for (auto &host : m_hosts) {
        for (auto &service : host.services) {
            service.meanFree += alpha * (service.selector->freeSlots().value() - service.meanFree);
        }
    }
}

void DecisionRun::watchDrain()
{
    int inFlight = 0;
    for (const auto &upstream : m_upstreams) {
        inFlight += upstream.region == s_lostRegion ? upstream.inFlight : 0;
    }
    if (inFlight == 0) {
        m_measures.drainSeconds = toSeconds(m_time.now() - s_start - s_measureAfter);
        return;
    }
    m_time.after(5ms, [this] { watchDrain(); });
}

void DecisionRun::killUpstream(FakeUpstream &upstream, bool silent)
{
    upstream.alive = false;
    upstream.silent = silent;
    upstream.inFlight = 0;
    ++upstream.life;
}

void DecisionRun::restartUpstream(std::size_t index)
{
    FakeUpstream &upstream = m_upstreams[index];
    upstream.leaving = true;
    upstream.leavingSince = m_time.now();
    m_time.after(s_leavingLag, [this, index] { setLeavingOnHosts(index, true, false); });
    m_time.after(2s, [this, index] { killUpstream(m_upstreams[index], false); });
    m_time.after(3s, [this, index] {
        m_upstreams[index].alive = true;
        m_upstreams[index].leaving = false;
        m_upstreams[index].servedSinceStart = 0;
    });
    m_time.after(3s + s_leavingLag, [this, index] { setLeavingOnHosts(index, false, true); });
}

void DecisionRun::setLeavingOnHosts(std::size_t index, bool leaving, bool restarted)
{
    for (auto &host : m_hosts) {
        for (const auto &tracker : host.services[m_upstreams[index].service].trackers) {
            if (indexOfUpstream(*tracker) != index) {
                continue;
            }
            tracker->setLeaving(leaving);
            if (restarted) {
                tracker->recordRestart();
            }
        }
    }
}

void DecisionRun::killHost(std::size_t host, bool silent)
{
    FakeHost &target = m_hosts[host];
    target.alive = false;
    target.silent = silent;
    target.diedAt = m_time.now();
    ++target.life;
    for (auto &service : target.services) {
        const auto waiting = std::move(service.waiting);
        service.waiting.clear();
        service.queue = std::make_unique<AdmissionQueue>(s_queueCapacity);
        for (const auto &[ticket, request] : waiting) {
            retryOrEnd(host, request, UpstreamOutcome::Error);
        }
    }
    const auto inbox = std::move(target.inbox);
    target.inbox.clear();
    for (const auto &action : inbox) {
        action();
    }
}

void DecisionRun::startHost(std::size_t host)
{
    FakeHost &target = m_hosts[host];
    target.alive = true;
    target.pausedUntil = m_time.now();
    resetServices(target);
    heartbeats();
}

void DecisionRun::loseZone(std::size_t region, int zone)
{
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        FakeUpstream &upstream = m_upstreams[i];
        if (upstream.region == region && (zone < 0 || upstream.zone == static_cast<std::size_t>(zone))) {
            killUpstream(upstream, true);
            m_time.after(s_listLag, [this, i] { setLeavingOnHosts(i, true, false); });
        }
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].region == region && (zone < 0 || m_hosts[i].zone == static_cast<std::size_t>(zone))) {
            killHost(i, true);
        }
    }
}

void DecisionRun::disturbHosts()
{
    if (m_time.now() >= s_start + s_eventEnd) {
        return;
    }
    const std::size_t host = m_faults(static_cast<std::uint32_t>(m_hosts.size()));
    const bool kills = m_faults(2) == 0;
    const Duration pause = 500ms + seconds(uniform(m_faults) * 9);
    FakeHost &target = m_hosts[host];
    if (isRunning(target)) {
        if (kills) {
            killHost(host, false);
            m_time.after(s_hostRestart, [this, host] { startHost(host); });
        } else {
            target.pausedUntil = m_time.now() + pause;
            m_time.after(pause, [this, host] {
                const auto inbox = std::move(m_hosts[host].inbox);
                m_hosts[host].inbox.clear();
                for (const auto &action : inbox) {
                    action();
                }
            });
        }
    }
    m_time.after(seconds(exponential(m_faults, 4)), [this] { disturbHosts(); });
}

bool DecisionRun::isRunning(const FakeHost &host) const
{
    return host.alive && m_time.now() >= host.pausedUntil;
}

bool DecisionRun::isRegionOpen(std::size_t region) const
{
    return !m_drained[region] && m_time.now() - m_regionSeen[region] < 2s;
}

std::vector<std::size_t> DecisionRun::upstreamsOf(std::size_t region, std::size_t service) const
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        if (m_upstreams[i].region == region && m_upstreams[i].service == service) {
            indices.push_back(i);
        }
    }
    return indices;
}

std::size_t DecisionRun::indexOfUpstream(const UpstreamTracker &tracker) const
{
    return static_cast<std::size_t>(std::stoul(tracker.id().value()));
}

DecisionRun::Duration DecisionRun::zoneDelay(std::size_t zoneA, std::size_t zoneB) const
{
    return zoneA == zoneB ? Duration(s_sameZoneDelay) : Duration(s_otherZoneDelay);
}

DecisionRun::Duration DecisionRun::regionDelay(std::size_t a, std::size_t b) const
{
    return a == b ? Duration(0) : m_deployment.regionDelay;
}

double DecisionRun::uniform(pcg32 &generator)
{
    return static_cast<double>(generator()) / 4294967296.0;
}

double DecisionRun::exponential(pcg32 &generator, double mean)
{
    return -mean * std::log(1.0 - uniform(generator));
}

} // namespace Trefoil::Bench
