#include <LibSteering/slidingwindowcounter.h>

#include <algorithm>
#include <cassert>

namespace Trefoil
{

namespace
{

constexpr unsigned s_countBits = 24;
constexpr std::uint64_t s_countMask = (std::uint64_t{1} << s_countBits) - 1;

std::int64_t bucketNumberOf(std::uint64_t packed)
{
    return static_cast<std::int64_t>(packed >> s_countBits);
}

std::int64_t countOf(std::uint64_t packed)
{
    return static_cast<std::int64_t>(packed & s_countMask);
}

std::uint64_t pack(std::int64_t bucketNumber, std::int64_t count)
{
    return (static_cast<std::uint64_t>(bucketNumber) << s_countBits) | static_cast<std::uint64_t>(count);
}

} // namespace

SlidingWindowCounter::SlidingWindowCounter(std::chrono::nanoseconds window)
    : m_window(window)
    , m_bucketNanoseconds((window.count() + s_bucketsPerWindow - 1) / s_bucketsPerWindow)
{
    assert(window >= std::chrono::microseconds(1));
}

bool SlidingWindowCounter::tryAdd(std::int64_t limit, BootTime now)
{
    const std::int64_t bucketNumber = advance(now);
    std::int64_t total = m_total.load(std::memory_order_acquire);
    do {
        if (total >= limit) {
            return false;
        }
    } while (!m_total.compare_exchange_weak(total, total + 1, std::memory_order_acq_rel));
    addToBucket(bucketNumber);
    return true;
}

void SlidingWindowCounter::add(BootTime now)
{
    const std::int64_t bucketNumber = advance(now);
    m_total.fetch_add(1, std::memory_order_acq_rel);
    addToBucket(bucketNumber);
}

std::int64_t SlidingWindowCounter::count(BootTime now)
{
    advance(now);
    return m_total.load(std::memory_order_acquire);
}

std::chrono::nanoseconds SlidingWindowCounter::window() const
{
    return m_window;
}

std::int64_t SlidingWindowCounter::advance(BootTime now)
{
    const std::int64_t currentBucket = now.time_since_epoch().count() / m_bucketNanoseconds;
    std::int64_t newest = m_newestBucket.load(std::memory_order_acquire);
    while (newest < currentBucket) {
        if (m_newestBucket.compare_exchange_weak(newest, currentBucket, std::memory_order_acq_rel)) {
            expireBefore(currentBucket - s_bucketsPerWindow);
            return currentBucket;
        }
    }
    return newest;
}

void SlidingWindowCounter::expireBefore(std::int64_t oldestKept)
{
    for (auto &bucket : m_buckets) {
        std::uint64_t packed = bucket.load(std::memory_order_acquire);
        // Only the thread whose exchange succeeds subtracts the removed events, so a concurrent addition is never lost.
        while (bucketNumberOf(packed) < oldestKept && countOf(packed) > 0) {
            if (bucket.compare_exchange_weak(packed, pack(bucketNumberOf(packed), 0), std::memory_order_acq_rel)) {
                m_total.fetch_sub(countOf(packed), std::memory_order_acq_rel);
                break;
            }
        }
    }
}

void SlidingWindowCounter::addToBucket(std::int64_t earliest)
{
    // Read again after the total was incremented, so that the event of a thread that was preempted in between counts for a whole window from here on.
    const std::int64_t bucketNumber = std::max(earliest, m_newestBucket.load(std::memory_order_acquire));
    auto &bucket = m_buckets[static_cast<std::size_t>(bucketNumber) % s_bucketCount];
    std::uint64_t packed = bucket.load(std::memory_order_acquire);
    while (true) {
        // A delayed thread may find a newer bucket in this slot; counting the event there keeps it for longer, which is safe.
        const bool reuse = bucketNumberOf(packed) < bucketNumber;
        const std::uint64_t next = reuse ? pack(bucketNumber, 1) : packed + 1;
        if (!bucket.compare_exchange_weak(packed, next, std::memory_order_acq_rel)) {
            continue;
        }
        if (reuse) {
            m_total.fetch_sub(countOf(packed), std::memory_order_acq_rel);
        }
        return;
    }
}

} // namespace Trefoil
