#include <LibSteering/spillshare.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Length of the windows between which operators limit the change, in seconds.
constexpr double s_windowSeconds = 2.0;
/// Fraction of the allowed change that the share uses; the rest is left for requests that change their region for other reasons.
constexpr double s_usedFraction = 7.0 / 15.0;
/// The same fraction for a falling share: each key that returns finds its upstreams cold.
constexpr double s_usedFractionOfReturn = 2.0 / 15.0;
/// Load per slot of this host's region above which the share rises beyond what the slots of the regions require, and below which it falls below
/// that. In between, the share approaches what the slots require.
constexpr double s_highLoad = 1.0;
constexpr double s_lowLoad = 0.3;
/// Time constant of the moving average of the load.
constexpr Seconds s_loadAveragingTime{1.0};

double fairShare(const SpillShare::Observation &observation, std::size_t regions)
{
    const double fairSlots = (observation.slots + observation.otherSlots) / static_cast<double>(std::max<std::size_t>(regions, 1));
    return fairSlots > 0 ? std::clamp(1 - observation.slots / fairSlots, 0.0, 1.0) : 0.0;
}

} // namespace

SpillShare::SpillShare(const Observation &start, const SpillShareSettings &settings, BootTime now)
    : m_settings(settings)
    , m_share(fairShare(start, settings.regions))
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
    m_load += (load - m_load) * (1 - std::exp(-elapsed / s_loadAveragingTime.count()));
    const double target = m_load > s_highLoad ? 1.0 : m_load < s_lowLoad ? 0.0 : fairShare(observation, m_settings.regions);
    const double allowed = m_settings.maximumShift / s_windowSeconds * std::min(elapsed, 1.0);
    m_share = std::clamp(target, m_share - s_usedFractionOfReturn * allowed, m_share + s_usedFraction * allowed);
}

} // namespace Trefoil
