#pragma once

#include <atomic>

namespace Trefoil
{

/// Updates an exponentially weighted moving average with a sample of weight alpha.
/// Precondition: alpha lies in (0, 1]. Thread safety: safe from any thread; lock-free.
inline void moveAverage(std::atomic<float> &average, float sample, float alpha)
{
    float current = average.load(std::memory_order_relaxed);
    while (!average.compare_exchange_weak(current, current + (sample - current) * alpha, std::memory_order_relaxed)) { }
}

/// Like moveAverage(), but the first sample becomes the average. Zero means that there is no sample yet.
/// Precondition: alpha lies in (0, 1]. Thread safety: safe from any thread; lock-free.
inline void moveAverageOrStart(std::atomic<float> &average, float sample, float alpha)
{
    float current = average.load(std::memory_order_relaxed);
    float next = 0;
    do {
        next = current > 0 ? current + (sample - current) * alpha : sample;
    } while (!average.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

} // namespace Trefoil
