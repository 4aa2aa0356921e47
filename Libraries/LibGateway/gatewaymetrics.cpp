#include <LibGateway/gatewaymetrics.h>

#include <set>

namespace Trefoil
{

namespace
{

constexpr std::array<std::string_view, 6> s_outcomeNames = {"success", "failed", "broken", "shed", "unreachable", "cancelled"};

constexpr std::array<std::string_view, 3> s_requestOutcomeNames = {"answered", "not-run", "unknown"};

double secondsSince(BootTime since, BootTime now)
{
    return since == BootTime{} ? -1 : std::chrono::duration<double>(now - since).count();
}

constexpr std::array<std::pair<CacheState, std::string_view>, 3> s_cacheNames = {
    {{CacheState::Unlikely, "unlikely"}, {CacheState::Likely, "likely"}, {CacheState::Cached, "cached"}}};

/// Learned cost of requests and remaining work, where upstreams report the time that work takes.
void writeCost(ScrapeWriter &writer, const GatewayState &state, BootTime now)
{
    const auto &routes = state.routeStates();
    writer.begin("trefoil_request_cost_seconds", "gauge", "Learned work of a request on a machine of usual speed, by route and state of the cache.");
    for (const auto &[id, route] : routes) {
        for (const auto &[cache, name] : s_cacheNames) {
            if (route.cost.hasSamples()) {
                const double seconds = std::chrono::duration<double>(route.cost.expected(cache, {})).count();
                writer.sample("", {{"route", id.value()}, {"cache", name}}, seconds);
            }
        }
    }
    writer.begin("trefoil_request_cost_spread", "gauge", "Mean deviation of the work of requests from the learned one, as a fraction of the latter.");
    for (const auto &[id, route] : routes) {
        if (route.cost.hasSamples()) {
            writer.sample("", {{"route", id.value()}}, route.cost.spread());
        }
    }
    writer.begin("trefoil_remaining_work_seconds", "gauge", "Work that upstreams still have to do for this host's requests in flight, by service.");
    for (const auto &[id, service] : state.serviceStates()) {
        if (!service.reportsWorkFactor) {
            continue;
        }
        Milliseconds sum(0);
        for (const auto &upstream : service.upstreams) {
            sum += upstream->remaining.ownWork(now);
        }
        writer.sample("", {{"service", id.value()}}, sum.count() / 1000);
    }
}

} // namespace

GatewayMetrics::GatewayMetrics() = default;

void GatewayMetrics::declare(const RoutingConfiguration &configuration, BootTime now)
{
    std::set<TenantId> hosts;
    std::set<ClassId> routes;
    for (const Route &route : configuration.routes) {
        hosts.insert(TenantId(route.host));
        routes.insert(ClassId(route.id.value()));
    }
    m_requests.declare({hosts.begin(), hosts.end()}, {routes.begin(), routes.end()});
    m_configurationAt = now;
}

std::shared_ptr<RequestSeries> GatewayMetrics::start(const Route *route) const
{
    auto series = route ? m_requests.series(TenantId(route->host), ClassId(route->id.value())) : m_requests.series(TenantId(), ClassId());
    series->started();
    return series;
}

void GatewayMetrics::countAttempt(const UpstreamId &upstream, AttemptOutcome outcome, const CallTrace &trace)
{
    m_foreignResponses += static_cast<std::uint64_t>(trace.foreignResponses);
    m_avoidedConnections += static_cast<std::uint64_t>(trace.avoidedConnections);
    if (trace.opened) {
        ++m_openedConnections[static_cast<std::size_t>(*trace.opened)];
    }
    const bool hasOwn = m_attempts.count(upstream) > 0 || m_attempts.size() < s_maximumUpstreams;
    ++m_attempts[hasOwn ? upstream : UpstreamId("other")][static_cast<std::size_t>(outcome)];
}

void GatewayMetrics::countCustomerRequest(const CustomerId &customer, RequestOutcome outcome)
{
    const bool hasOwn = m_customerRequests.count(customer) > 0 || m_customerRequests.size() < s_maximumCustomers;
    ++m_customerRequests[hasOwn ? customer : CustomerId("other")][static_cast<std::size_t>(outcome)];
}

void GatewayMetrics::writeTo(ScrapeWriter &writer, const GatewayState &state, BootTime now) const
{
    m_requests.writeTo(writer);
    writer.begin("trefoil_attempts_total", "counter", "Attempts at upstreams by how they ended.");
    for (const auto &[upstream, counts] : m_attempts) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            if (counts[i] > 0) {
                writer.sample("", {{"upstream", upstream.value()}, {"outcome", s_outcomeNames[i]}}, static_cast<double>(counts[i]));
            }
        }
    }
    if (!m_customerRequests.empty()) {
        writer.begin("trefoil_customer_requests_total", "counter", "Requests of customers by how they ended.");
        for (const auto &[customer, counts] : m_customerRequests) {
            for (std::size_t i = 0; i < counts.size(); ++i) {
                writer.sample("", {{"customer", customer.value()}, {"outcome", s_requestOutcomeNames[i]}}, static_cast<double>(counts[i]));
            }
        }
    }
    writer.begin("trefoil_foreign_responses_total", "counter", "Responses of upstreams that bore the id of another request and were discarded.");
    writer.sample("", {}, static_cast<double>(m_foreignResponses));
    writer.begin("trefoil_avoided_connections_total", "counter", "Idle connections not used for a request that they had answered with a failure.");
    writer.sample("", {}, static_cast<double>(m_avoidedConnections));
    writer.begin("trefoil_upstream_connections_opened_total", "counter", "Connections opened to upstreams by why no idle one was used.");
    for (std::size_t i = 0; i < m_openedConnections.size(); ++i) {
        writer.sample("", {{"cause", toText(static_cast<ConnectionCause>(i))}}, static_cast<double>(m_openedConnections[i]));
    }
    const auto routes = state.routes();
    writer.begin("trefoil_configuration_version", "gauge", "Version of the configuration in force; 0 before the first one.");
    writer.sample("", {}, routes ? static_cast<double>(routes->configuration().version.value()) : 0);
    writer.begin("trefoil_configuration_age_seconds", "gauge", "Time since the configuration came in force; -1 before the first one.");
    writer.sample("", {}, secondsSince(m_configurationAt, now));
    writer.begin("trefoil_discovery_age_seconds", "gauge", "Time since the store last confirmed the list of upstreams; -1 before the first time.");
    writer.sample("", {}, secondsSince(m_discoveryAt, now));
    writer.begin("trefoil_upstreams", "gauge", "Upstreams that are registered.");
    writer.sample("", {}, static_cast<double>(state.upstreamCount()));
    writer.begin("trefoil_evacuated_zones", "gauge", "Availability zones that get no requests.");
    writer.sample("", {}, static_cast<double>(state.evacuated().size()));
    writer.begin("trefoil_registered_hosts", "gauge", "Entry hosts that are registered, whether they live or not.");
    writer.sample("", {}, static_cast<double>(state.registeredHostCount()));
    writeCost(writer, state, now);
}

void writeMemoryMetrics(ScrapeWriter &writer, const MemoryBudget &memory)
{
    writer.begin("trefoil_message_memory_bytes", "gauge", "Bytes of requests and responses that are held.");
    writer.sample("", {}, static_cast<double>(memory.reservedBytes()));
    writer.begin("trefoil_message_memory_limit_bytes", "gauge", "Most bytes of requests and responses that may be held.");
    writer.sample("", {}, static_cast<double>(memory.limits().total));
    writer.begin("trefoil_no_memory_total", "counter", "Requests rejected, and responses given up, because there was no memory for them.");
    for (const MemoryUse use : {MemoryUse::Request, MemoryUse::Response}) {
        writer.sample("", {{"message", toText(use)}}, static_cast<double>(memory.refusals(use)));
    }
}

void writeConnectionMetrics(ScrapeWriter &writer, const ConnectionUse &use)
{
    writer.begin("trefoil_upstream_connections", "gauge", "Connections to upstreams that are open or being opened.");
    writer.sample("", {{"state", "in-use"}}, static_cast<double>(use.inUse));
    writer.sample("", {{"state", "idle"}}, static_cast<double>(use.idle));
    writer.begin("trefoil_upstream_connections_limit", "gauge", "Most connections to all upstreams together; 0 for no limit.");
    writer.sample("", {}, static_cast<double>(use.limit));
    writer.begin("trefoil_upstream_connection_limit_total", "counter", "What the limit on connections to all upstreams has caused.");
    writer.sample("", {{"event", "call-rejected"}}, static_cast<double>(use.rejectedCalls));
    writer.sample("", {{"event", "idle-closed"}}, static_cast<double>(use.closedForRoom));
}

} // namespace Trefoil
