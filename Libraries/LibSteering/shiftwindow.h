#pragma once

#include <LibCore/units.h>
#include <LibSteering/slidingwindowcounter.h>

#include <array>
#include <atomic>

namespace Trefoil
{

/// This host's share of a shift cap: how many moved requests it may begin to serve in any window of the interval (P1).
/// A changed interval needs a new object, whose grant becomes usable as late as any newly acquired one.
class ShiftWindow
{
public:
    /// Precondition: interval is at least one millisecond.
    explicit ShiftWindow(std::chrono::nanoseconds interval);

    /// Acquires a permit for one moved request; false when the grant is used up in the window that ends now.
    /// Precondition: now was read immediately before the call, and the request is dispatched immediately after it.
    /// Thread safety: safe from any thread; lock-free.
    bool tryAcquire(BootTime now);

    /// Sets the granted requests per interval. A raise becomes usable one whole interval later, because the previous holder may have used it in the
    /// current interval; a lower grant takes effect immediately.
    /// Precondition: granted is at least 0 and at most 16,000,000. Thread safety: one control thread at a time.
    void setGranted(RequestCount granted, BootTime now);

    /// The part of the grant that may be used now. Precondition: none. Thread safety: safe from any thread.
    RequestCount usable(BootTime now) const;

private:
    /// A raise of the grant that becomes usable later.
    struct Raise
    {
        std::atomic<std::int64_t> usableAtNanoseconds{0};
        std::atomic<std::int64_t> requests{0};
    };

    void mergeUsableRaises(BootTime now);
    void addRaise(std::int64_t requests, BootTime usableAt);

    SlidingWindowCounter m_acquired;
    std::int64_t m_granted = 0;
    std::atomic<std::int64_t> m_usable{0};
    std::array<Raise, 4> m_raises;
};

} // namespace Trefoil
