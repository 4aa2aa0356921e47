#pragma once

#include <LibGateway/attempt.h>
#include <LibGateway/gatewaystate.h>
#include <LibTelemetry/requestmetrics.h>

namespace Trefoil
{

/// Measurements of the gateway: histograms of latency by host name of the route and by route, counts of attempts by upstream,
/// and gauges of what the host believes. The number of series is bounded whatever callers send.
/// Thread safety: one thread at a time, which holds a SnapshotReaderThread.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Sets the routes that have series of their own. Precondition: none.
    void declare(const RoutingConfiguration &configuration, BootTime now);

    /// Counts a request as in flight; route may be null. Precondition: finished() of the series follows once.
    std::shared_ptr<RequestSeries> start(const Route *route) const;

    /// Counts an attempt that has ended. Precondition: none.
    void countAttempt(const UpstreamId &upstream, AttemptOutcome outcome);

    /// Notes that what the store says of upstreams was confirmed now. Precondition: none.
    void recordDiscovery(BootTime now)
    {
        m_discoveryAt = now;
    }

    /// Adds everything to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer, const GatewayState &state, BootTime now) const;

private:
    using CountsByOutcome = std::array<std::uint64_t, 6>;
    /// Upstreams with counts of their own; further ones share one.
    static constexpr std::size_t s_maximumUpstreams = 1024;

    RequestMetrics m_requests;
    std::map<UpstreamId, CountsByOutcome> m_attempts;
    BootTime m_configurationAt{};
    BootTime m_discoveryAt{};
};

} // namespace Trefoil
