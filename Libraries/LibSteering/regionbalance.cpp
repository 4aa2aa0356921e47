#include <LibSteering/regionbalance.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// A region that is used less than this keeps its requests; moving them would only cost latency and cold caches.
constexpr double s_moveAboveUsed = 0.5;
/// Differences below this are left, since reports fluctuate by about as much.
constexpr double s_leftDifference = 0.04;
/// Part of the remaining difference that one heartbeat round corrects. Larger parts follow the noise of the reports.
constexpr double s_gain = 0.12;
/// Part of the share that remains after a round without need.
constexpr double s_decay = 0.8;
/// More would use up the shift cap, which forced moves may need.
constexpr double s_largestShare = 0.25;
constexpr double s_wholeCredit = 4294967296.0;

} // namespace

void RegionBalance::update(double ownUsed, double emptiestUsed)
{
    double next = share();
    if (ownUsed < s_moveAboveUsed && next <= 0) {
        return;
    }
    const double difference = ownUsed - emptiestUsed;
    if (ownUsed < s_moveAboveUsed * s_decay) {
        next *= s_decay;
    } else if (difference > s_leftDifference || difference < 0) {
        // Half of the difference has to move for the two to meet.
        next += s_gain * difference / 2;
    }
    next = std::clamp(next, 0.0, s_largestShare);
    m_step.store(static_cast<std::uint32_t>(next * s_wholeCredit), std::memory_order_relaxed);
}

bool RegionBalance::movesNext()
{
    const std::uint32_t step = m_step.load(std::memory_order_relaxed);
    // The sum wraps round once for each request that moves.
    return step > 0 && m_credit.fetch_add(step, std::memory_order_relaxed) + step < step;
}

double RegionBalance::share() const
{
    return static_cast<double>(m_step.load(std::memory_order_relaxed)) / s_wholeCredit;
}

} // namespace Trefoil
