#include <LibMembership/hostlease.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Covers the heartbeats of one lease duration, at two per second; the acknowledgement of an earlier one is of no use.
constexpr std::size_t s_maximumSentHeartbeats = 8;

bool hasMajority(const std::set<HostId> &confirmedBy, const std::vector<HostId> &guardians)
{
    const auto count = std::count_if(guardians.begin(), guardians.end(), [&](const HostId &guardian) { return confirmedBy.count(guardian) != 0; });
    return isMajority(static_cast<std::size_t>(count), guardians.size());
}

} // namespace

void HostLease::setGuardians(std::vector<HostId> guardians)
{
    m_guardians = std::move(guardians);
    m_proposedGuardians.clear();
    m_isChangingGuardians = false;
}

void HostLease::proposeGuardians(std::vector<HostId> guardians)
{
    m_proposedGuardians = std::move(guardians);
    m_isChangingGuardians = true;
}

std::set<HostId> HostLease::heartbeatTargets() const
{
    std::set<HostId> targets(m_guardians.begin(), m_guardians.end());
    targets.insert(m_proposedGuardians.begin(), m_proposedGuardians.end());
    return targets;
}

void HostLease::recordSentHeartbeat(std::uint64_t sequence, BootTime sentAt)
{
    m_sentHeartbeats.push_back({sequence, sentAt, {}});
    if (m_sentHeartbeats.size() > s_maximumSentHeartbeats) {
        m_sentHeartbeats.pop_front();
    }
}

bool HostLease::isConfirmed(const SentHeartbeat &heartbeat) const
{
    return hasMajority(heartbeat.confirmedBy, m_guardians) && (!m_isChangingGuardians || hasMajority(heartbeat.confirmedBy, m_proposedGuardians));
}

bool HostLease::recordAcknowledgement(const HostId &guardian, std::uint64_t sequence)
{
    const auto position =
        std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(), [sequence](const SentHeartbeat &sent) { return sent.sequence == sequence; });
    if (position == m_sentHeartbeats.end()) {
        return false;
    }
    position->confirmedBy.insert(guardian);
    if (!isConfirmed(*position)) {
        return false;
    }
    m_lastConfirmation = std::max(m_lastConfirmation, position->sentAt);
    m_lastGuardianConfirmation = std::max(m_lastGuardianConfirmation, position->sentAt);
    return true;
}

void HostLease::recordRenewal(BootTime sentAt)
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
    m_lastGuardianConfirmation = BootTime();
    m_sentHeartbeats.clear();
}

void HostLease::discardHeartbeats()
{
    m_sentHeartbeats.clear();
}

} // namespace Trefoil
