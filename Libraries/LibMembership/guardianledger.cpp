#include <LibMembership/guardianledger.h>

namespace Trefoil
{

GuardianLedger::GuardianLedger(BootTime startedAt)
    : m_startedAt(startedAt)
{
}

void GuardianLedger::recordRowEpoch(const HostId &host, std::optional<Epoch> epoch)
{
    Entry &entry = m_entries[host];
    entry.epoch = epoch;
    entry.checked = true;
}

Acknowledgement GuardianLedger::acknowledge(const HostId &host, Epoch epoch, BootTime now)
{
    Entry &entry = m_entries[host];
    if (entry.votes.count(epoch) != 0) {
        return Acknowledgement::Rejected;
    }
    if (!entry.checked || entry.epoch != epoch) {
        return Acknowledgement::RowCheckRequired;
    }
    entry.lastAcknowledged = now;
    return Acknowledgement::Confirmed;
}

bool GuardianLedger::canVote(const HostId &host, BootTime now) const
{
    if (now < m_startedAt + s_guardianPromiseDuration) {
        return false;
    }
    const auto position = m_entries.find(host);
    return position == m_entries.end() || position->second.lastAcknowledged == BootTime()
        || now >= position->second.lastAcknowledged + s_guardianPromiseDuration;
}

bool GuardianLedger::vote(const HostId &host, Epoch epoch, BootTime now)
{
    if (!canVote(host, now)) {
        return false;
    }
    m_entries[host].votes.insert(epoch);
    return true;
}

bool GuardianLedger::hasConfirmedSince(const HostId &host, BootTime time) const
{
    const auto position = m_entries.find(host);
    return position != m_entries.end() && position->second.lastAcknowledged != BootTime() && position->second.lastAcknowledged >= time;
}

std::vector<HostId> GuardianLedger::unresponsiveSince(BootTime time) const
{
    std::vector<HostId> unresponsive;
    for (const auto &[host, entry] : m_entries) {
        if (entry.epoch && entry.lastAcknowledged != BootTime() && entry.lastAcknowledged < time) {
            unresponsive.push_back(host);
        }
    }
    return unresponsive;
}

void GuardianLedger::recordRemoval(const HostId &host)
{
    const auto position = m_entries.find(host);
    if (position == m_entries.end()) {
        return;
    }
    position->second.epoch.reset();
    position->second.checked = false;
}

} // namespace Trefoil
