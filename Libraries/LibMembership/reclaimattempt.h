#pragma once

#include <LibMembership/hostlease.h>

#include <map>
#include <vector>

namespace Trefoil
{

/// One attempt of this host to reclaim the grants of an unresponsive host. One transaction may reclaim them when all of
/// these conditions hold:
/// - the version of the host's row has not changed for s_guardianPromiseDuration on this host's clock;
/// - a majority of the guardians that this version of the row names voted for the reclaim;
/// - the transaction is conditional on that version of the row, and for each voter on the version of the voter's own row
///   that was read before its vote was requested. A guardian that restarts loses its votes, but writes its row before it
///   acknowledges any heartbeat, so the transaction then fails.
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

    /// True when the row has been unchanged for s_guardianPromiseDuration, so that votes may be requested.
    bool canRequestVotes(BootTime now) const;

    /// Sets the versions of the guardians' own rows and discards earlier votes. Precondition: called before the votes are
    /// requested.
    void setGuardianRowVersions(std::map<HostId, std::uint64_t> versions);

    /// Records a vote. Votes are ignored when they are not granted, belong to another epoch or ballot, or come from a host
    /// that is not a guardian or has no row.
    void recordVote(const HostId &guardian, Epoch epoch, std::uint64_t ballot, bool granted);

    /// True when the transaction may be sent, on condition of the row versions in voters().
    bool canCommit(BootTime now) const;

    /// The voters, with the versions of their rows on which the transaction has to be conditional.
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
