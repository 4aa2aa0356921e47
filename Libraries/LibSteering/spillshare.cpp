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
/// Load per slot of the own region above which requests leave it, and below which they come back. In between nothing moves,
/// so that the share does not swing.
constexpr double s_highLoad = 0.75;
constexpr double s_lowLoad = 0.55;
/// The load is averaged over about this time.
constexpr Seconds s_loadTime{1.0};
/// Requests that move beside the share, of those in the same window.
constexpr double s_extraPart = 0.04;
constexpr std::chrono::seconds s_extraWindow{2};

} // namespace

SpillShare::SpillShare(const Observation &start, std::size_t regions, BootTime now)
    : m_observedAt(now)
    , m_requests(s_extraWindow)
    , m_extra(s_extraWindow)
{
    const double fairSlots = (start.slots + start.otherSlots) / static_cast<double>(std::max<std::size_t>(regions, 1));
    m_share = fairSlots > 0 ? std::clamp(1 - start.slots / fairSlots, 0.0, 1.0) : 0.0;
    m_load = (s_highLoad + s_lowLoad) / 2;
}

void SpillShare::observe(const Observation &observation, BootTime now)
{
    const double elapsed = std::max(0.0, Seconds(now - m_observedAt).count());
    m_observedAt = now;
    if (observation.otherSlots <= 0) {
        return;
    }
    const double load = observation.slots > 0 ? observation.occupancy / observation.slots : 1.0;
    m_load += (load - m_load) * (1 - std::exp(-elapsed / s_loadTime.count()));
    const double step = s_changePerSecond * std::min(elapsed, 1.0);
    if (m_load > s_highLoad) {
        m_share = std::min(1.0, m_share + step);
    } else if (m_load < s_lowLoad) {
        m_share = std::max(0.0, m_share - step);
    }
}

bool SpillShare::tryTakeExtra(BootTime now)
{
    return m_extra.tryAdd(static_cast<std::int64_t>(s_extraPart * static_cast<double>(m_requests.count(now))), now);
}

void SpillShare::recordRequest(BootTime now)
{
    m_requests.add(now);
}

} // namespace Trefoil
