#include <LibReplication/subscriptionwait.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Maximum age of a subscriber's copy, relative to the age at which a publisher refuses to serve its own: four fifths of the time within
/// which a change must be in force, so that the rest suffices for a call to the store.
constexpr double s_maximumAgeRatio = 4.0 / 3.0;

} // namespace

std::optional<std::chrono::milliseconds> subscriptionWait(std::chrono::milliseconds age, const PublisherTiming &timing)
{
    const std::chrono::milliseconds servedAge = timing.batchDelay + timing.holdTime + timing.responseMargin;
    const auto maximumAge = std::chrono::duration_cast<std::chrono::milliseconds>(servedAge * s_maximumAgeRatio);
    const std::chrono::milliseconds left = maximumAge - age - timing.responseMargin;
    if (left.count() <= 0) {
        return std::nullopt;
    }
    return std::min(left, timing.holdTime);
}

} // namespace Trefoil
