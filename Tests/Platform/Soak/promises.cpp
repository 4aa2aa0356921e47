#include <Platform/Soak/promises.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil::Soak
{

namespace
{

/// An idempotent request goes to two upstreams at most.
constexpr std::size_t s_idempotentExecutions = 2;

bool overlaps(const Disturbance &disturbance, BootTime from, BootTime until)
{
    return disturbance.from <= until && from <= disturbance.until;
}

bool anyOverlaps(const std::vector<Disturbance> &disturbances, BootTime from, BootTime until)
{
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance &disturbance) { return overlaps(disturbance, from, until); });
}

} // namespace

void Promises::ended(const CallerRequest &request)
{
    m_requests.push_back(request);
}

void Promises::began(const Execution &execution)
{
    m_executions.emplace(execution.id, execution);
}

void Promises::hostDisturbed(std::size_t host, Disturbance disturbance)
{
    m_hosts[host].push_back(disturbance);
}

void Promises::hostKilled(std::size_t host, Disturbance disturbance)
{
    m_kills[host].push_back(disturbance);
}

void Promises::hostStopped(std::size_t host, BootTime at)
{
    m_stops[host].push_back(at);
}

void Promises::unanswered(const UnansweredRequest &request)
{
    m_unanswered.push_back(request);
}

void Promises::linkDisturbed(const std::string &upstream, Disturbance disturbance)
{
    m_links[upstream].push_back(disturbance);
}

void Promises::storeDisturbed(Disturbance disturbance)
{
    m_store.push_back(disturbance);
}

void Promises::routeChanged(const std::string &route, RouteChange change)
{
    m_routes[route].push_back(std::move(change));
}

void Promises::customersConfigured(CustomerVersions customers, BootTime sentAt, BootTime acknowledgedAt)
{
    if (!m_customers) {
        m_customers.emplace();
    }
    m_customers->configured(std::move(customers), sentAt, acknowledgedAt);
}

void Promises::upstreamBanned(const std::string &upstream, Disturbance ban)
{
    m_bans.emplace(upstream, ban);
}

void Promises::note(const std::string &violation)
{
    m_notes.push_back(violation);
}

bool Promises::isCalm(std::size_t host, BootTime from, BootTime until) const
{
    const auto disturbances = m_hosts.find(host);
    return disturbances == m_hosts.end() || !anyOverlaps(disturbances->second, from, until);
}

bool Promises::knowsChanges(std::size_t host, BootTime from, BootTime until) const
{
    return isCalm(host, from, until) && !anyOverlaps(m_store, from, until);
}

BootTime Promises::inForceBy(std::size_t host, BootTime writtenAt) const
{
    static const std::vector<Disturbance> none;
    const auto own = m_hosts.find(host);
    const std::vector<Disturbance> &ofHost = own == m_hosts.end() ? none : own->second;
    BootTime knownAt = writtenAt;
    BootTime before;
    do {
        before = knownAt;
        for (const std::vector<Disturbance> *disturbances : {&m_store, &ofHost}) {
            for (const Disturbance &disturbance : *disturbances) {
                if (overlaps(disturbance, knownAt, knownAt + s_changeBound + s_tolerance)) {
                    knownAt = std::max(knownAt, disturbance.until);
                }
            }
        }
    } while (knownAt != before);
    return knownAt + s_changeBound + s_tolerance;
}

std::vector<RouteChange> Promises::versionsInForce(const CallerRequest &request, BootTime from, BootTime until) const
{
    const auto changes = m_routes.find(request.route);
    if (changes == m_routes.end()) {
        return {};
    }
    std::vector<RouteChange> versions;
    for (auto change = changes->second.rbegin(); change != changes->second.rend(); ++change) {
        if (change->at > until) {
            continue;
        }
        versions.push_back(*change);
        if (inForceBy(request.host, change->at) <= from) {
            return versions;
        }
    }
    return {};
}

void Promises::checkCount(const CallerRequest &request, std::size_t executions, std::vector<std::string> &found) const
{
    const std::size_t most = request.isIdempotent ? s_idempotentExecutions : 1;
    if (executions > most) {
        found.push_back(fmt::format("{}: ran {} times, {} at most", request.id, executions, most));
    }
    const bool isToldNotRun = request.end == ResponseKind::Rejected || request.end == ResponseKind::Unauthorized || request.end == ResponseKind::QuotaExceeded;
    if (isToldNotRun && executions > 0) {
        found.push_back(fmt::format("{}: told that it did not run, but ran", request.id));
    }
    if (request.end == ResponseKind::Served && executions == 0) {
        found.push_back(fmt::format("{}: served without an execution", request.id));
    }
}

void Promises::checkEnd(const CallerRequest &request, std::vector<std::string> &found) const
{
    if (request.end == ResponseKind::Served && request.body != request.id) {
        found.push_back(fmt::format("{}: got the response of {}", request.id, request.body));
    }
    if (!isCalm(request.host, request.sentAt, request.endedAt)) {
        return;
    }
    if (request.end == ResponseKind::ConnectionLost) {
        found.push_back(fmt::format("{}: host {} lost the connection", request.id, request.host));
    }
    if (request.endedAt - request.sentAt > request.timeout + s_tolerance) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(request.endedAt - request.sentAt);
        found.push_back(fmt::format("{}: held for {} ms, its time is {} ms", request.id, took.count(), request.timeout.count()));
    }
}

void Promises::checkLost(const UnansweredRequest &request, std::size_t executions, std::vector<std::string> &found) const
{
    const auto kills = m_kills.find(request.host);
    if (kills != m_kills.end() && anyOverlaps(kills->second, request.sentAt, request.endedAt)) {
        return;
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(request.endedAt - request.sentAt);
    if (executions == 0 && !(request.endedInOrder && took > s_lossSlack)) {
        return;
    }
    std::string stops;
    if (const auto stopsOfHost = m_stops.find(request.host); stopsOfHost != m_stops.end()) {
        for (const BootTime at : stopsOfHost->second) {
            stops += fmt::format(" {}", std::chrono::duration_cast<std::chrono::milliseconds>(request.endedAt - at).count());
        }
    }
    found.push_back(
        fmt::format("{}: LOST at host {} after {} ms, {} executions, ms after each SIGTERM:{}", request.id, request.host, took.count(), executions, stops));
}

void Promises::checkRoute(const CallerRequest &request, const Execution &execution, BootTime reachedAt, std::vector<std::string> &found) const
{
    if (!isCalm(request.host, request.sentAt, execution.begunAt)) {
        return;
    }
    const auto goesToService = [&execution](const RouteChange &version) { return version.service == execution.service; };
    const auto allowsRegion = [&execution](const RouteChange &version) {
        return version.regions.empty() || std::find(version.regions.begin(), version.regions.end(), execution.region) != version.regions.end();
    };
    const auto ofRequest = versionsInForce(request, request.sentAt, execution.begunAt);
    if (!ofRequest.empty() && std::none_of(ofRequest.begin(), ofRequest.end(), goesToService)) {
        found.push_back(fmt::format("{}: went to {} after the configuration had changed", request.id, execution.service));
    }
    const auto ofExecution = versionsInForce(request, reachedAt, execution.begunAt);
    if (!ofExecution.empty() && std::none_of(ofExecution.begin(), ofExecution.end(), allowsRegion)) {
        found.push_back(fmt::format("{}: host {} sent it to {} in {}, which no configuration in force allows for {}",
            request.id,
            request.host,
            execution.upstream,
            execution.region,
            request.route));
    }
}

void Promises::checkExecution(const CallerRequest &request, const Execution &execution, std::vector<std::string> &found) const
{
    const auto links = m_links.find(execution.upstream);
    const bool arrivedAtOnce = links == m_links.end() || !anyOverlaps(links->second, request.sentAt, execution.begunAt);
    if (!execution.timeLeft) {
        found.push_back(fmt::format("{}: reached {} without its time left", request.id, execution.upstream));
    } else if (arrivedAtOnce && isCalm(request.host, request.sentAt, execution.begunAt)
        && *execution.timeLeft > request.timeout - (execution.begunAt - request.sentAt) + s_tolerance) {
        found.push_back(fmt::format("{}: its time left grew to {} ms", request.id, execution.timeLeft->count()));
    }
    // Bytes that a link holds back left the host earlier.
    checkRoute(request, execution, arrivedAtOnce ? execution.begunAt : request.sentAt, found);
    const BootTime settled = request.sentAt - s_changeBound - s_tolerance;
    if (!knowsChanges(request.host, settled, execution.begunAt)) {
        return;
    }
    const auto bans = m_bans.equal_range(execution.upstream);
    for (auto ban = bans.first; ban != bans.second; ++ban) {
        if (ban->second.from <= settled && execution.begunAt < ban->second.until) {
            found.push_back(fmt::format("{}: reached {} after it had left", request.id, execution.upstream));
        }
    }
}

BootTime Promises::limitInForceBy(BootTime writtenAt) const
{
    BootTime latest = writtenAt + s_limitBound;
    for (const auto &[host, disturbances] : m_hosts) {
        latest = std::max(latest, inForceBy(host, writtenAt));
    }
    return std::min(latest, writtenAt + CustomerRules().revocationTime);
}

void Promises::checkCustomers(std::vector<std::string> &found) const
{
    if (!m_customers) {
        return;
    }
    for (const CallerRequest &request : m_requests) {
        const auto executions = m_executions.equal_range(request.id);
        for (auto execution = executions.first; execution != executions.second; ++execution) {
            m_customers->checkExecution(request, execution->second, found);
        }
        if (isCalm(request.host, request.sentAt, request.endedAt)) {
            m_customers->checkEnd(
                request, [this, &request](BootTime writtenAt) { return inForceBy(request.host, writtenAt); }, found);
        }
    }
    m_customers->checkWindows(
        m_executions, [this](BootTime writtenAt) { return limitInForceBy(writtenAt); }, found);
}

std::vector<std::string> Promises::violations() const
{
    std::vector<std::string> found = m_notes;
    for (const UnansweredRequest &request : m_unanswered) {
        checkLost(request, m_executions.count(request.id), found);
    }
    for (const CallerRequest &request : m_requests) {
        const auto executions = m_executions.equal_range(request.id);
        checkCount(request, static_cast<std::size_t>(std::distance(executions.first, executions.second)), found);
        checkEnd(request, found);
        if (request.end == ResponseKind::ConnectionLost) {
            checkLost({request.id, request.host, request.sentAt, request.endedAt, false}, m_executions.count(request.id), found);
        }
        for (auto execution = executions.first; execution != executions.second; ++execution) {
            checkExecution(request, execution->second, found);
        }
    }
    checkCustomers(found);
    return found;
}

std::size_t Promises::entitled() const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const CallerRequest &request) { return request.isEntitled; }));
}

std::size_t Promises::served() const
{
    const auto isServed = [](const CallerRequest &request) { return request.isEntitled && request.end == ResponseKind::Served; };
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), isServed));
}

std::string Promises::summary() const
{
    std::map<ResponseKind, std::size_t> counts;
    for (const CallerRequest &request : m_requests) {
        ++counts[request.end];
    }
    const auto endedInOrder = std::count_if(m_unanswered.begin(), m_unanswered.end(), [](const UnansweredRequest &request) { return request.endedInOrder; });
    const std::string ofCustomers =
        m_customers ? fmt::format(", unauthorized {}, above quotas {}", counts[ResponseKind::Unauthorized], counts[ResponseKind::QuotaExceeded]) : "";
    return fmt::format(
        "requests {}, served {}, rejected {}, failed {}, lost {}, held {}, executions {}, steady callers' without a response {} ({} ended in order){}",
        m_requests.size(),
        counts[ResponseKind::Served],
        counts[ResponseKind::Rejected],
        counts[ResponseKind::Failed],
        counts[ResponseKind::ConnectionLost],
        counts[ResponseKind::Held],
        m_executions.size(),
        m_unanswered.size(),
        endedInOrder,
        ofCustomers);
}

} // namespace Trefoil::Soak
