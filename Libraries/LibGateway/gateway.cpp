#include <LibGateway/gateway.h>

#include <LibGateway/calleridentity.h>
#include <LibSteering/affinityranking.h>
#include <LibSteering/retryafter.h>
#include <LibSteering/stopadmission.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

constexpr int s_unauthorized = 401;
constexpr int s_notFound = 404;
constexpr int s_tooManyRequests = 429;
constexpr int s_badGateway = 502;
constexpr int s_unavailable = 503;
constexpr int s_gatewayTimeout = 504;
/// Further upstreams that are tried after attempts that sent nothing, such as failures to connect: these cause no work.
constexpr int s_maximumUnsent = 4;
/// With less time left, no upstream can complete a request.
constexpr std::chrono::milliseconds s_minimumTimeLeft{5};
/// Basis of Retry-After while this host has no configuration, or the service has no usable upstream.
constexpr Milliseconds s_startRetryAfter{500};
/// Basis of Retry-After when upstreams shed a request although they seem to have free slots: a retry is likely to succeed.
constexpr Milliseconds s_shedRetryAfter{20};
/// Basis of Retry-After when all connections to upstreams carry requests: about half the mean work of a request, after which many of them
/// are free.
constexpr Milliseconds s_connectionRetryAfter{500};
/// Basis of Retry-After while this host stops: other hosts serve the request right away.
constexpr Milliseconds s_elsewhereRetryAfter{20};
/// Reason for requests that this host doesn't complete since it stops.
constexpr std::string_view s_hostStopping = "host-stopping";
/// Callers come back spread over the length of a pause, and over this time at most.
constexpr Milliseconds s_maximumPauseSpread{1000};

std::int64_t wholeMilliseconds(Milliseconds time)
{
    return static_cast<std::int64_t>(time.count());
}

/// Whether callers take the status for a promise that the request has not run and will not.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == s_unavailable;
}

/// Regions that both lists allow, where an empty list allows all; nothing when they have none in common.
std::optional<std::vector<RegionId>> commonRegions(const std::vector<RegionId> &first, const std::vector<RegionId> &second)
{
    if (first.empty() || second.empty()) {
        return first.empty() ? second : first;
    }
    std::vector<RegionId> common;
    std::copy_if(first.begin(), first.end(), std::back_inserter(common), [&second](const RegionId &region) {
        return std::find(second.begin(), second.end(), region) != second.end();
    });
    return common.empty() ? std::nullopt : std::make_optional(std::move(common));
}

/// Returns the route as it applies to a customer; nothing when they have no allowed region in common.
std::optional<Route> routeFor(const Route &route, const Customer &customer)
{
    auto regions = commonRegions(route.allowedRegions, customer.allowedRegions);
    if (!regions) {
        return std::nullopt;
    }
    Route result = route;
    result.priority = customer.priority;
    result.allowedRegions = std::move(*regions);
    return result;
}

/// Returns the newer route narrowed to the limits of both; nothing when they have no allowed region in common.
std::optional<Route> narrowed(const Route &earlier, const Route &newer)
{
    Route both = newer;
    both.kind = earlier.kind == RequestKind::NonIdempotent ? earlier.kind : newer.kind;
    both.timeout = std::min(earlier.timeout, newer.timeout);
    both.maximumAttempts = std::min(earlier.maximumAttempts, newer.maximumAttempts);
    auto regions = commonRegions(earlier.allowedRegions, newer.allowedRegions);
    if (!regions) {
        return std::nullopt;
    }
    both.allowedRegions = std::move(*regions);
    return both;
}

ConnectionPoolSettings poolSettings(const GatewaySettings &settings)
{
    ConnectionPoolSettings pool;
    pool.sourceAddress = settings.sourceAddress;
    pool.connectTimeout = settings.connectTimeout;
    pool.connectionLimit = settings.upstreamConnectionLimit;
    pool.unacknowledgedTimeout = settings.unacknowledgedTimeout;
    pool.memory = settings.memory;
    return pool;
}

bool sendsTo(const Route &route, const ServiceId &service)
{
    return std::any_of(
        route.services.begin(), route.services.end(), [&service](const WeightedService &part) { return part.service == service && part.weight > 0; });
}

} // namespace

/// State of one request while the gateway handles it.
struct Gateway::Exchange
{
    HttpRequest &request;
    CallerConnection &caller;
    std::shared_ptr<const RouteTable> routes;
    /// Replaces the route that was matched at arrival where the customer narrows it, or a newer configuration is in force.
    std::optional<Route> narrowedRoute{};
    std::string id{};
    /// Input of the placement; the route is null when none matches.
    RequestPlacement placement{};
    /// Decides whether the request is spilled to another region: hash of the affinity key, or of the request id without a key.
    std::uint64_t positionHash = 0;
    std::set<UpstreamId> tried{};
    /// Number of attempts that may have sent bytes to an upstream.
    int sent = 0;
    /// Number of attempts that sent nothing.
    int unsent = 0;
    /// Whether any attempt may have run at an upstream.
    bool mayHaveRun = false;
    Placed placed{};
    /// Of a customer with a rate.
    std::optional<Permit> permit{};
    /// Outcome of the request so far, for the metrics.
    RequestOutcome outcome = RequestOutcome::Answered;
    std::string reason{};
    /// Mean load per slot of the candidates of the latest placement.
    double load = 0;
    /// Of the latest placement.
    GatewayState::CostNotes cost{};

    /// Empty for an anonymous caller.
    std::string customerName() const
    {
        return placement.customer ? placement.customer->id.value() : std::string();
    }

    /// Version of the configuration that applies to the request; 0 without one.
    std::int64_t configurationVersion() const
    {
        return routes ? static_cast<std::int64_t>(routes->configuration().version.value()) : 0;
    }
};

/// Lists a request as in flight during its lifetime.
class Gateway::InFlightScope
{
public:
    InFlightScope(std::shared_ptr<std::set<Exchange *>> exchanges, Exchange &exchange)
        : m_exchanges(std::move(exchanges))
        , m_exchange(exchange)
    {
        m_exchanges->insert(&m_exchange);
    }
    ~InFlightScope()
    {
        m_exchanges->erase(&m_exchange);
    }
    InFlightScope(const InFlightScope &) = delete;
    InFlightScope &operator=(const InFlightScope &) = delete;

private:
    std::shared_ptr<std::set<Exchange *>> m_exchanges;
    Exchange &m_exchange;
};

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, GatewayState &state, GatewayMetrics &metrics)
    : m_settings(std::move(settings))
    , m_state(state)
    , m_metrics(metrics)
    , m_pool(context, poolSettings(m_settings))
    , m_random(std::random_device{}())
{
}

void Gateway::closeExpired(BootTime now)
{
    m_pool.closeExpired(now);
}

void Gateway::endRequests()
{
    m_hasEnded = true;
    for (Exchange *exchange : *m_exchanges) {
        // The attempt ends once its coroutine runs again, so that the list doesn't change here.
        exchange->caller.cancellation().request();
    }
}

HttpResponse Gateway::handle(HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield)
{
    Exchange exchange{request, caller, m_state.routes()};
    const InFlightScope scope(m_exchanges, exchange);
    exchange.placement.arrivedAt = BootClock::now();
    exchange.id = request.headers.value(m_settings.headers.requestId);
    HttpResponse response;
    if (exchange.routes) {
        exchange.placement.route = exchange.routes->match(request.headers.value("Host"), request.target);
    }
    const auto series = m_metrics.start(exchange.placement.route);
    if (!exchange.routes) {
        response = reject(exchange, "no-configuration", s_startRetryAfter);
    } else if (!exchange.placement.route) {
        response = fail(exchange, RequestOutcome::NotRun, s_notFound, "no-route", "no route matches this host and path");
    } else {
        auto refusal = admitCaller(exchange);
        response = refusal ? std::move(*refusal) : forward(exchange, yield);
    }
    const auto retries = static_cast<std::uint32_t>(std::max(0, exchange.sent - 1));
    series->finished({exchange.outcome, exchange.reason, BootClock::now() - exchange.placement.arrivedAt, std::chrono::nanoseconds(0), retries});
    if (exchange.placement.customer) {
        m_metrics.countCustomerRequest(exchange.placement.customer->id, exchange.outcome);
    }
    if (!exchange.id.empty() && !response.headers.find(m_settings.headers.requestId)) {
        response.headers.add(m_settings.headers.requestId, exchange.id);
    }
    return response;
}

bool Gateway::mayUseKeys(BootTime now) const
{
    return !m_settings.revocation.isStrict || Trefoil::mayUseKeys(m_settings.revocation, m_settings.configurationProvenAt(), now);
}

void Gateway::logKeyUse(bool isKeyUsable, BootTime now)
{
    if (isKeyUsable != m_rejectsKeys) {
        return;
    }
    m_rejectsKeys = !isKeyUsable;
    if (isKeyUsable) {
        writeLog(LogLevel::Info, "keyed-requests-served");
        return;
    }
    const BootTime provenAt = m_settings.configurationProvenAt();
    const auto age = provenAt == BootTime{} ? std::int64_t{-1} : wholeMilliseconds(now - provenAt);
    writeLog(LogLevel::Warning, "keyed-requests-rejected", {{"reason", std::string("configuration-too-old")}, {"proofAgeMs", age}});
}

std::optional<HttpResponse> Gateway::admitCaller(Exchange &exchange)
{
    RequestPlacement &placement = exchange.placement;
    const bool isKeyUsable = !exchange.routes->hasCustomers() || mayUseKeys(placement.arrivedAt);
    logKeyUse(isKeyUsable, placement.arrivedAt);
    if (!isKeyUsable) {
        // A key that this host doesn't know may be new, so that an old configuration gives no reason for 401 either.
        return placement.route->isPublic ? std::nullopt : std::make_optional(reject(exchange, "configuration-too-old", s_startRetryAfter));
    }
    const CallerIdentity identity = identifyCaller(exchange.request.headers, *placement.route, *exchange.routes, m_settings.headers);
    if (const auto *unknown = std::get_if<UnknownCaller>(&identity)) {
        HttpResponse response = fail(exchange, RequestOutcome::NotRun, s_unauthorized, unknown->reason, "this route needs the key of a customer");
        response.headers.add("WWW-Authenticate", m_settings.headers.credentialScheme);
        return response;
    }
    const auto *customer = std::get_if<const Customer *>(&identity);
    if (!customer) {
        return std::nullopt;
    }
    placement.customer = *customer;
    exchange.narrowedRoute = routeFor(*placement.route, **customer);
    if (!exchange.narrowedRoute) {
        return reject(exchange, "no-common-region", s_startRetryAfter);
    }
    placement.route = &*exchange.narrowedRoute;
    return std::nullopt;
}

std::optional<HttpResponse> Gateway::acquirePermit(Exchange &exchange, const asio::yield_context &yield)
{
    const Customer *customer = exchange.placement.customer;
    if (!m_settings.quotas || !customer || customer->requestsPerSecond <= 0) {
        return std::nullopt;
    }
    const QuotaClient::Outcome outcome = m_settings.quotas->acquire(*customer, exchange.placement.deadline, yield);
    if (const auto *exceeded = std::get_if<QuotaExceeded>(&outcome)) {
        return rejectFor(exchange, "quota-exceeded", exceeded->timeUntilRoom, s_tooManyRequests);
    }
    if (std::holds_alternative<QuotaUnavailable>(outcome)) {
        return reject(exchange, "quota-unavailable", s_startRetryAfter);
    }
    exchange.permit = std::get<Permit>(outcome);
    return std::nullopt;
}

HttpResponse Gateway::forward(Exchange &exchange, const asio::yield_context &yield)
{
    const Route &route = *exchange.placement.route;
    const auto requestedTimeout = parseMilliseconds(exchange.request.headers.value(m_settings.headers.timeLeft));
    exchange.placement.deadline = exchange.placement.arrivedAt + route.timeout;
    if (requestedTimeout) {
        // Callers count from the start of the request, however long its body takes.
        exchange.placement.deadline = std::min(exchange.placement.deadline, exchange.caller.headerReadAt() + *requestedTimeout);
    }
    const std::string_view key = exchange.request.headers.value(m_settings.headers.affinityKey);
    exchange.placement.keyHash = route.hasAffinity && !key.empty() ? stableHash(fmt::format("{}/{}", route.id.value(), key)) : 0;
    exchange.positionHash = exchange.placement.keyHash != 0 ? exchange.placement.keyHash : stableHash(exchange.id);
    exchange.placement.bytes = exchange.request.body.size();
    // A retry may change the customer of the exchange with the configuration.
    const std::shared_ptr<const RouteTable> routes = exchange.routes;
    const Customer *customer = exchange.placement.customer;
    if (auto rejection = acquirePermit(exchange, yield)) {
        return std::move(*rejection);
    }
    exchange.placement.service = m_state.nextService(route);
    m_state.recordArrival(exchange.placement);
    HttpResponse response = sendToUpstreams(exchange, yield);
    if (exchange.permit && exchange.sent == 0) {
        m_settings.quotas->release(*customer, *exchange.permit);
    }
    return response;
}

HttpResponse Gateway::sendToUpstreams(Exchange &exchange, const asio::yield_context &yield)
{
    while (true) {
        auto chosen = choose(exchange);
        if (auto *rejection = std::get_if<HttpResponse>(&chosen)) {
            return std::move(*rejection);
        }
        const auto upstream = std::get<std::shared_ptr<Upstream>>(chosen);
        AttemptEnd end = attempt(exchange, *upstream, yield);
        if (!shouldRetry(exchange, end, BootClock::now())) {
            return respond(exchange, std::move(end));
        }
    }
}

std::variant<std::shared_ptr<Upstream>, HttpResponse> Gateway::choose(Exchange &exchange)
{
    const BootTime now = BootClock::now();
    while (true) {
        const auto usableAnywhere = m_state.usableUpstreams(exchange.placement.service, *exchange.placement.route, exchange.tried, now);
        const auto usable = m_state.upstreamsOfChosenRegion(exchange.placement.service, usableAnywhere, exchange.positionHash, now);
        exchange.load = m_state.meanLoad(exchange.placement.service, usable, now);
        const PlacementResult result = m_state.place(exchange.placement, usable, now);
        const auto *placed = std::get_if<Placed>(&result);
        if (!placed) {
            return respondUnplaced(exchange, std::get_if<NoRoom>(&result));
        }
        const auto &upstream = usable[placed->candidate];
        exchange.placed = *placed;
        exchange.cost = m_state.costNotes(exchange.placement, *upstream, now);
        if (!fitsBeforeStop(exchange, *upstream, now)) {
            return exchange.mayHaveRun ? failIncomplete(exchange) : reject(exchange, s_hostStopping, s_elsewhereRetryAfter);
        }
        if (!m_state.tryAcquireColdPermit(*upstream, now)) {
            exchange.tried.insert(upstream->model.identity().id);
            continue;
        }
        return upstream;
    }
}

HttpResponse Gateway::respondUnplaced(Exchange &exchange, const NoRoom *noRoom)
{
    if (exchange.mayHaveRun) {
        return failIncomplete(exchange);
    }
    if (!noRoom) {
        const RequestPlacement &placement = exchange.placement;
        if (const auto pause = m_state.timeUntilPauseEnds(placement.service, *placement.route, BootClock::now())) {
            return rejectFor(exchange, "upstreams-paused", *pause + spread() * std::min(*pause, s_maximumPauseSpread));
        }
    }
    return noRoom ? reject(exchange, "no-room", noRoom->retryAfter) : reject(exchange, "no-upstream", s_startRetryAfter);
}

HttpRequest Gateway::upstreamRequest(const Exchange &exchange, const UpstreamIdentity &upstream) const
{
    const GatewayHeaders &names = m_settings.headers;
    HttpHeaders endToEnd;
    copyEndToEndFields(exchange.request.headers, endToEnd);
    HttpRequest request{exchange.request.method, exchange.request.target};
    const bool hidesCustomers = exchange.routes->hasCustomers();
    for (const HttpHeader &field : endToEnd.all()) {
        // The gateway sets these two headers itself, and with customers the customer's name in place of its key.
        if (isSameHeaderName(field.name, names.timeLeft) || isSameHeaderName(field.name, names.expectedUpstream)) {
            continue;
        }
        if (hidesCustomers && (isSameHeaderName(field.name, names.customer) || isSameHeaderName(field.name, names.credential))) {
            continue;
        }
        request.headers.add(field.name, field.value);
    }
    request.headers.add(names.expectedUpstream, upstream.id.value());
    if (const Customer *customer = exchange.placement.customer) {
        request.headers.add(names.customer, customer->id.value());
    }
    return request;
}

bool Gateway::isStillAllowed(const Exchange &exchange, const Upstream &upstream) const
{
    const UpstreamIdentity &identity = upstream.model.identity();
    if (m_state.evacuated().count(identity.zone) > 0) {
        return false;
    }
    const auto newest = m_state.routes();
    if (newest == exchange.routes) {
        return true;
    }
    const auto applicable = applicableRoute(exchange, *newest);
    return applicable && sendsTo(applicable->route, exchange.placement.service) && allowsRegion(applicable->route, identity.region);
}

std::optional<Gateway::ApplicableRoute> Gateway::applicableRoute(const Exchange &exchange, const RouteTable &routes) const
{
    const HttpHeaders &headers = exchange.request.headers;
    const Route *route = routes.match(headers.value("Host"), exchange.request.target);
    if (!route) {
        return std::nullopt;
    }
    const CallerIdentity identity = identifyCaller(headers, *route, routes, m_settings.headers);
    if (std::holds_alternative<UnknownCaller>(identity)) {
        return std::nullopt;
    }
    const auto *found = std::get_if<const Customer *>(&identity);
    const Customer *customer = found ? *found : nullptr;
    const Customer *earlier = exchange.placement.customer;
    if (earlier && (!customer || customer->id != earlier->id)) {
        return std::nullopt;
    }
    auto applicable = customer ? routeFor(*route, *customer) : std::make_optional(*route);
    return applicable ? std::make_optional(ApplicableRoute{std::move(*applicable), customer}) : std::nullopt;
}

bool Gateway::fitsBeforeStop(const Exchange &exchange, const Upstream &upstream, BootTime now) const
{
    return !m_end || m_state.fitsBeforeStop(exchange.placement, upstream, exchange.placed, *m_end, now);
}

CallOptions Gateway::callOptions(Exchange &exchange, Upstream &upstream) const
{
    CallOptions options;
    options.deadline = exchange.placement.deadline;
    // An upstream sends nothing while it works on a request, so that only the deadline may end the wait.
    options.progressTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(exchange.placement.deadline - exchange.placement.arrivedAt) + std::chrono::seconds(1);
    options.requestId = exchange.id;
    options.requestIdHeader = m_settings.headers.requestId;
    options.refusalHeader = m_settings.headers.notRun;
    options.skipsForeignResponses = true;
    options.acceptsUndeclaredLength = true;
    if (exchange.placement.route->kind == RequestKind::NonIdempotent) {
        options.maximumIdle = m_settings.maximumIdleForNonIdempotent;
    }
    options.body = &exchange.request.body;
    options.cancellation = &exchange.caller.cancellation();
    options.prepare = [this, &exchange, &upstream, &names = m_settings.headers](HttpRequest &request) {
        const BootTime now = BootClock::now();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadlineForUpstream(exchange.placement.deadline, m_end) - now);
        request.headers.add(names.timeLeft, fmt::to_string(std::max<std::int64_t>(left.count(), 1)));
        // tryRecordSend() comes last, since it counts the request as sent.
        const bool isKeyUsable = !exchange.placement.customer || mayUseKeys(now);
        return left >= s_minimumTimeLeft && isKeyUsable && isStillAllowed(exchange, upstream) && fitsBeforeStop(exchange, upstream, now)
            && m_state.tryRecordSend(upstream, now);
    };
    return options;
}

AttemptEnd Gateway::attempt(Exchange &exchange, Upstream &upstream, const asio::yield_context &yield)
{
    const UpstreamIdentity &identity = upstream.model.identity();
    exchange.tried.insert(identity.id);
    CallOptions options = callOptions(exchange, upstream);
    CallTrace trace;
    options.trace = &trace;
    const BootTime start = BootClock::now();
    const RemainingWork::Token token = m_state.recordStart(exchange.placement, upstream, exchange.placed, start);
    AttemptEnd end =
        classifyCall(m_pool.call(identity.address, m_state.connectionLimit(upstream), upstreamRequest(exchange, identity), options, yield), m_settings.headers);
    end.trace = trace;
    const BootTime now = BootClock::now();
    logNotices(exchange, upstream, end);
    if (end.isPoolExhausted) {
        logExhaustedPool(exchange, upstream);
    }
    m_state.recordAttempt(exchange.placement,
        upstream,
        exchange.placed,
        {end.outcome, end.timedOut, now - start - trace.memoryWait, end.load, end.isUpstreamLeaving, end.requestedPause.pause, token},
        now);
    if (end.isMisdirected) {
        m_state.upstreamMisdirected(upstream);
    }
    m_metrics.countAttempt(identity.id, end.outcome, trace);
    const PlacementSettings &place = m_state.settings().placement;
    m_metrics.countTraffic(relationBetween(place.zone, place.region, identity.zone, identity.region), trace);
    ++(end.wasSent ? exchange.sent : exchange.unsent);
    exchange.mayHaveRun = exchange.mayHaveRun || end.execution == Execution::Possible;
    logAttempt(exchange, upstream, end, now - start, now);
    return end;
}

void Gateway::logExhaustedPool(const Exchange &exchange, const Upstream &upstream) const
{
    const ConnectionUse use = m_pool.use();
    writeLog(LogLevel::Warning,
        "upstream-connections-exhausted",
        {{"request", exchange.id},
            {"upstream", upstream.model.identity().id.value()},
            {"inUse", static_cast<std::int64_t>(use.inUse)},
            {"limit", static_cast<std::int64_t>(use.limit)},
            {"rejectedCalls", static_cast<std::int64_t>(use.rejectedCalls)}});
}

void Gateway::logNotices(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end) const
{
    const std::string &id = upstream.model.identity().id.value();
    if (end.isUpstreamLeaving && !upstream.saidLeaving) {
        writeLog(LogLevel::Info, "upstream-said-leaving", {{"request", exchange.id}, {"upstream", id}});
    }
    const RequestedPause &requested = end.requestedPause;
    if (requested.pause || requested.isAdjusted) {
        writeLog(requested.isAdjusted ? LogLevel::Warning : LogLevel::Info,
            "upstream-asked-for-pause",
            {{"request", exchange.id},
                {"upstream", id},
                {"pauseMs", std::int64_t{requested.pause.value_or(std::chrono::milliseconds(0)).count()}},
                {"isAdjusted", requested.isAdjusted}});
    }
}

void Gateway::logAttempt(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end, Milliseconds duration, BootTime now) const
{
    writeLog(LogLevel::Info,
        "attempt-ended",
        {{"request", exchange.id},
            {"key", std::string(exchange.request.headers.value(m_settings.headers.affinityKey))},
            {"route", exchange.placement.route->id.value()},
            {"customer", exchange.customerName()},
            {"configuration", exchange.configurationVersion()},
            {"upstream", upstream.model.identity().id.value()},
            {"upstreamZone", upstream.model.identity().zone.value()},
            {"address", upstream.model.identity().address},
            {"connection", static_cast<std::int64_t>(end.trace.connection)},
            {"earlierRequests", static_cast<std::int64_t>(end.trace.earlierRequests)},
            {"opened", std::string(end.trace.opened ? toText(*end.trace.opened) : std::string_view())},
            {"foreignResponses", std::int64_t{end.trace.foreignResponses}},
            {"avoidedConnections", std::int64_t{end.trace.avoidedConnections}},
            {"reason", end.reason},
            {"status", std::int64_t{end.response ? end.response->status : 0}},
            {"durationMs", wholeMilliseconds(duration)},
            {"memoryWaitMs", wholeMilliseconds(end.trace.memoryWait)},
            {"expectedWorkMs", wholeMilliseconds(exchange.placed.expectedWork)},
            {"expectedWaitMs", wholeMilliseconds(exchange.placed.expectedWait)},
            {"costSpread", exchange.cost.spread},
            {"remainingWorkMs", wholeMilliseconds(exchange.cost.remainingWork)},
            {"cache", std::int64_t{static_cast<int>(exchange.placed.cache)}},
            {"load", exchange.load},
            {"failureRate", upstream.model.failureRate(now)}});
}

bool Gateway::applyNewerConfiguration(Exchange &exchange)
{
    const auto newer = m_state.routes();
    if (newer == exchange.routes) {
        return true;
    }
    RequestPlacement &placement = exchange.placement;
    const auto applicable = applicableRoute(exchange, *newer);
    auto both = applicable ? narrowed(*placement.route, applicable->route) : std::nullopt;
    if (!both) {
        return false;
    }
    exchange.narrowedRoute = std::move(both);
    placement.route = &*exchange.narrowedRoute;
    placement.customer = applicable->customer;
    exchange.routes = newer;
    placement.deadline = std::min(placement.deadline, placement.arrivedAt + placement.route->timeout);
    if (!sendsTo(applicable->route, placement.service)) {
        placement.service = m_state.nextService(applicable->route);
    }
    return true;
}

bool Gateway::shouldRetry(Exchange &exchange, const AttemptEnd &end, BootTime now)
{
    if (end.outcome == AttemptOutcome::Success || end.outcome == AttemptOutcome::Cancelled) {
        return false;
    }
    if (!applyNewerConfiguration(exchange) || now + s_minimumTimeLeft >= deadlineForUpstream(exchange.placement.deadline, m_end)) {
        return false;
    }
    const bool isIdempotent = exchange.placement.route->kind == RequestKind::Idempotent;
    if (exchange.mayHaveRun && !isIdempotent) {
        return false;
    }
    if (exchange.sent >= exchange.placement.route->maximumAttempts) {
        return false;
    }
    if (exchange.sent == 0) {
        return exchange.unsent <= s_maximumUnsent;
    }
    return m_state.serviceState(exchange.placement.service).retries.tryAcquire(now, m_state.registeredHostCount());
}

HttpResponse Gateway::respond(Exchange &exchange, AttemptEnd end)
{
    // The upstream itself made no such promise, or there would be no response to pass on.
    const bool isFalsePromise = end.response && promisesNotRun(end.response->status) && exchange.placement.route->kind == RequestKind::NonIdempotent;
    if (end.response && !isFalsePromise) {
        HttpResponse response;
        response.status = end.response->status;
        copyEndToEndFields(end.response->headers, response.headers);
        response.body = std::move(end.response->body);
        response.reservation = std::move(end.response->reservation);
        return response;
    }
    if (!exchange.mayHaveRun) {
        if (m_hasEnded) {
            return reject(exchange, s_hostStopping, s_elsewhereRetryAfter);
        }
        return reject(exchange, end.reason, end.isPoolExhausted ? s_connectionRetryAfter : s_shedRetryAfter);
    }
    if (m_hasEnded) {
        return fail(exchange, RequestOutcome::Unknown, s_gatewayTimeout, s_hostStopping, "the host stopped before the upstream responded");
    }
    if (end.timedOut) {
        return fail(exchange, RequestOutcome::Unknown, s_gatewayTimeout, "timeout", "the upstream gave no response in time");
    }
    return failIncomplete(exchange);
}

HttpResponse Gateway::failIncomplete(Exchange &exchange)
{
    return fail(exchange, RequestOutcome::Unknown, s_badGateway, "upstream-error", "the upstream gave no complete response");
}

HttpResponse Gateway::fail(Exchange &exchange, RequestOutcome outcome, int status, std::string_view reason, std::string_view message)
{
    exchange.outcome = outcome;
    exchange.reason = reason;
    writeLog(LogLevel::Info,
        "request-failed",
        {{"request", exchange.id},
            {"route", exchange.placement.route ? exchange.placement.route->id.value() : std::string()},
            {"customer", exchange.customerName()},
            {"reason", std::string(reason)},
            {"status", std::int64_t{status}},
            {"attempts", std::int64_t{exchange.sent}},
            {"configuration", exchange.configurationVersion()},
            {"elapsedMs", wholeMilliseconds(BootClock::now() - exchange.placement.arrivedAt)}});
    return errorResponse(status, reason, "", message);
}

HttpResponse Gateway::reject(Exchange &exchange, std::string_view reason, Milliseconds timeUntilRoom)
{
    return rejectFor(exchange, reason, retryAfter(timeUntilRoom, spread()));
}

double Gateway::spread()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

HttpResponse Gateway::rejectFor(Exchange &exchange, std::string_view reason, Milliseconds wait, int status)
{
    HttpResponse response = errorResponse(status, "rejected", "", fmt::format("the request did not run: {}", reason));
    exchange.outcome = RequestOutcome::NotRun;
    exchange.reason = reason;
    response.headers.add("Retry-After", fmt::format("{:.2f}", wait.count() / 1000));
    writeLog(LogLevel::Info,
        "request-rejected",
        {{"request", exchange.id},
            {"route", exchange.placement.route ? exchange.placement.route->id.value() : std::string()},
            {"customer", exchange.customerName()},
            {"reason", std::string(reason)},
            {"status", std::int64_t{status}},
            {"load", exchange.load},
            {"retryAfterMs", wholeMilliseconds(wait)},
            {"configuration", exchange.configurationVersion()}});
    return response;
}

} // namespace Trefoil
