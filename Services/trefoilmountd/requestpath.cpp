#include <Services/trefoilmountd/requestpath.h>

#include <Services/trefoilmountd/classifyrequest.h>
#include <Services/trefoilmountd/forwarding.h>
#include <Services/trefoilmountd/lookup.h>
#include <Services/trefoilmountd/parserequest.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <utility>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

/// For a repeatable request, including the first attempt.
constexpr std::uint32_t s_maximumAttempts = 3;
/// Selections per attempt that may return an upstream that the request has already tried.
constexpr std::size_t s_maximumReselections = 4;
/// How long to wait for the upstream to confirm the cancellation of abandoned work.
constexpr std::chrono::milliseconds s_cancellationTimeout{500};
/// Upstreams receive the remaining time instead of an absolute deadline, so theirs is later by the network delay.
constexpr std::chrono::milliseconds s_deadlineAllowance{50};
/// The other host can attempt a relayed request twice, each time for up to the progress timeout.
constexpr int s_maximumRelayedAttempts = 2;
/// Bounds the call to the table service for a key query.
constexpr std::chrono::milliseconds s_keyQueryTimeout{2000};
/// Estimated size of the response to a relayed request until the response arrives.
constexpr std::int64_t s_expectedResponseBytes = 4096;
/// Estimated size of the headers of a relayed request, and of those of its response.
constexpr std::int64_t s_expectedHeaderBytes = 1024;

/// Counts a request while it is handled.
class InFlightScope
{
public:
    explicit InFlightScope(std::atomic<std::int64_t> &count)
        : m_count(count)
    {
        m_count.fetch_add(1);
    }
    ~InFlightScope()
    {
        m_count.fetch_sub(1);
    }
    InFlightScope(const InFlightScope &) = delete;
    InFlightScope &operator=(const InFlightScope &) = delete;

private:
    std::atomic<std::int64_t> &m_count;
};

UpstreamOutcome outcomeForHealth(const CallResult &result)
{
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        if (response->status == 503 && response->headers.value("Trefoil-Not-Started") == "1") {
            return UpstreamOutcome::Shed;
        }
        return response->status >= 500 ? UpstreamOutcome::Error : UpstreamOutcome::Success;
    }
    switch (std::get<CallFailure>(result).kind) {
    case CallFailureKind::NoConnection:
    case CallFailureKind::PoolExhausted:
    case CallFailureKind::WriteRefused:
    case CallFailureKind::Cancelled:
        return UpstreamOutcome::Cancelled;
    case CallFailureKind::ConnectFailed:
    case CallFailureKind::ConnectTimeout:
        return UpstreamOutcome::ConnectFailed;
    case CallFailureKind::Stalled:
    case CallFailureKind::DeadlineExceeded:
        return UpstreamOutcome::Timeout;
    default:
        return UpstreamOutcome::Error;
    }
}

/// True when the upstream may still process the request although its response will be discarded.
bool isAbandoned(const CallResult &result)
{
    const auto *failure = std::get_if<CallFailure>(&result);
    return failure && failure->anyByteWritten;
}

NotRun cancelledEnd()
{
    return {"cancelled", "the caller went away"};
}

} // namespace

RequestPath::RequestPath(asio::io_context &context, RequestPathSettings settings, const RequestPathShared &shared, std::size_t worker)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_shared(shared)
    , m_worker(worker)
    , m_pool(context, {m_settings.sourceAddress})
    , m_admission(context, m_shared.state, m_shared.signal, worker)
{
}

HttpResponse RequestPath::handle(HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield)
{
    const InFlightScope scope(m_shared.inFlight);
    ParsedInput input = parseRequest(request, caller.address());
    if (auto *rejection = std::get_if<HttpResponse>(&input)) {
        return rejectInput(std::move(*rejection));
    }
    if (const auto *lookup = std::get_if<LookupQuery>(&input)) {
        const bool stopping = m_shared.state.stopping.load();
        return m_shared.state.routing.read([&](const RoutingView &view) { return answerLookup(*lookup, view, m_settings.host, m_settings.region, stopping); });
    }
    if (const auto *query = std::get_if<KeyQuery>(&input)) {
        return answerKeyQuery(m_shared.claims, *query, BootClock::now() + s_keyQueryTimeout, yield);
    }
    return serve(std::move(std::get<ParsedRequest>(input)), request, caller, yield);
}

HttpResponse RequestPath::serve(ParsedRequest parsed, const HttpRequest &original, CallerConnection &caller, const asio::yield_context &yield)
{
    const BootTime startedAt = BootClock::now();
    if (!parsed.relayedBy.value().empty() && !isFromPeer(original.headers, m_settings.peerSecret)) {
        return rejectInput(errorResponse(401, "unauthorized", "Authorization", "relayed requests need the secret of the hosts"));
    }
    ClassifiedInput classified =
        m_shared.state.routing.read([&](const RoutingView &view) { return classifyRequest(std::move(parsed), view, m_settings.region, nextId(), startedAt); });
    if (auto *rejection = std::get_if<HttpResponse>(&classified)) {
        return rejectInput(std::move(*rejection));
    }
    ActiveRequest active{original, std::move(std::get<ClassifiedRequest>(classified)), caller};
    const auto series = m_shared.metrics.series(active.request.parsed.tenant, active.request.parsed.requestClass);
    series->started();
    RequestEnd end = run(active, yield);
    recordMetrics(active, *series, end, startedAt);
    return respond(std::move(end), active.request.id);
}

RequestEnd RequestPath::run(ActiveRequest &active, const asio::yield_context &yield)
{
    if (active.request.mayRepeat) {
        return runRepeatable(active, yield);
    }
    return runNonRepeatable(active, yield);
}

/// The dispatching host acquires the claim, so a request that this host can't dispatch is relayed before it has a claim.
RequestEnd RequestPath::runNonRepeatable(ActiveRequest &active, const asio::yield_context &yield)
{
    if (!active.request.isRelayed() && mustRelay(active)) {
        if (auto target = relayTarget(active, SlotRejection::NoUpstream)) {
            return relay(active, std::move(*target), yield);
        }
        return Admission::toNotRun(SlotRejection::NoUpstream);
    }
    auto claimed = acquireClaim(m_shared.claims, active.request, yield);
    if (auto *end = std::get_if<RequestEnd>(&claimed)) {
        return std::move(*end);
    }
    const HeldClaim &claim = std::get<HeldClaim>(claimed);
    RequestEnd end = cancelledEnd();
    if (!active.caller.cancellation().isRequested()) {
        AdmissionResult admitted = waitForSlot(active, yield);
        if (auto *ready = std::get_if<ReadyDispatch>(&admitted)) {
            end = dispatch(active, std::move(*ready), yield);
        } else {
            end = std::get<NotRun>(admitted);
        }
    }
    recordClaimOutcome(m_shared.claims, claim, end);
    return end;
}

/// True when no upstream of this region can serve the request through this host.
bool RequestPath::mustRelay(const ActiveRequest &active) const
{
    if (!m_shared.state.lease.isValid(BootClock::now())) {
        return true;
    }
    return m_shared.state.routing.read([&active](const RoutingView &view) {
        const auto *service = view.findService(active.request.parsed.service);
        return !service || !(*service)->gate;
    });
}

RequestEnd RequestPath::runRepeatable(ActiveRequest &active, const asio::yield_context &yield)
{
    RequestEnd end = attempt(active, yield);
    std::optional<OutcomeUnknown> mayHaveRun;
    while (!std::holds_alternative<Answered>(end)) {
        if (const auto *unknown = std::get_if<OutcomeUnknown>(&end)) {
            mayHaveRun = *unknown;
        }
        const bool wasSent = !active.triedUpstreams.empty() || !active.triedHosts.empty();
        const bool isOver =
            !wasSent || active.attempts >= s_maximumAttempts || active.caller.cancellation().isRequested() || BootClock::now() >= active.request.deadline;
        if (isOver || !m_shared.retryBudget.tryAcquire(BootClock::now())) {
            break;
        }
        const std::uint32_t before = active.attempts;
        end = attempt(active, yield);
        if (active.attempts == before) {
            // No untried upstream had a free slot.
            break;
        }
    }
    if (std::holds_alternative<Answered>(end)) {
        m_shared.retryBudget.recordSuccess(BootClock::now());
        return end;
    }
    // Once an attempt may have run, the outcome stays unknown unless a later attempt is answered.
    if (mayHaveRun) {
        return *mayHaveRun;
    }
    return end;
}

/// Makes one attempt: on an upstream of this region, by relaying to another host, or after waiting for a slot.
RequestEnd RequestPath::attempt(ActiveRequest &active, const asio::yield_context &yield)
{
    SlotRejection rejection = SlotRejection::NoFreeSlot;
    if (auto ready = selectUntried(active, rejection)) {
        return dispatch(active, std::move(*ready), yield);
    }
    if (active.request.isRelayed()) {
        // The relaying host queues the request itself.
        return Admission::toNotRun(rejection);
    }
    if (auto target = relayTarget(active, rejection)) {
        RequestEnd end = relay(active, std::move(*target), yield);
        // If the other host did not run the request, it can still run here before its deadline.
        if (!std::holds_alternative<NotRun>(end)) {
            return end;
        }
    }
    const bool mayQueue = rejection != SlotRejection::NoUpstream && rejection != SlotRejection::LeaseExpired && active.triedUpstreams.empty();
    if (!mayQueue) {
        return Admission::toNotRun(rejection);
    }
    AdmissionResult admitted = waitForSlot(active, yield);
    if (auto *ready = std::get_if<ReadyDispatch>(&admitted)) {
        return dispatch(active, std::move(*ready), yield);
    }
    return std::get<NotRun>(admitted);
}

AdmissionResult RequestPath::waitForSlot(ActiveRequest &active, const asio::yield_context &yield)
{
    SlotDecision decision = m_admission.tryReserve(active.request);
    if (auto *ready = std::get_if<ReadyDispatch>(&decision)) {
        return std::move(*ready);
    }
    if (active.request.isRelayed()) {
        return Admission::toNotRun(std::get<SlotRejection>(decision));
    }
    const BootTime before = BootClock::now();
    AdmissionResult result = m_admission.waitForSlot(active.request, &active.caller.cancellation(), yield);
    active.waiting += BootClock::now() - before;
    return result;
}

/// Reserves a slot on an upstream that this request has not tried yet. Slots reserved on tried upstreams are held until
/// the selection ends, so that it returns other upstreams, and are then released unused.
std::optional<ReadyDispatch> RequestPath::selectUntried(const ActiveRequest &active, SlotRejection &rejection)
{
    std::vector<ReadyDispatch> rejected;
    std::optional<ReadyDispatch> chosen;
    while (!chosen && rejected.size() < s_maximumReselections) {
        SlotDecision decision = m_admission.tryReserve(active.request);
        if (const auto *noSlot = std::get_if<SlotRejection>(&decision)) {
            rejection = *noSlot;
            break;
        }
        ReadyDispatch &ready = std::get<ReadyDispatch>(decision);
        if (active.triedUpstreams.count(ready.dispatch.selection.upstream->id()) > 0) {
            rejected.push_back(std::move(ready));
            continue;
        }
        chosen.emplace(std::move(ready));
    }
    const BootTime now = BootClock::now();
    for (const auto &ready : rejected) {
        ready.dispatch.selection.upstream->record(UpstreamOutcome::Cancelled, std::chrono::nanoseconds(0), now);
    }
    return chosen;
}

std::optional<RelayTarget> RequestPath::relayTarget(ActiveRequest &active, SlotRejection rejection) const
{
    if (active.request.isRelayed() || m_settings.peerSecret.empty()) {
        return std::nullopt;
    }
    // A request leaves the region only when the region can't serve it at all; in a busy region it waits in the queue.
    const bool sameRegionOnly = rejection == SlotRejection::NoFreeSlot || rejection == SlotRejection::RegionLimit;
    const Bytes estimate(static_cast<std::int64_t>(active.original.body.size()) + s_expectedResponseBytes + 2 * s_expectedHeaderBytes);
    return m_shared.state.routing.read([&](const RoutingView &view) {
        return chooseRelayTarget(view, m_settings.host, m_settings.region, active.triedHosts, sameRegionOnly, estimate, BootClock::now());
    });
}

RequestEnd RequestPath::dispatch(ActiveRequest &active, ReadyDispatch ready, const asio::yield_context &yield)
{
    const ClassifiedRequest &request = active.request;
    ++active.attempts;
    active.triedUpstreams.insert(ready.dispatch.selection.upstream->id());
    const BootTime startedAt = BootClock::now();
    CallOptions options;
    options.deadline = request.deadline;
    options.progressTimeout = request.progressTimeout;
    options.requestId = request.id.value();
    options.prepare = [this, &request](HttpRequest &upstreamRequest) {
        const BootTime now = BootClock::now();
        addDeadline(upstreamRequest, request.deadline, now);
        return m_shared.state.lease.isValid(now);
    };
    // A non-repeatable request continues after its caller disconnects, so that its response is stored for a later attempt.
    options.cancellation = request.mayRepeat ? &active.caller.cancellation() : nullptr;
    CallResult result = m_pool.call(ready.route.address, ready.route.connections, makeUpstreamRequest(request, active.original), options, yield);
    recordUpstream(active, ready, result, startedAt);
    if (isAbandoned(result)) {
        releaseAfterWork(active, std::make_shared<ReadyDispatch>(std::move(ready)), request.mayRepeat);
    } else {
        // Releases the slot before the queue is served.
        const ReadyDispatch released = std::move(ready);
    }
    m_admission.slotFreed();
    return endOfCall(std::move(result));
}

void RequestPath::recordUpstream(const ActiveRequest &active, ReadyDispatch &ready, const CallResult &result, BootTime startedAt)
{
    const BootTime now = BootClock::now();
    const UpstreamOutcome outcome = outcomeForHealth(result);
    ready.dispatch.selection.upstream->record(outcome, now - startedAt, now);
    if (outcome == UpstreamOutcome::Success) {
        m_admission.recordServiceTime(active.request.parsed.service, now - startedAt);
    }
    const auto *failure = std::get_if<CallFailure>(&result);
    if (failure && failure->anyByteWritten && failure->kind == CallFailureKind::DeadlineExceeded) {
        m_admission.recordTimeout(active.request.parsed.service, now - startedAt);
    }
}

/// An upstream can process an abandoned request until its deadline. The slot stays reserved until the upstream confirms
/// the cancellation or the deadline passes; otherwise the upstream would receive more requests than it has slots.
void RequestPath::releaseAfterWork(const ActiveRequest &active, std::shared_ptr<ReadyDispatch> ready, bool cancel)
{
    asio::spawn(m_context,
        [this, ready = std::move(ready), cancel, id = active.request.id, deadline = active.request.deadline](const asio::yield_context &yield) mutable {
            bool hasEnded = false;
            if (cancel) {
                CallOptions options;
                options.deadline = BootClock::now() + s_cancellationTimeout;
                const CallResult result = m_pool.call(ready->route.address, ready->route.connections, {"DELETE", "/v1/work/" + id.value()}, options, yield);
                const auto *response = std::get_if<HttpResponse>(&result);
                // 404 doesn't prove that the work has ended: the cancellation can arrive before its request, which then starts.
                hasEnded = response && response->status < 300;
            }
            if (!hasEnded) {
                boost::system::error_code ignored;
                asio::steady_timer timer(m_context, deadline + s_deadlineAllowance - BootClock::now());
                timer.async_wait(yield[ignored]);
            }
            ready.reset();
            m_admission.slotFreed();
        });
}

RequestEnd RequestPath::relay(ActiveRequest &active, RelayTarget target, const asio::yield_context &yield)
{
    const ClassifiedRequest &request = active.request;
    ++active.attempts;
    active.triedHosts.insert(target.host);
    CallOptions options;
    options.deadline = request.deadline;
    options.progressTimeout = s_maximumRelayedAttempts * request.progressTimeout;
    options.requestId = request.id.value();
    options.prepare = [&request](HttpRequest &relayedRequest) {
        addDeadline(relayedRequest, request.deadline, BootClock::now());
        return true;
    };
    options.cancellation = request.mayRepeat ? &active.caller.cancellation() : nullptr;
    const HttpRequest relayed = makeRelayRequest(request, active.original, m_settings.host, m_settings.peerSecret);
    CallResult result = m_pool.call(target.address, nullptr, relayed, options, yield);
    if (target.link) {
        const auto *response = std::get_if<HttpResponse>(&result);
        const auto responseBytes = response ? static_cast<std::int64_t>(response->body.size()) : s_expectedResponseBytes;
        target.link->settle(Bytes(static_cast<std::int64_t>(relayed.body.size()) + responseBytes + 2 * s_expectedHeaderBytes), BootClock::now());
    }
    return endOfRelay(std::move(result));
}

void RequestPath::recordMetrics(const ActiveRequest &active, RequestSeries &series, const RequestEnd &end, BootTime startedAt) const
{
    RequestMeasurement measurement;
    measurement.latency = BootClock::now() - startedAt;
    measurement.waiting = active.waiting;
    measurement.retries = active.attempts > 1 ? active.attempts - 1 : 0;
    if (const auto *notRun = std::get_if<NotRun>(&end)) {
        measurement.outcome = RequestOutcome::NotRun;
        measurement.reason = notRun->reason;
    }
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&end)) {
        measurement.outcome = RequestOutcome::Unknown;
        measurement.reason = unknown->reason;
    }
    series.finished(measurement);
}

RequestId RequestPath::nextId()
{
    return RequestId(fmt::format("{:x}-{:x}-{:x}", m_settings.incarnation.value(), m_worker, ++m_lastId));
}

void RequestPath::closeExpired()
{
    m_pool.closeExpired(BootClock::now());
}

} // namespace Trefoil
