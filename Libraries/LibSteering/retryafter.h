#pragma once

#include <chrono>

namespace Trefoil
{

/// Retry-After of a rejected request, from the time until slots are likely to be free: within bounds, and spread so that callers
/// that were rejected together don't come back together.
/// Answers bursts that are rejected at once: without the spread they return as the same burst.
/// Precondition: spread is drawn evenly from 0 to 1. Thread safety: safe from any thread.
std::chrono::duration<double, std::milli> retryAfter(std::chrono::duration<double, std::milli> untilFreeSlot, double spread);

} // namespace Trefoil
