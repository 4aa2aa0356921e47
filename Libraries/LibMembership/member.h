#pragma once

#include <LibCore/backoff.h>
#include <LibMembership/grantholder.h>
#include <LibMembership/guardianledger.h>
#include <LibMembership/peerdirectory.h>
#include <LibMembership/reclaimer.h>

namespace Trefoil
{

struct MemberSettings
{
    HostId host;
    RegionId region;
    ZoneId zone;
    /// Addresses at which callers and other hosts reach this host, IP:port.
    std::string callerAddress;
    std::string peerAddress;
    Incarnation incarnation;
    /// Seed of the jitter and the first epoch; has to differ between processes.
    std::uint64_t seed = 0;
    /// Returns how much of a resource is in use at present.
    std::function<std::int64_t(const ResourceId &resource)> usage;
    std::function<SlotCount()> freeSlots;
};

/// Membership of one host as a pure state machine: join, lease, guardians, grants, reclaim and leaving.
/// The caller passes in the time, messages and store responses, and carries out the actions that takeActions() returns
/// after each call.
/// Thread safety: one thread at a time.
class Member
{
public:
    /// Precondition: now is the start time of the process.
    Member(MemberSettings settings, BootTime now);
    Member(const Member &) = delete;
    Member &operator=(const Member &) = delete;

    /// Sets the version and the resources of a configuration; lowered totals apply at once.
    void setConfiguration(ConfigurationVersion version, std::vector<Resource> resources, BootTime now);

    /// Sets the platform's list of hosts.
    void setHostList(const std::vector<ListedHost> &hosts, BootTime now);

    /// Performs the actions that are due. Precondition: called at least every 100 ms while the process runs; a gap of more
    /// than 2 s counts as a pause of the process.
    void tick(BootTime now);

    /// Handles a heartbeat, an acknowledgement, a request for a vote or a vote; other messages are ignored.
    void receive(const HostId &from, const PeerMessage &message, BootTime now);

    /// Handles the response to a StoreRequest. Unknown ids are ignored.
    void handleStoreResponse(std::uint64_t id, const StoreResponse &response, BootTime now);

    /// Marks this host as leaving in its heartbeats and its row.
    void startLeaving();

    /// Ends the membership and releases all grants. Precondition: startLeaving() was called and the host uses no grant any more.
    void releaseAll(BootTime now);

    /// True when releaseAll() took effect, or the host never joined.
    bool hasLeft() const
    {
        return m_phase == Phase::Left;
    }

    std::vector<MemberAction> takeActions()
    {
        return m_outbox.takeActions();
    }

    /// End of the lease; BootTime() before the first confirmation, and after a fence or releaseAll() until the next one.
    /// While a renewal or an update of grants is pending, releaseAll() does not end the lease yet.
    BootTime leaseValidUntil() const
    {
        return m_lease.validUntil();
    }

    /// The version of the configuration in force here, or the newest version in the store's responses when that is newer.
    ConfigurationVersion newestConfiguration() const
    {
        return std::max(m_configuration, m_headVersion);
    }

    bool isMember() const
    {
        return m_phase == Phase::Member;
    }

    /// Amounts that the host may use now of each resource of its configuration, provided that its lease is valid.
    std::map<ResourceId, std::int64_t> limits(BootTime now) const;

    const PeerDirectory &directory() const
    {
        return m_directory;
    }
    const GrantTable &grants() const
    {
        return m_grants.rows().table;
    }

private:
    enum class Phase {
        /// Not a member; attempts to join.
        Absent,
        Member,
        /// releaseAll() was called; the transaction is retried until it takes effect.
        Releasing,
        Left,
    };

    void detectPause(BootTime now);
    bool canAcknowledge() const;

    void tickAbsent(BootTime now);
    void joinRowsRead(const std::vector<TableRow> &rows, BootTime now);
    void join(const GrantRows &present, BootTime now);
    void joined(const StoreResponse &response, GrantTable table, BootTime now);
    void retryJoin(BootTime now);
    void becomeMember(RowVersion version, std::vector<HostId> guardians, BootTime now);
    void fenced(BootTime now);

    void heartbeat(BootTime now);
    void heartbeatReceived(const HostId &from, const Heartbeat &heartbeat, BootTime now);
    void acknowledgementReceived(const HostId &from, const HeartbeatAck &acknowledgement, BootTime now);
    void acknowledge(const HostId &to, const Heartbeat &heartbeat, bool confirmed);
    void checkRows(BootTime now);
    void reviseGuardians(BootTime now);

    HostRow ownRow() const;
    bool isConfirmedByGuardians(BootTime now) const;
    BootClock::duration renewalInterval(BootTime now);
    void renew(BootTime now);
    void renewed(const StoreResponse &response, const HostRow &row, bool provesConfiguration, BootTime sentAt, BootTime now);
    /// Records the row configuration/head; true when the rows hold a newer version of it.
    bool recordHead(const std::vector<TableRow> &rows);
    void adoptOwnRow(const std::vector<TableRow> &rows, BootTime now);

    void poll(BootTime now);
    void readGrants(BootTime now);
    void adoptGrants(GrantRows rows, BootTime now);
    void updateGrants(BootTime now);
    void grantsUpdated(const StoreResponse &response, GrantTable table, BootTime now);
    bool adoptFromConditions(const ConditionFailed &failed, BootTime now);
    std::optional<GrantRows> committedRows(const StoreResponse &response, GrantTable table) const;
    std::size_t sharingHostCount(BootTime now) const;

    void watch(BootTime now);
    void watchedRowRead(const HostId &host, const std::vector<TableRow> &rows, BootTime now);
    BootClock::duration jitter(BootClock::duration maximum);

    MemberSettings m_settings;
    pcg32 m_random;
    MemberOutbox m_outbox;
    Epoch m_epoch;
    Epoch m_proposedEpoch;
    RowVersion m_rowVersion = 0;
    ConfigurationVersion m_configuration;
    /// Configuration version in the row configuration/head, as last read.
    ConfigurationVersion m_headVersion;
    RowVersion m_headRowVersion = 0;

    GuardianLedger m_ledger;
    HostLease m_lease;
    PeerDirectory m_directory;
    GrantHolder m_grants;
    Reclaimer m_reclaimer;

    BootTime m_lastTick;
    /// End of the last pause of this process. It acknowledges no heartbeat until a heartbeat or renewal that it sent after
    /// that is confirmed.
    BootTime m_resumedAt;
    std::uint64_t m_sequence = 0;
    BootTime m_nextHeartbeat;
    std::map<HostId, BootTime> m_lastGuardianResponse;

    std::map<HostId, Heartbeat> m_uncheckedHeartbeats;
    std::map<HostId, BootTime> m_nextCheck;

    BootTime m_nextJoin;
    Backoff m_joinBackoff;

    BootTime m_lastRenewal;
    BootClock::duration m_renewalJitter{0};
    std::optional<std::vector<HostId>> m_proposedGuardians;
    BootTime m_nextGuardianRevision;

    BootTime m_nextPoll;
    BootTime m_nextUpdate;
    Backoff m_updateBackoff;

    HostId m_watched;
    RowVersion m_watchedVersion = 0;
    BootTime m_watchedSince;
    BootTime m_nextWatch;

    Phase m_phase = Phase::Absent;
    bool m_leaving = false;
    bool m_leavingWritten = false;
    bool m_isCheckingRows = false;
    bool m_joining = false;
    bool m_renewing = false;
    bool m_renewalIsSlow = false;
    bool m_renewSoon = false;
    bool m_polling = false;
    bool m_updatingGrants = false;
    bool m_releasing = false;
};

} // namespace Trefoil
