#include <LibMembership/reclaimattempt.h>

#include <algorithm>

namespace Trefoil
{

ReclaimAttempt::ReclaimAttempt(HostId host, Epoch epoch, std::uint64_t rowVersion, std::vector<HostId> guardians, BootTime observedAt)
    : m_host(std::move(host))
    , m_epoch(epoch)
    , m_rowVersion(rowVersion)
    , m_guardians(std::move(guardians))
    , m_observedAt(observedAt)
{
}

bool ReclaimAttempt::canRequestVotes(BootTime now) const
{
    return now >= m_observedAt + s_guardianPromiseDuration;
}

void ReclaimAttempt::setGuardianRowVersions(std::map<HostId, std::uint64_t> versions)
{
    m_guardianRowVersions = std::move(versions);
    m_voters.clear();
}

void ReclaimAttempt::recordVote(const HostId &guardian, Epoch epoch, std::uint64_t ballot, bool granted)
{
    const bool isGuardian = std::find(m_guardians.begin(), m_guardians.end(), guardian) != m_guardians.end();
    const auto row = m_guardianRowVersions.find(guardian);
    if (!granted || !isGuardian || row == m_guardianRowVersions.end() || epoch != m_epoch || ballot != m_rowVersion) {
        return;
    }
    m_voters[guardian] = row->second;
}

bool ReclaimAttempt::canCommit(BootTime now) const
{
    // A host without guardians renews its lease only in the store, so the unchanged version of its row is sufficient.
    return canRequestVotes(now) && (m_guardians.empty() || isMajority(m_voters.size(), m_guardians.size()));
}

} // namespace Trefoil
