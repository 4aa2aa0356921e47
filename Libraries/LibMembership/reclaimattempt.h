#pragma once

#include <LibMembership/hostlease.h>

#include <map>
#include <vector>

namespace Trefoil
{

/// One attempt of this host to free the grants of a silent host. The grants may be freed in one transaction when all of
/// these hold:
/// - the version of the host's row has not changed for s_guardianPromiseDuration on this host's clock;
/// - a majority of the guardians that this version of the row names voted for it;
/// - the transaction requires that version of the row, and for each voter the version of the voter's own row that was
///   read before its vote was asked for. A guardian that restarts forgets its votes, but writes its row before it
///   acknowledges anything, so the transaction then fails.
/// Thread safety: one thread at a time.
class ReclaimAttempt
{
public:
    /// Precondition: observedAt was read after the row arrived.
    ReclaimAttempt(HostId host, Epoch epoch, std::uint64_t rowVersion, std::vector<HostId> guardians, BootTime observedAt);

    const HostId &host() const
    {
        return m_host;
    }
    Epoch epoch() const
    {
        return m_epoch;
    }
    std::uint64_t rowVersion() const
    {
        return m_rowVersion;
    }
    const std::vector<HostId> &guardians() const
    {
        return m_guardians;
    }

    /// True when the row has been unchanged for long enough, so that votes may be asked for.
    bool canRequestVotes(BootTime now) const;

    /// Notes the versions of the guardians' own rows. Precondition: called before the votes are asked for. Earlier votes are dropped.
    void setGuardianRowVersions(std::map<HostId, std::uint64_t> versions);

    /// Counts a vote. Votes of hosts that are no guardian, or have no row, do not count.
    void recordVote(const HostId &guardian, Epoch epoch, std::uint64_t ballot, bool granted);

    /// True when the transaction may be sent, with the conditions of voters().
    bool canCommit(BootTime now) const;

    /// The voters and the versions of their rows that the transaction has to require.
    const std::map<HostId, std::uint64_t> &voters() const
    {
        return m_voters;
    }

private:
    HostId m_host;
    Epoch m_epoch;
    std::uint64_t m_rowVersion;
    std::vector<HostId> m_guardians;
    BootTime m_observedAt;
    std::map<HostId, std::uint64_t> m_guardianRowVersions;
    std::map<HostId, std::uint64_t> m_voters;
};

} // namespace Trefoil
