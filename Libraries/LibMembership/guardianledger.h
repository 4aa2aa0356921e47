#pragma once

#include <LibMembership/hostlease.h>

#include <map>
#include <optional>
#include <set>

namespace Trefoil
{

enum class Acknowledgement {
    Confirmed,
    /// This guardian voted for the reclaim of the host's epoch, or the host's row does not hold the epoch.
    Rejected,
    /// The host's row has to be checked first; see GuardianLedger::recordRowEpoch().
    RowCheckRequired,
};

/// What this host promised to the hosts that it guards. It lives in memory only, so that after a start
/// - it gives no vote for s_guardianPromiseDuration, since it may have acknowledged a heartbeat just before, and
/// - it acknowledges no host before it has checked that host's row, since it may have voted before and the reclaim may be done.
/// Thread safety: one thread at a time.
class GuardianLedger
{
public:
    explicit GuardianLedger(BootTime startedAt);

    /// Notes the epoch in the host's row, or that there is no row.
    /// Precondition: the row was read with the store's strongest consistency after this process wrote its own host row.
    void recordRowEpoch(const HostId &host, std::optional<Epoch> epoch);

    /// Handles a heartbeat. Confirmed is a promise not to vote for s_guardianPromiseDuration.
    /// Precondition: now was read after the heartbeat arrived and before its acknowledgement is sent.
    Acknowledgement acknowledge(const HostId &host, Epoch epoch, BootTime now);

    /// True when no promise forbids a vote for the reclaim of the host.
    bool canVote(const HostId &host, BootTime now) const;

    /// Votes for the reclaim of a host's epoch; afterwards heartbeats of that epoch are refused. False when a promise forbids it.
    bool vote(const HostId &host, Epoch epoch, BootTime now);

    /// True when a heartbeat of the host was confirmed at or after the given time.
    bool hasConfirmedSince(const HostId &host, BootTime time) const;

    /// Hosts whose last confirmed heartbeat came before the given time.
    std::vector<HostId> unresponsiveSince(BootTime time) const;

    /// Forgets a host that has no row any more. Its votes and its promise are kept.
    void recordRemoval(const HostId &host);

private:
    struct Entry
    {
        std::optional<Epoch> epoch;
        bool checked = false;
        std::set<Epoch> votes;
        BootTime lastAcknowledged;
    };

    BootTime m_startedAt;
    std::map<HostId, Entry> m_entries;
};

} // namespace Trefoil
