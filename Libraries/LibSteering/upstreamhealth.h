#pragma once

#include <LibCore/bootclock.h>
#include <LibSteering/upstreamgroup.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace Trefoil
{

/// How a request to an upstream ended, as it concerns the upstream's health.
enum class UpstreamOutcome {
    Success,
    /// An error response or an invalid one.
    Error,
    /// Rejected by the upstream before it acted on the request.
    Shed,
    Timeout,
    ConnectFailed,
    /// Ended by the caller; carries no information about the upstream.
    Cancelled,
};

/// Health of one upstream as observed by this host. The host's own observations take precedence over what the upstream reports.
/// Thread safety: all methods are safe from any thread and lock-free.
class UpstreamHealth
{
public:
    /// Precondition: group is not null.
    explicit UpstreamHealth(std::shared_ptr<UpstreamGroup> group);

    /// Records how a request ended; latency is the time from dispatch to the end. Precondition: every dispatched request is recorded once.
    void record(UpstreamOutcome outcome, std::chrono::nanoseconds latency, BootTime now);

    /// Records the fraction of slots in use that the upstream reports. Precondition: load is not negative.
    void recordReport(float load, BootTime measuredAt);

    /// Factor for the configured weight, from 0.01 (errors or shedding only) to 1. When no outcome has been recorded for 10 s, it returns to 1
    /// linearly over the next 10 s.
    float quality(BootTime now) const;

    /// Mean latency relative to the group's mean; 1 while either has no sample. When no outcome has been recorded for 10 s, it returns to 1 linearly
    /// over the next 10 s.
    float relativeLatency(BootTime now) const;

    /// Reported fraction of slots in use; negative when the report is older than 10 s or contradicted by observed shedding.
    float reportedLoad(BootTime now) const;

    /// The last reported load regardless of its age, for the policies that ignore health.
    float lastReportedLoad() const;

    /// True while the upstream is ejected and receives nothing but single probes. The absence of failures does not end an ejection; a successful
    /// probe does.
    bool isEjected() const;

    /// Starts the single probe of an ejected upstream if one is due. Precondition: a request that may be repeated is then dispatched.
    bool tryBeginProbe(BootTime now);

    /// Cancels a started probe that could not be dispatched, so that it no longer blocks the next one. Precondition: tryBeginProbe() returned true.
    void abandonProbe();

    /// Ends the ejection without a probe, for a group that has shrunk. Precondition: none.
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
