#pragma once

#include <LibMembership/hostlease.h>

#include <map>
#include <optional>
#include <set>

namespace Trefoil
{

enum class Acknowledgement {
    Confirmed,
    /// This guardian voted for the reclaim of the host's epoch.
    Rejected,
    /// The epoch in the host's row has to be read first; see GuardianLedger::recordRowEpoch(). The caller rejects the
    /// heartbeat when there is no row or the row holds another epoch.
    RowCheckRequired,
};

/// Promises and votes that this host gave as a guardian. They are kept in memory only. Therefore, after a start, this host
/// - does not vote for s_guardianPromiseDuration, since it may have acknowledged a heartbeat just before it restarted, and
/// - acknowledges no host before it has checked that host's row, since it may have voted before it restarted and the
///   reclaim may have been committed.
/// Thread safety: one thread at a time.
class GuardianLedger
{
public:
    explicit GuardianLedger(BootTime startedAt);

    /// Records the epoch in the host's row, or std::nullopt when the host has no row.
    /// Precondition: the row was read with the store's strongest consistency after this process wrote its own host row.
    void recordRowEpoch(const HostId &host, std::optional<Epoch> epoch);

    /// Handles a heartbeat. A result of Confirmed is a promise not to vote against the host for s_guardianPromiseDuration.
    /// Precondition: now was read after the heartbeat arrived and before its acknowledgement is sent.
    Acknowledgement acknowledge(const HostId &host, Epoch epoch, BootTime now);

    /// True when neither a promise to the host nor a recent start of this process forbids a vote for the host's reclaim.
    bool canVote(const HostId &host, BootTime now) const;

    /// Votes for the reclaim of a host's epoch; afterwards heartbeats of that epoch are rejected. Returns false, without a
    /// vote, when canVote() does not hold.
    bool vote(const HostId &host, Epoch epoch, BootTime now);

    /// True when this guardian confirmed a heartbeat of the host at or after the given time.
    bool hasConfirmedSince(const HostId &host, BootTime time) const;

    /// Hosts that have a row and whose last confirmed heartbeat was received before the given time.
    std::vector<HostId> unresponsiveSince(BootTime time) const;

    /// Records that the host's row was removed. The votes against the host and the promise to it are kept.
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
