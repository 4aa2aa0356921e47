#include <LibSteering/spillshare.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Change of the share in a second. Operators allow 15% of a region's requests to move between windows of 2 s; half of it is
/// left for requests that move for other reasons.
constexpr double s_changePerSecond = 0.035;
/// The share falls more slowly, since each key that returns finds its upstreams cold.
constexpr double s_returnPerSecond = 0.01;
/// Load per slot of the own region above which more requests leave it than the slots of the regions ask for, and below which
/// fewer do. In between the share goes to what the slots ask for.
constexpr double s_highLoad = 1.0;
constexpr double s_lowLoad = 0.3;
/// The load is averaged over about this time.
constexpr Seconds s_loadTime{1.0};
double fairShare(const SpillShare::Observation &observation, std::size_t regions)
{
    const double fairSlots = (observation.slots + observation.otherSlots) / static_cast<double>(std::max<std::size_t>(regions, 1));
    return fairSlots > 0 ? std::clamp(1 - observation.slots / fairSlots, 0.0, 1.0) : 0.0;
}

} // namespace

SpillShare::SpillShare(const Observation &start, std::size_t regions, BootTime now)
    : m_regions(regions)
    , m_share(fairShare(start, regions))
    , m_load((s_highLoad + s_lowLoad) / 2)
    , m_observedAt(now)
{
}

void SpillShare::observe(const Observation &observation, BootTime now)
{
    const double elapsed = std::max(0.0, Seconds(now - m_observedAt).count());
    m_observedAt = now;
    if (observation.otherSlots <= 0) {
        return;
    }
    const double load = observation.slots > 0 ? observation.occupancy / observation.slots : s_highLoad * 2;
    m_load += (load - m_load) * (1 - std::exp(-elapsed / s_loadTime.count()));
    const double wanted = m_load > s_highLoad ? 1.0 : m_load < s_lowLoad ? 0.0 : fairShare(observation, m_regions);
    const double duration = std::min(elapsed, 1.0);
    m_share = std::clamp(wanted, m_share - s_returnPerSecond * duration, m_share + s_changePerSecond * duration);
}

} // namespace Trefoil
