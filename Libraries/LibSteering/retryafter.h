#pragma once

#include <chrono>

namespace Trefoil
{

/// Retry-After of a rejected request, from the time until a slot is likely to be free: within bounds, and spread so that callers that were rejected
/// together don't retry together.
/// Handles bursts that are rejected at once: without the spread they return as the same burst.
/// Precondition: spread is drawn uniformly from 0 to 1. Thread safety: safe from any thread.
std::chrono::duration<double, std::milli> retryAfter(std::chrono::duration<double, std::milli> untilFreeSlot, double spread);

} // namespace Trefoil
