#pragma once

#include <LibGateway/attempt.h>
#include <LibGateway/gatewaymetrics.h>
#include <LibHttp/httpserver.h>

#include <random>

namespace Trefoil
{

struct GatewaySettings
{
    GatewayHeaders headers;
    /// Local IP of connections to upstreams.
    std::string sourceAddress;
    /// Longest wait for a connection to an upstream.
    std::chrono::milliseconds connectTimeout{500};
    /// Silence of an upstream's connection, in transit or idle, after which it is given up.
    std::chrono::milliseconds silenceTimeout{1000};
    /// Idle time after which a connection isn't trusted with a request that may run only once: the upstream may have
    /// forgotten the connection, and the outcome would be unknown.
    std::chrono::milliseconds maximumIdleForNonIdempotent{1500};
};

/// Sends requests of callers to upstreams: match a route, place, attempt, retry within the limits, answer.
/// Thread safety: all calls on the thread that runs the context.
class Gateway
{
public:
    /// Precondition: context, state and metrics outlive the gateway.
    Gateway(boost::asio::io_context &context, GatewaySettings settings, GatewayState &state, GatewayMetrics &metrics);

    /// Answers one request of a caller. Precondition: runs in a coroutine of the context.
    HttpResponse handle(HttpRequest &request, CallerConnection &caller, const boost::asio::yield_context &yield);

    /// Requests in work. Precondition: none.
    std::int64_t inFlight() const
    {
        return m_inFlight;
    }

    /// Closes idle connections to upstreams that were not used for long. Precondition: none.
    void closeExpired(BootTime now);

private:
    struct Exchange;

    HttpResponse forward(Exchange &exchange, const boost::asio::yield_context &yield);
    std::variant<std::shared_ptr<Upstream>, HttpResponse> choose(Exchange &exchange);
    HttpResponse respondUnplaced(Exchange &exchange, const NoRoom *noRoom);
    HttpRequest upstreamRequest(const Exchange &exchange, const UpstreamIdentity &upstream) const;
    /// Whether the upstream that was chosen may get the request yet: it can change while a connection is opened.
    bool isStillAllowed(const Exchange &exchange, const Upstream &upstream) const;
    CallOptions callOptions(Exchange &exchange, Upstream &upstream) const;
    void logAttempt(const Exchange &exchange, const Upstream &upstream, const AttemptEnd &end, Milliseconds duration, BootTime now) const;
    AttemptEnd attempt(Exchange &exchange, Upstream &upstream, const boost::asio::yield_context &yield);
    /// Binds the request also to the configuration in force; false when that leaves nowhere to send it.
    bool applyNewerConfiguration(Exchange &exchange);
    bool shouldRetry(Exchange &exchange, const AttemptEnd &end, BootTime now);
    HttpResponse fail(Exchange &exchange, RequestOutcome outcome, int status, std::string_view reason, std::string_view message);
    HttpResponse failIncomplete(Exchange &exchange);
    HttpResponse respond(Exchange &exchange, AttemptEnd end);
    HttpResponse reject(Exchange &exchange, std::string_view reason, Milliseconds timeUntilRoom);

    GatewaySettings m_settings;
    GatewayState &m_state;
    GatewayMetrics &m_metrics;
    ConnectionPool m_pool;
    std::int64_t m_inFlight = 0;
    std::minstd_rand m_random;
};

} // namespace Trefoil
