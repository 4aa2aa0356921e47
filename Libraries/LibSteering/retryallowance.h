#pragma once

#include <LibSteering/slidingwindowcounter.h>

namespace Trefoil
{

struct RetryAllowanceSettings
{
    /// Retries per request that all hosts together may send in a window.
    double ratio = 0.1;
    /// Retries that all hosts together may send in a window in addition to the ratio.
    double slack = 10;
    std::chrono::milliseconds window{10000};
};

/// This host's share of a retry budget for one service that all hosts share. The ratio applies to the host's own requests; the slack is divided by
/// the number of hosts. Only a fraction of both is used, since hosts may disagree on their number for a while.
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
    RetryAllowanceSettings m_settings;
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace Trefoil
