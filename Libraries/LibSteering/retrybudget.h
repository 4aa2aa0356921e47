#pragma once

#include <LibSteering/slidingwindowcounter.h>

namespace Trefoil
{

/// Limits the retries of idempotent requests, so that a failing region does not multiply its own load.
class RetryBudget
{
public:
    RetryBudget();

    /// Records a request that succeeded. Precondition: none. Thread safety: safe from any thread; lock-free.
    void recordSuccess(BootTime now);

    /// Acquires one retry: in any second at most 10% of the mean successes per second over the last 10 s, and at least one.
    /// Precondition: the request may be repeated. Thread safety: safe from any thread; lock-free.
    bool tryAcquire(BootTime now);

private:
    SlidingWindowCounter m_successes;
    SlidingWindowCounter m_retries;
};

} // namespace Trefoil
