#include <LibSteering/retryafter.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Least and most before the spread. Callers that come back sooner find the same queue.
constexpr Milliseconds s_least{20};
constexpr Milliseconds s_most{2000};

} // namespace

Milliseconds retryAfter(Milliseconds untilRoom, double spread)
{
    return std::clamp(untilRoom, s_least, s_most) * (1 + spread);
}

} // namespace Trefoil
