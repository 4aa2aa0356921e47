#pragma once

#include <LibCore/bootclock.h>
#include <LibSteering/upstreamgroup.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace Trefoil
{

/// How a request to an upstream ended, as far as its health is concerned.
enum class UpstreamOutcome {
    Success,
    /// An error response or a broken one.
    Error,
    /// Refused before it acted.
    Shed,
    Timeout,
    ConnectFailed,
    /// Ended by the caller; says nothing about the upstream.
    Cancelled,
};

/// One host's view of one upstream. What the host observed itself goes before what the upstream reports.
/// Thread safety: all methods are safe from any thread and lock-free.
class UpstreamHealth
{
public:
    /// Precondition: group is not null.
    explicit UpstreamHealth(std::shared_ptr<UpstreamGroup> group);

    /// Precondition: every request that was dispatched is recorded once. latency counts from dispatch to the end.
    void record(UpstreamOutcome outcome, std::chrono::nanoseconds latency, BootTime now);

    /// Takes the share of slots in use that the upstream reports. Precondition: load is not negative.
    void recordReport(float load, BootTime measuredAt);

    /// Factor on the configured weight, from 0.01 (errors or shedding only) to 1. It returns to 1 when nothing was measured for 10 s.
    float quality(BootTime now) const;

    /// Latency relative to the group's usual one; 1 when nothing was measured for 10 s.
    float relativeLatency(BootTime now) const;

    /// Reported share of slots in use; negative when the report is older than 10 s or contradicted by observed shedding.
    float reportedLoad(BootTime now) const;

    /// The last report whatever its age, as the plain policies use it.
    float lastReportedLoad() const;

    /// An ejected upstream gets nothing but single probes. Silence does not end an ejection; a probe that succeeds does.
    bool isEjected() const;

    /// Begins the single probe of an ejected upstream when one is due. Precondition: a request that may repeat is then dispatched.
    bool tryBeginProbe(BootTime now);

    /// Makes a probe that could not be dispatched due again. Precondition: tryBeginProbe() returned true.
    void abandonProbe();

    /// Ends the ejection without a probe, for a group that shrank. Precondition: none.
    void readmit();

private:
    void recordSuccess(std::chrono::nanoseconds latency);
    void recordFailure(UpstreamOutcome outcome, BootTime now);
    float freshness(BootTime now) const;

    std::shared_ptr<UpstreamGroup> m_group;
    std::atomic<float> m_errorRate{0};
    std::atomic<float> m_shedRate{0};
    std::atomic<float> m_latencySeconds{0};
    std::atomic<float> m_reportedLoad{0};
    std::atomic<std::int64_t> m_reportedAtNanoseconds{0};
    std::atomic<std::int64_t> m_measuredAtNanoseconds{0};
    std::atomic<std::int32_t> m_consecutiveFailures{0};
    std::atomic<std::int32_t> m_failedProbes{0};
    std::atomic<bool> m_ejected{false};
    std::atomic<bool> m_probing{false};
    std::atomic<std::int64_t> m_nextProbeNanoseconds{0};
};

} // namespace Trefoil
