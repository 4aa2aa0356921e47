#pragma once

#include <LibGateway/attempt.h>
#include <LibGateway/gatewaymetrics.h>
#include <LibHttp/httpserver.h>
#include <LibQuota/quotaclient.h>
#include <LibSteering/copyfreshness.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace Trefoil
{

struct GatewaySettings
{
    GatewayHeaders headers;
    /// Local IP address of connections to upstreams.
    std::string sourceAddress;
    /// Time within which a connection to an upstream must be established.
    std::chrono::milliseconds connectTimeout{500};
    /// Time without an acknowledgement from the upstream after which its connection is closed, whether data is in transit or the
    /// connection is idle.
    std::chrono::milliseconds unacknowledgedTimeout{1000};
    /// Idle time after which a connection isn't reused for a non-idempotent request: the upstream may have dropped the connection,
    /// and it would be unknown whether the request ran.
    std::chrono::milliseconds maximumIdleForNonIdempotent{1500};
    /// Budget for responses; null gives the gateway one of its own.
    std::shared_ptr<MemoryBudget> memory{};
    /// Most connections to all upstreams together; 0 for no limit.
    std::size_t upstreamConnectionLimit = 0;
    RevocationPolicy revocation{};
    /// As mayUseKeys() expects it, for the configuration in force; required by a strict policy.
    std::function<BootTime()> configurationProvenAt{};
    /// Gives the permits of customers with a rate; null for a gateway that limits none. Must outlive the gateway.
    QuotaClient *quotas = nullptr;
};

/// Forwards requests of callers to upstreams: matches a route, places the request, attempts and retries it within the limits, and
/// responds.
/// Thread safety: all calls on the thread that runs the context.
class Gateway
{
public:
    /// Precondition: context, state and metrics outlive the gateway.
    Gateway(boost::asio::io_context &context, GatewaySettings settings, GatewayState &state, GatewayMetrics &metrics);

    /// Returns the response to one request of a caller. Precondition: runs in a coroutine of the context.
    HttpResponse handle(HttpRequest &request, CallerConnection &caller, const boost::asio::yield_context &yield);

    /// Number of requests that are being handled. Precondition: none.
    std::int64_t inFlight() const
    {
        return static_cast<std::int64_t>(m_exchanges->size());
    }

    /// From now on a request is sent to an upstream only if its response is likely to come before the end; others are rejected at once.
    /// Precondition: none.
    void stopAt(BootTime end)
    {
        m_end = end;
    }

    /// Ends the requests that still wait for upstreams; their callers get a failure response. Precondition: the time given to stopAt() has come.
    void endRequests();

    /// Closes connections to upstreams whose idle time has expired. Precondition: none.
    void closeExpired(BootTime now);

    /// Connections to upstreams. Precondition: none.
    ConnectionUse connectionUse() const
    {
        return m_pool.use();
    }

private:
    struct Exchange;
    class InFlightScope;

    /// What a configuration says about a request.
    struct ApplicableRoute
    {
        /// Narrowed to what its customer may use.
        Route route;
        /// Null for an anonymous caller.
        const Customer *customer;
    };

    /// Whether keys of the configuration may be used now.
    bool mayUseKeys(BootTime now) const;
    /// Logs it when requests with keys begin or cease to be rejected for the age of the configuration.
    void logKeyUse(bool isKeyUsable, BootTime now);
    /// Finds the customer of a request and narrows its route. Returns the response to a request that may not be served.
    std::optional<HttpResponse> admitCaller(Exchange &exchange);
    /// The route and the customer of a request in another configuration. Nothing when that allows the request no longer, or not for its customer.
    std::optional<ApplicableRoute> applicableRoute(const Exchange &exchange, const RouteTable &routes) const;
    /// Gets a permit for a request of a customer with a rate. Returns the response to a request that gets none.
    std::optional<HttpResponse> acquirePermit(Exchange &exchange, const boost::asio::yield_context &yield);
    HttpResponse forward(Exchange &exchange, const boost::asio::yield_context &yield);
    /// Attempts and retries the request.
    HttpResponse sendToUpstreams(Exchange &exchange, const boost::asio::yield_context &yield);
    std::variant<std::shared_ptr<Upstream>, HttpResponse> choose(Exchange &exchange);
    HttpResponse respondUnplaced(Exchange &exchange, const NoRoom *noRoom);
    HttpRequest upstreamRequest(const Exchange &exchange, const UpstreamIdentity &upstream) const;
    /// Whether the request may still be sent to the chosen upstream: the configuration and the evacuated availability zones can
    /// change while a connection is opened.
    bool isStillAllowed(const Exchange &exchange, const Upstream &upstream) const;
    /// Whether the response of the chosen upstream is likely to come before this host ends.
    bool fitsBeforeStop(const Exchange &exchange, const Upstream &upstream, BootTime now) const;
    CallOptions callOptions(Exchange &exchange, Upstream &upstream) const;
    void logAttempt(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end, Milliseconds duration, BootTime now) const;
    void logExhaustedPool(const Exchange &exchange, const Upstream &upstream) const;
    void logNotices(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end) const;
    AttemptEnd attempt(Exchange &exchange, Upstream &upstream, const boost::asio::yield_context &yield);
    /// Narrows the request's route to what the configuration in force allows, too. False when no destination remains.
    bool applyNewerConfiguration(Exchange &exchange);
    bool shouldRetry(Exchange &exchange, const AttemptEnd &end, BootTime now);
    HttpResponse fail(Exchange &exchange, RequestOutcome outcome, int status, std::string_view reason, std::string_view message);
    HttpResponse failIncomplete(Exchange &exchange);
    HttpResponse respond(Exchange &exchange, AttemptEnd end);
    /// Rejects the request with a Retry-After that is derived from the time until there is room.
    HttpResponse reject(Exchange &exchange, std::string_view reason, Milliseconds timeUntilRoom);
    /// Rejects the request with exactly that Retry-After.
    HttpResponse rejectFor(Exchange &exchange, std::string_view reason, Milliseconds wait, int status = 503);
    /// A random number from 0 to 1, which spreads callers that are told to come back.
    double spread();

    GatewaySettings m_settings;
    GatewayState &m_state;
    GatewayMetrics &m_metrics;
    ConnectionPool m_pool;
    /// The requests that are being handled. Shared with them, since coroutines that are left when the context goes end after the gateway.
    std::shared_ptr<std::set<Exchange *>> m_exchanges = std::make_shared<std::set<Exchange *>>();
    /// Time at which this host stops waiting for upstreams, once that is known.
    std::optional<BootTime> m_end;
    bool m_hasEnded = false;
    /// Whether the last request of a configuration with customers met one that was too old.
    bool m_rejectsKeys = false;
    std::minstd_rand m_random;
};

} // namespace Trefoil
