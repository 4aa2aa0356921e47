#pragma once

#include <LibMembership/guardians.h>
#include <LibMembership/hostrow.h>
#include <LibMembership/memberoutbox.h>

#include <map>
#include <set>

namespace Trefoil
{

/// State of another host that has a row.
struct PeerState
{
    HostRow row;
    RowVersion version = 0;
    SlotCount freeSlots;
    /// Set when the platform's list, the host's row or one of its heartbeats marks it as leaving.
    bool leaving = false;
};

/// Directory of the other hosts. The platform's list names the hosts that exist, and their rows hold their addresses. The
/// row of each host is read once, and again when the list shows a change.
/// Thread safety: one thread at a time.
class PeerDirectory
{
public:
    PeerDirectory(HostId self, RegionId region, MemberOutbox &outbox);

    /// Replaces the platform's list of hosts. Hosts that are no longer listed are removed. The row of a listed host is looked
    /// up when it was not read yet or holds another address.
    void setHostList(const std::vector<ListedHost> &hosts, BootTime now);

    /// Records host rows, whatever they were read for. Older versions and rows of other kinds are ignored.
    void recordRows(const std::vector<TableRow> &rows);

    /// Removes a host whose row was removed.
    void remove(const HostId &host);

    /// Records the free slots and the leaving flag from a heartbeat. Precondition: none; the row of an unknown host or of a
    /// new process is looked up.
    void recordHeartbeat(const HostId &host, const Heartbeat &heartbeat);

    /// Sets the members of the own region; other hosts of that region are removed, and unknown members are looked up.
    void setRegionMembers(const std::set<HostId> &members);

    /// Requests the rows that are due for a lookup, at a bounded rate.
    void tick(BootTime now);

    const std::map<HostId, PeerState> &peers() const
    {
        return m_peers;
    }

    std::vector<GuardianCandidate> candidates() const;

    /// Number of hosts of the own region that are about to join: recently listed, not leaving and not members yet.
    std::size_t expectedMemberCount(const std::set<HostId> &members, BootTime now) const;

    /// Increases whenever peers() changes in a way that matters to callers.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    /// True for hosts that were listed within s_expectedJoinDuration before now.
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
