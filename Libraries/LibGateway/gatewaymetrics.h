#pragma once

#include <LibGateway/attempt.h>
#include <LibGateway/gatewaystate.h>
#include <LibHttp/memorybudget.h>
#include <LibTelemetry/requestmetrics.h>

namespace Trefoil
{

/// Metrics of the gateway: latency histograms by host name of the route and by route, attempt counters by upstream, and gauges of
/// the host's state. The number of series is bounded, regardless of what callers send.
/// Thread safety: one thread at a time, which holds a SnapshotReaderThread.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Declares the routes that get separate series, and records that the configuration came into force now. Precondition: none.
    void declare(const RoutingConfiguration &configuration, BootTime now);

    /// Counts a request as in flight and returns its series; route may be null.
    /// Precondition: finished() of the series follows exactly once.
    std::shared_ptr<RequestSeries> start(const Route *route) const;

    /// Counts an attempt that has ended. Precondition: none.
    void countAttempt(const UpstreamId &upstream, AttemptOutcome outcome, const CallTrace &trace);

    /// Counts the bytes of an attempt by where its upstream is. Precondition: none.
    void countTraffic(ZoneRelation relation, const CallTrace &trace)
    {
        m_traffic.add(TrafficPurpose::Request, relation, trace.bytesWritten);
        m_traffic.add(TrafficPurpose::Response, relation, trace.bytesRead);
    }

    /// Bytes to and from upstreams. Precondition: none.
    const TrafficBytes &traffic() const
    {
        return m_traffic;
    }

    /// Counts a request of a customer that has ended. Precondition: none.
    void countCustomerRequest(const CustomerId &customer, RequestOutcome outcome);

    /// Records that the store has confirmed the list of upstreams now. Precondition: none.
    void recordDiscovery(BootTime now)
    {
        m_discoveryAt = now;
    }

    /// Writes all metrics to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer, const GatewayState &state, BootTime now) const;

private:
    using CountsByOutcome = std::array<std::uint64_t, 6>;
    /// Upstreams with counters of their own; all further ones share the label "other".
    static constexpr std::size_t s_maximumUpstreams = 1024;
    /// The same for customers; three series each.
    static constexpr std::size_t s_maximumCustomers = 256;

    RequestMetrics m_requests;
    std::map<UpstreamId, CountsByOutcome> m_attempts;
    std::map<CustomerId, std::array<std::uint64_t, 3>> m_customerRequests;
    std::uint64_t m_foreignResponses = 0;
    std::uint64_t m_avoidedConnections = 0;
    TrafficBytes m_traffic;
    std::array<std::uint64_t, s_connectionCauseCount> m_openedConnections{};
    BootTime m_configurationAt{};
    BootTime m_discoveryAt{};
};

/// Writes the state of the budget to a scrape. Precondition: none. Thread safety: as the budget.
void writeMemoryMetrics(ScrapeWriter &writer, const MemoryBudget &memory);

/// Writes the connections to upstreams and their limit to a scrape. Precondition: none. Thread safety: safe from any thread.
void writeConnectionMetrics(ScrapeWriter &writer, const ConnectionUse &use);

} // namespace Trefoil
