#include <LibSteering/coldpacer.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>

namespace Trefoil
{

bool isWarmUpHost(std::uint64_t upstreamHash, std::uint64_t ownHash, const std::vector<std::uint64_t> &liveHosts, std::size_t warmUpHosts)
{
    const double ownScore = affinityScore(upstreamHash, ownHash, 1);
    const auto isAhead = [upstreamHash, ownScore](std::uint64_t host) { return affinityScore(upstreamHash, host, 1) > ownScore; };
    return static_cast<std::size_t>(std::count_if(liveHosts.begin(), liveHosts.end(), isAhead)) < warmUpHosts;
}

bool ColdPacer::tryAcquire(BootTime now, std::chrono::nanoseconds interval)
{
    if (now < m_nextAcquisition) {
        return false;
    }
    m_nextAcquisition = now + interval;
    return true;
}

void ColdPacer::pauseUntil(BootTime until)
{
    m_pausedUntil = std::max(m_pausedUntil, until);
}

bool ColdPacer::canSend(BootTime now, const ColdRateLimit &limit)
{
    removeExpired(now, limit);
    return now >= m_pausedUntil && m_sentAt.size() < limit.requests;
}

void ColdPacer::recordSent(BootTime now, const ColdRateLimit &limit)
{
    removeExpired(now, limit);
    m_sentAt.push_back(now);
}

void ColdPacer::removeExpired(BootTime now, const ColdRateLimit &limit)
{
    while (!m_sentAt.empty() && now - m_sentAt.front() >= limit.window) {
        m_sentAt.pop_front();
    }
}

} // namespace Trefoil
