#pragma once

#include <chrono>

namespace Trefoil
{

/// Monotonic clock that also counts the time for which the machine was suspended (CLOCK_BOOTTIME).
/// A lease checked against it lapses while its holder sleeps.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /// The current time. Precondition: none. Thread safety: safe from any thread.
    static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

} // namespace Trefoil
