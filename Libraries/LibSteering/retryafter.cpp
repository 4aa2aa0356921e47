#include <LibSteering/retryafter.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Bounds before the spread is applied. Callers that retry sooner find the same queue.
constexpr Milliseconds s_minimumDelay{20};
constexpr Milliseconds s_maximumDelay{2000};

} // namespace

Milliseconds retryAfter(Milliseconds untilFreeSlot, double spread)
{
    return std::clamp(untilFreeSlot, s_minimumDelay, s_maximumDelay) * (1 + spread);
}

} // namespace Trefoil
