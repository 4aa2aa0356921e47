#include <LibGateway/gateway.h>

#include <LibSteering/affinityranking.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

constexpr int s_notFound = 404;
constexpr int s_badGateway = 502;
constexpr int s_unavailable = 503;
constexpr int s_gatewayTimeout = 504;
/// Connections that could not be opened do no work; a request goes on to this many further upstreams.
constexpr int s_maximumUnsent = 4;
/// With less time left, no upstream can do anything useful.
constexpr std::chrono::milliseconds s_leastTimeLeft{5};
/// Retry-After while this host has no configuration yet.
constexpr Milliseconds s_startRetryAfter{500};
/// Retry-After when upstreams refuse although they seem to have room: another attempt may well succeed.
constexpr Milliseconds s_shedRetryAfter{20};
/// Least and most of a Retry-After for lack of room. Callers that come back sooner find the same queue.
constexpr Milliseconds s_leastRetryAfter{20};
constexpr Milliseconds s_mostRetryAfter{2000};

/// Counts a request while it is in work.
class InFlightScope
{
public:
    explicit InFlightScope(std::int64_t &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~InFlightScope()
    {
        --m_count;
    }
    InFlightScope(const InFlightScope &) = delete;
    InFlightScope &operator=(const InFlightScope &) = delete;

private:
    std::int64_t &m_count;
};

std::int64_t wholeMilliseconds(Milliseconds time)
{
    return static_cast<std::int64_t>(time.count());
}

} // namespace

/// One request on its way through the gateway.
struct Gateway::Exchange
{
    HttpRequest &request;
    CallerConnection &caller;
    std::shared_ptr<const RouteTable> routes;
    const Route *route = nullptr;
    ServiceId service{};
    std::string id{};
    std::uint64_t keyHash = 0;
    /// Decides whether the request leaves the region; the key's, or that of the request when it has none.
    std::uint64_t positionHash = 0;
    BootTime arrivedAt{};
    BootTime deadline{};
    std::set<UpstreamId> tried{};
    /// Upstreams that the request was sent to.
    int sent = 0;
    /// Attempts that ended without a connection.
    int unsent = 0;
    /// An attempt may have run.
    bool mayHaveRun = false;
    Placed placed{};
    /// How the request ended so far, for the metrics.
    RequestOutcome outcome = RequestOutcome::Answered;
    std::string reason{};
    /// Load per slot of the upstreams among which the request was placed last.
    double load = 0;
};

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, GatewayState &state, GatewayMetrics &metrics)
    : m_settings(std::move(settings))
    , m_state(state)
    , m_metrics(metrics)
    , m_pool(context, {m_settings.sourceAddress, m_settings.connectTimeout, std::chrono::seconds(60), 64, m_settings.silenceTimeout})
    , m_random(std::random_device{}())
{
}

void Gateway::closeExpired(BootTime now)
{
    m_pool.closeExpired(now);
}

HttpResponse Gateway::handle(HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield)
{
    const InFlightScope scope(m_inFlight);
    Exchange exchange{request, caller, m_state.routes()};
    exchange.arrivedAt = BootClock::now();
    exchange.id = request.headers.value(m_settings.headers.requestId);
    HttpResponse response;
    if (exchange.routes) {
        exchange.route = exchange.routes->match(request.headers.value("Host"), request.target);
    }
    const auto series = m_metrics.start(exchange.route);
    if (!exchange.routes) {
        response = reject(exchange, "no-configuration", s_startRetryAfter);
    } else if (!exchange.route) {
        response = fail(exchange, RequestOutcome::NotRun, s_notFound, "no-route", "no route matches this host and path");
    } else {
        response = forward(exchange, yield);
    }
    const auto retries = static_cast<std::uint32_t>(std::max(0, exchange.sent - 1));
    series->finished({exchange.outcome, exchange.reason, BootClock::now() - exchange.arrivedAt, std::chrono::nanoseconds(0), retries});
    if (!exchange.id.empty() && !response.headers.find(m_settings.headers.requestId)) {
        response.headers.add(m_settings.headers.requestId, exchange.id);
    }
    return response;
}

HttpResponse Gateway::forward(Exchange &exchange, const asio::yield_context &yield)
{
    const Route &route = *exchange.route;
    const auto wanted = parseMilliseconds(exchange.request.headers.value(m_settings.headers.timeLeft));
    exchange.deadline = exchange.arrivedAt + std::min(wanted.value_or(route.timeout), route.timeout);
    const std::string_view key = exchange.request.headers.value(m_settings.headers.affinityKey);
    exchange.keyHash = route.hasAffinity && !key.empty() ? stableHash(fmt::format("{}/{}", route.id.value(), key)) : 0;
    exchange.positionHash = exchange.keyHash != 0 ? exchange.keyHash : stableHash(exchange.id);
    exchange.service = m_state.nextService(route);
    m_state.knowledge(exchange.service).retries.recordRequest(exchange.arrivedAt);
    while (true) {
        auto chosen = choose(exchange);
        if (auto *rejection = std::get_if<HttpResponse>(&chosen)) {
            return std::move(*rejection);
        }
        const auto upstream = std::get<std::shared_ptr<Upstream>>(chosen);
        AttemptEnd end = attempt(exchange, *upstream, yield);
        if (!mayTryAgain(exchange, end, BootClock::now())) {
            return answer(exchange, std::move(end));
        }
    }
}

PlacementQuery Gateway::placementQuery(Exchange &exchange, const std::vector<std::shared_ptr<Upstream>> &usable, BootTime now)
{
    const Route &route = *exchange.route;
    ServiceKnowledge &service = m_state.knowledge(exchange.service);
    exchange.load = usable.empty() ? 0 : service.load[usable.front()->model.identity().region];
    PlacementQuery query;
    query.keyHash = exchange.keyHash;
    query.targetLatency = route.targetLatency;
    query.elapsed = now - exchange.arrivedAt;
    query.timeLeft = exchange.deadline - now;
    query.priority = route.priority;
    query.work = &m_state.knowledge(route).work;
    query.usualLoad = exchange.load;
    query.slotTime = service.slotTime;
    query.now = now;
    return query;
}

std::variant<std::shared_ptr<Upstream>, HttpResponse> Gateway::choose(Exchange &exchange)
{
    const BootTime now = BootClock::now();
    while (true) {
        const auto everywhere = m_state.usableUpstreams(exchange.service, *exchange.route, exchange.tried, now);
        const auto usable = m_state.inChosenRegion(exchange.service, everywhere, exchange.positionHash, now);
        std::vector<UpstreamModel *> models;
        models.reserve(usable.size());
        for (const auto &upstream : usable) {
            models.push_back(&upstream->model);
        }
        const PlacementResult result = place(models, placementQuery(exchange, usable, now), m_state.settings().placement);
        const auto *placed = std::get_if<Placed>(&result);
        if (!placed) {
            return answerUnplaced(exchange, std::get_if<NoRoom>(&result));
        }
        const auto &upstream = usable[placed->candidate];
        if (!m_state.takeColdPlace(*upstream, now)) {
            exchange.tried.insert(upstream->model.identity().id);
            continue;
        }
        exchange.placed = *placed;
        return upstream;
    }
}

HttpResponse Gateway::answerUnplaced(Exchange &exchange, const NoRoom *noRoom)
{
    if (exchange.mayHaveRun) {
        return failIncomplete(exchange);
    }
    return noRoom ? reject(exchange, "no-room", noRoom->retryAfter) : reject(exchange, "no-upstream", s_startRetryAfter);
}

HttpRequest Gateway::upstreamRequest(const Exchange &exchange, const UpstreamIdentity &upstream) const
{
    const GatewayHeaders &names = m_settings.headers;
    HttpHeaders endToEnd;
    copyEndToEndFields(exchange.request.headers, endToEnd);
    HttpRequest request{exchange.request.method, exchange.request.target, {}, exchange.request.body};
    for (const HttpHeader &field : endToEnd.all()) {
        // The gateway sets both itself.
        if (!isSameHeaderName(field.name, names.timeLeft) && !isSameHeaderName(field.name, names.expectedUpstream)) {
            request.headers.add(field.name, field.value);
        }
    }
    request.headers.add(names.expectedUpstream, upstream.id.value());
    return request;
}

CallOptions Gateway::callOptions(Exchange &exchange, const Upstream &upstream) const
{
    CallOptions options;
    options.deadline = exchange.deadline;
    // An upstream that works sends nothing until it is done; the deadline alone ends the wait.
    options.progressTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - exchange.arrivedAt) + std::chrono::seconds(1);
    options.requestId = exchange.id;
    options.requestIdHeader = m_settings.headers.requestId;
    options.skipsForeignResponses = true;
    options.acceptsUndeclaredLength = true;
    if (exchange.route->kind == RequestKind::NonIdempotent) {
        options.maximumIdle = m_settings.trustedIdle;
    }
    options.cancellation = &exchange.caller.cancellation();
    options.prepare = [&exchange, &upstream, &names = m_settings.headers](HttpRequest &request) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - BootClock::now());
        request.headers.add(names.timeLeft, fmt::to_string(std::max<std::int64_t>(left.count(), 1)));
        return !upstream.model.isLeaving && left >= s_leastTimeLeft;
    };
    return options;
}

AttemptEnd Gateway::attempt(Exchange &exchange, Upstream &upstream, const asio::yield_context &yield)
{
    const UpstreamIdentity &identity = upstream.model.identity();
    exchange.tried.insert(identity.id);
    const CallOptions options = callOptions(exchange, upstream);
    upstream.model.recordStart();
    const BootTime start = BootClock::now();
    AttemptEnd end =
        classifyCall(m_pool.call(identity.address, m_state.connectionLimit(upstream), upstreamRequest(exchange, identity), options, yield), m_settings.headers);
    const BootTime now = BootClock::now();
    learn(exchange, upstream, end, now - start, now);
    m_metrics.countAttempt(identity.id, end.outcome);
    ++(end.wasSent ? exchange.sent : exchange.unsent);
    exchange.mayHaveRun = exchange.mayHaveRun || end.execution == Execution::Possible;
    logAttempt(exchange, upstream, end, now - start, now);
    return end;
}

void Gateway::logAttempt(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end, Milliseconds duration, BootTime now) const
{
    writeLog(LogLevel::Info,
        "attempt-ended",
        {{"request", exchange.id},
            {"key", std::string(exchange.request.headers.value(m_settings.headers.affinityKey))},
            {"route", exchange.route->id.value()},
            {"upstream", upstream.model.identity().id.value()},
            {"reason", end.reason},
            {"status", std::int64_t{end.response ? end.response->status : 0}},
            {"durationMs", wholeMilliseconds(duration)},
            {"expectedWorkMs", wholeMilliseconds(exchange.placed.expectedWork)},
            {"expectedWaitMs", wholeMilliseconds(exchange.placed.expectedWait)},
            {"cache", std::int64_t{static_cast<int>(exchange.placed.cache)}},
            {"load", exchange.load},
            {"failureRate", upstream.model.failureRate(now)}});
}

void Gateway::learn(Exchange &exchange, Upstream &upstream, const AttemptEnd &end, Milliseconds duration, BootTime now)
{
    const PlacementSettings &placement = m_state.settings().placement;
    const Milliseconds roundTrip = upstream.model.identity().region == placement.region ? placement.zoneRoundTrip : placement.regionRoundTrip;
    WorkEstimate &work = m_state.knowledge(*exchange.route).work;
    const Milliseconds atUpstream = std::max(duration - roundTrip, Milliseconds(1));
    const Milliseconds usual = work.expected(exchange.placed.cache);
    const auto slowness = work.slowness(exchange.placed.cache, std::max(atUpstream - exchange.placed.expectedWait, Milliseconds(1)));
    const bool wasServed = end.outcome == AttemptOutcome::Success;
    upstream.model.recordEnd(end.timedOut && duration < usual ? AttemptOutcome::Cancelled : end.outcome, slowness, end.load, now);
    if (end.load) {
        recordLoad(m_state.knowledge(exchange.service), upstream.model.identity(), *end.load);
    }
    if (end.isElsewhere) {
        m_state.upstreamGone(upstream.model.identity().id);
    }
    if (!wasServed) {
        return;
    }
    if (exchange.placed.expectedWait.count() <= 0) {
        work.record(exchange.placed.cache, atUpstream);
        recordSlotTime(m_state.knowledge(exchange.service), atUpstream);
    }
    if (exchange.keyHash != 0) {
        upstream.model.recordKey(exchange.keyHash, now);
    }
}

bool Gateway::mayTryAgain(const Exchange &exchange, const AttemptEnd &end, BootTime now)
{
    const bool isIdempotent = exchange.route->kind == RequestKind::Idempotent;
    if (end.outcome == AttemptOutcome::Success || end.outcome == AttemptOutcome::Cancelled || now + s_leastTimeLeft >= exchange.deadline) {
        return false;
    }
    if (exchange.mayHaveRun && !isIdempotent) {
        return false;
    }
    if (exchange.sent >= exchange.route->maximumAttempts) {
        return false;
    }
    if (exchange.sent == 0) {
        return exchange.unsent <= s_maximumUnsent;
    }
    return m_state.knowledge(exchange.service).retries.tryTake(now, m_state.directory().registeredCount());
}

HttpResponse Gateway::answer(Exchange &exchange, AttemptEnd end)
{
    if (end.response) {
        HttpResponse response;
        response.status = end.response->status;
        copyEndToEndFields(end.response->headers, response.headers);
        response.body = std::move(end.response->body);
        return response;
    }
    if (!exchange.mayHaveRun) {
        return reject(exchange, end.reason, s_shedRetryAfter);
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
            {"route", exchange.route ? exchange.route->id.value() : std::string()},
            {"reason", std::string(reason)},
            {"status", std::int64_t{status}},
            {"attempts", std::int64_t{exchange.sent}},
            {"elapsedMs", wholeMilliseconds(BootClock::now() - exchange.arrivedAt)}});
    return errorResponse(status, reason, "", message);
}

HttpResponse Gateway::reject(Exchange &exchange, std::string_view reason, Milliseconds retryAfter)
{
    // Spread, so that callers that were rejected together don't come back together.
    const double spread = std::uniform_real_distribution<double>(1.0, 2.0)(m_random);
    const Milliseconds wait = std::clamp(retryAfter, s_leastRetryAfter, s_mostRetryAfter) * spread;
    HttpResponse response = errorResponse(s_unavailable, "rejected", "", fmt::format("the request did not run: {}", reason));
    exchange.outcome = RequestOutcome::NotRun;
    exchange.reason = reason;
    response.headers.add("Retry-After", fmt::format("{:.2f}", wait.count() / 1000));
    writeLog(LogLevel::Info,
        "request-rejected",
        {{"request", exchange.id},
            {"route", exchange.route ? exchange.route->id.value() : std::string()},
            {"reason", std::string(reason)},
            {"load", exchange.load},
            {"retryAfterMs", wholeMilliseconds(wait)},
            {"configuration", exchange.routes ? static_cast<std::int64_t>(exchange.routes->configuration().version.value()) : std::int64_t{0}}});
    return response;
}

} // namespace Trefoil
