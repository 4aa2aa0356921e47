#include <LibMembership/hostlease.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Heartbeats that are still of use: those sent within a lease's duration, at two a second.
constexpr std::size_t s_rememberedHeartbeats = 8;

bool hasMajority(const std::set<HostId> &confirmedBy, const std::vector<HostId> &guardians)
{
    const auto count = std::count_if(guardians.begin(), guardians.end(), [&](const HostId &guardian) { return confirmedBy.count(guardian) != 0; });
    return isMajority(static_cast<std::size_t>(count), guardians.size());
}

} // namespace

void HostLease::setGuardians(std::vector<HostId> guardians)
{
    m_guardians = std::move(guardians);
    m_proposed.clear();
    m_changing = false;
}

void HostLease::proposeGuardians(std::vector<HostId> guardians)
{
    m_proposed = std::move(guardians);
    m_changing = true;
}

std::set<HostId> HostLease::heartbeatTargets() const
{
    std::set<HostId> targets(m_guardians.begin(), m_guardians.end());
    targets.insert(m_proposed.begin(), m_proposed.end());
    return targets;
}

void HostLease::heartbeatSent(std::uint64_t sequence, BootTime sentAt)
{
    m_sent.push_back({sequence, sentAt, {}});
    if (m_sent.size() > s_rememberedHeartbeats) {
        m_sent.pop_front();
    }
}

bool HostLease::isConfirmed(const SentHeartbeat &heartbeat) const
{
    return hasMajority(heartbeat.confirmedBy, m_guardians) && (!m_changing || hasMajority(heartbeat.confirmedBy, m_proposed));
}

bool HostLease::confirmationFromGuardian(const HostId &guardian, std::uint64_t sequence)
{
    const auto position = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const SentHeartbeat &sent) { return sent.sequence == sequence; });
    if (position == m_sent.end()) {
        return false;
    }
    position->confirmedBy.insert(guardian);
    if (!isConfirmed(*position)) {
        return false;
    }
    m_lastConfirmation = std::max(m_lastConfirmation, position->sentAt);
    m_lastFromGuardians = std::max(m_lastFromGuardians, position->sentAt);
    return true;
}

void HostLease::confirmationFromStore(BootTime sentAt)
{
    m_lastConfirmation = std::max(m_lastConfirmation, sentAt);
}

BootTime HostLease::validUntil() const
{
    return m_lastConfirmation == BootTime() ? BootTime() : m_lastConfirmation + s_leaseDuration;
}

void HostLease::revoke()
{
    m_lastConfirmation = BootTime();
    m_lastFromGuardians = BootTime();
    m_sent.clear();
}

void HostLease::forgetHeartbeats()
{
    m_sent.clear();
}

} // namespace Trefoil
