#pragma once

#include <LibMembership/guardians.h>
#include <LibMembership/hostrow.h>
#include <LibMembership/memberoutbox.h>

#include <map>
#include <set>

namespace Trefoil
{

/// What is known of another host that has a row.
struct PeerState
{
    HostRow row;
    RowVersion version = 0;
    SlotCount freeSlots;
    /// From the platform's list or the host's own heartbeats.
    bool leaving = false;
};

/// The other hosts: the platform's list says who exists, their rows say how to reach them. Rows of all hosts are read
/// once, and again when the list shows a change.
/// Thread safety: one thread at a time.
class PeerDirectory
{
public:
    PeerDirectory(HostId self, RegionId region, MemberOutbox &outbox);

    /// Takes over the platform's list. Hosts that are on it without a row are looked up.
    void setHostList(const std::vector<ListedHost> &hosts, BootTime now);

    /// Takes over host rows that were read for any purpose.
    void recordRows(const std::vector<TableRow> &rows);

    /// Drops a host whose row is gone.
    void remove(const HostId &host);

    /// Notes what a heartbeat says. Precondition: none; hosts without a row are looked up.
    void recordHeartbeat(const HostId &host, const Heartbeat &heartbeat);

    /// Notes the hosts of the own region that hold a membership; others of that region are dropped.
    void setRegionMembers(const std::set<HostId> &members);

    /// Requests the rows that are missing, at a bounded rate.
    void tick(BootTime now);

    const std::map<HostId, PeerState> &peers() const
    {
        return m_peers;
    }

    std::vector<GuardianCandidate> candidates() const;

    /// Live hosts of the own region on the list that have not joined, and have not been on the list for long.
    std::size_t expectedMemberCount(const std::set<HostId> &members, BootTime now) const;

    /// Grows whenever peers() changes in a way that others need to see.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    /// True for hosts that were put on the list a moment ago.
    bool isRecentlyListed(const HostId &host, BootTime now) const;

    struct Listed
    {
        ListedHost host;
        BootTime firstListedAt;
    };

    HostId m_self;
    RegionId m_region;
    MemberOutbox &m_outbox;
    std::map<HostId, Listed> m_listed;
    std::map<HostId, PeerState> m_peers;
    std::map<HostId, BootTime> m_pendingLookups;
    BootTime m_nextRead;
    bool m_reading = false;
    std::uint64_t m_revision = 0;
};

} // namespace Trefoil
