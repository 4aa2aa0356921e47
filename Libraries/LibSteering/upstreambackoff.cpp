#include <LibSteering/upstreambackoff.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Accepted requests after which the slow start is over.
constexpr std::int32_t s_slowStartRequests = 8;

} // namespace

void UpstreamBackoff::recordPause(std::chrono::milliseconds pause, BootTime now)
{
    m_pausedUntil = std::max(m_pausedUntil, now + pause);
    m_accepted = 0;
    m_isStartingSlowly = true;
}

void UpstreamBackoff::recordAccepted(BootTime now)
{
    // Responses during the pause are to requests that were sent before it.
    if (!m_isStartingSlowly || isPaused(now)) {
        return;
    }
    m_isStartingSlowly = ++m_accepted < s_slowStartRequests;
}

bool UpstreamBackoff::maySend(std::int32_t inFlight, BootTime now) const
{
    return !isPaused(now) && (!m_isStartingSlowly || inFlight <= m_accepted);
}

} // namespace Trefoil
