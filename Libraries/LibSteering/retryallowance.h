#pragma once

#include <LibSteering/slidingwindowcounter.h>

#include <optional>

namespace Trefoil
{

struct RetryAllowanceSettings
{
    /// Retries per request that all hosts together may send in a window.
    double ratio = 0.1;
    /// Retries that all hosts together may send in a window in addition to the ratio.
    double slack = 10;
    std::chrono::milliseconds window{10000};
    /// Start of this process, after which it earns its share of the slack; nothing at the first start of the deployment, when no earlier
    /// process of the host can have used the share.
    std::optional<BootTime> startedAt{};
};

/// This host's share of a retry budget for one service that all hosts share. The ratio applies to the host's own requests; the slack is divided by
/// the number of hosts. Only a fraction of both is used, since hosts may disagree on their number for a while. A new process has nothing of the slack
/// and earns its part over 2.5 windows, since the process before it may have used it up.
/// Handles upstreams that fail many requests at once: the sum over all hosts stays within the budget without messages between them.
/// Thread safety: one thread at a time.
class RetryAllowance
{
public:
    /// Precondition: the window is positive.
    explicit RetryAllowance(RetryAllowanceSettings settings);

    /// Records a first attempt. Precondition: none.
    void recordRequest(BootTime now);

    /// Acquires one retry unless the share is used up. Precondition: hosts is at least 1.
    bool tryAcquire(BootTime now, std::size_t hosts);

private:
    /// Which part of its share of the slack this process has earned.
    double earnedFraction(BootTime now) const;

    RetryAllowanceSettings m_settings;
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace Trefoil
