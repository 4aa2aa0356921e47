#pragma once

#include <LibCore/bootclock.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Counts the events of a sliding time window in buckets. A window of the given length overlaps at most one bucket more than it is divided into, and
/// that bucket is counted too: the count is never too low, and too high by at most the events of one bucket.
/// Thread safety: all methods are safe from any thread and lock-free.
class SlidingWindowCounter
{
public:
    /// Precondition: window is at least one microsecond.
    explicit SlidingWindowCounter(std::chrono::nanoseconds window);

    /// Counts one event if fewer than limit events are counted. A time before the newest one passed so far is treated as the newest.
    /// Precondition: now was read immediately before the call.
    bool tryAdd(std::int64_t limit, BootTime now);

    /// Counts one event without a limit. Precondition: as for tryAdd().
    void add(BootTime now);

    /// Events in the window that ends now. Precondition: as for tryAdd().
    std::int64_t count(BootTime now);

    /// The window's length. Precondition: none.
    std::chrono::nanoseconds window() const;

private:
    static constexpr std::int64_t s_bucketsPerWindow = 16;
    static constexpr std::size_t s_bucketCount = s_bucketsPerWindow + 2;

    std::int64_t advance(BootTime now);
    void expireBefore(std::int64_t oldestKept);
    void addToBucket(std::int64_t earliest);

    std::chrono::nanoseconds m_window;
    std::int64_t m_bucketNanoseconds;
    std::atomic<std::int64_t> m_newestBucket{0};
    std::atomic<std::int64_t> m_total{0};
    /// Bucket number in the upper 40 bits, events in the lower 24, so that both change together.
    std::array<std::atomic<std::uint64_t>, s_bucketCount> m_buckets{};
};

} // namespace Trefoil
