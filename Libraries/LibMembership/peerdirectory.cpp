#include <LibMembership/peerdirectory.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_rowsPerRead = 200;
constexpr BootClock::duration s_readInterval = std::chrono::milliseconds(500);
/// Interval between lookups of a host that has no row, unless it was listed recently. A recently listed host is about to
/// join, and other hosts need its row to choose it as a guardian, so it is looked up with each read.
constexpr BootClock::duration s_repeatedLookupInterval = std::chrono::seconds(3);
constexpr BootClock::duration s_readTimeout = std::chrono::seconds(2);
/// A listed host that has not joined counts in fair shares for this long, so that of hosts that start together the first
/// ones don't acquire the entire totals.
constexpr BootClock::duration s_expectedJoinDuration = std::chrono::seconds(15);

const std::string s_keyPrefix = "hosts/";

} // namespace

PeerDirectory::PeerDirectory(HostId self, RegionId region, MemberOutbox &outbox)
    : m_self(std::move(self))
    , m_region(std::move(region))
    , m_outbox(outbox)
{
}

void PeerDirectory::setHostList(const std::vector<ListedHost> &hosts, BootTime now)
{
    std::map<HostId, Listed> listed;
    for (const ListedHost &host : hosts) {
        if (host.id == m_self) {
            continue;
        }
        const auto before = m_listed.find(host.id);
        listed[host.id] = {host, before == m_listed.end() ? now : before->second.firstListedAt};
        const auto peer = m_peers.find(host.id);
        if (peer == m_peers.end() || peer->second.row.peerAddress != host.address) {
            m_pendingLookups.emplace(host.id, now);
            continue;
        }
        m_revision += peer->second.leaving != (host.leaving || peer->second.row.leaving) ? 1 : 0;
        peer->second.leaving = peer->second.leaving || host.leaving;
    }
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        const bool isUnlisted = listed.count(position->first) == 0 && m_listed.count(position->first) != 0;
        m_revision += isUnlisted ? 1 : 0;
        position = isUnlisted ? m_peers.erase(position) : std::next(position);
    }
    m_listed = std::move(listed);
}

void PeerDirectory::recordRows(const std::vector<TableRow> &rows)
{
    for (const TableRow &row : rows) {
        if (row.key.compare(0, s_keyPrefix.size(), s_keyPrefix) != 0) {
            continue;
        }
        const HostId host(row.key.substr(s_keyPrefix.size()));
        auto value = hostRowFromJson(row.value);
        if (host == m_self || !value) {
            continue;
        }
        const auto listed = m_listed.find(host);
        const auto existing = m_peers.find(host);
        if (existing != m_peers.end() && existing->second.version >= row.version) {
            continue;
        }
        const bool sameProcess = existing != m_peers.end() && existing->second.row.incarnation == value->incarnation;
        PeerState peer{*value, row.version, {}, value->leaving || (listed != m_listed.end() && listed->second.host.leaving)};
        peer.freeSlots = sameProcess ? existing->second.freeSlots : SlotCount(0);
        const bool changed = !sameProcess || existing->second.leaving != peer.leaving || existing->second.row.peerAddress != peer.row.peerAddress;
        m_peers[host] = std::move(peer);
        m_pendingLookups.erase(host);
        m_revision += changed ? 1 : 0;
    }
}

void PeerDirectory::remove(const HostId &host)
{
    m_revision += m_peers.erase(host);
}

void PeerDirectory::recordHeartbeat(const HostId &host, const Heartbeat &heartbeat)
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || peer->second.row.incarnation != heartbeat.incarnation) {
        m_pendingLookups.emplace(host, BootTime());
        return;
    }
    const bool changed = peer->second.freeSlots != heartbeat.freeSlots || (heartbeat.leaving && !peer->second.leaving);
    peer->second.freeSlots = heartbeat.freeSlots;
    peer->second.leaving = peer->second.leaving || heartbeat.leaving;
    m_revision += changed ? 1 : 0;
}

void PeerDirectory::setRegionMembers(const std::set<HostId> &members)
{
    for (const HostId &member : members) {
        if (member != m_self && m_peers.count(member) == 0) {
            m_pendingLookups.emplace(member, BootTime());
        }
    }
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        const bool isFormerMember = position->second.row.region == m_region && members.count(position->first) == 0;
        m_revision += isFormerMember ? 1 : 0;
        position = isFormerMember ? m_peers.erase(position) : std::next(position);
    }
}

void PeerDirectory::tick(BootTime now)
{
    if (m_reading || now < m_nextRead) {
        return;
    }
    std::vector<std::string> keys;
    for (auto position = m_pendingLookups.begin(); position != m_pendingLookups.end() && keys.size() < s_rowsPerRead; ++position) {
        if (position->second > now) {
            continue;
        }
        position->second = now + (isRecentlyListed(position->first, now) ? s_readInterval : s_repeatedLookupInterval);
        keys.push_back(hostRowKey(position->first));
    }
    // Hosts that are neither listed nor have a row are not looked up again until a heartbeat or a list of members names them.
    for (auto position = m_pendingLookups.begin(); position != m_pendingLookups.end();) {
        const bool isRequested = position->second > now;
        position = isRequested && m_listed.count(position->first) == 0 ? m_pendingLookups.erase(position) : std::next(position);
    }
    if (keys.empty()) {
        return;
    }
    m_reading = true;
    m_nextRead = now + s_readInterval;
    m_outbox.read(
        std::move(keys),
        now + s_readTimeout,
        [this](const std::vector<TableRow> &rows, BootTime) {
            m_reading = false;
            recordRows(rows);
        },
        [this](BootTime) { m_reading = false; });
}

bool PeerDirectory::isRecentlyListed(const HostId &host, BootTime now) const
{
    const auto listed = m_listed.find(host);
    return listed != m_listed.end() && now - listed->second.firstListedAt < s_expectedJoinDuration;
}

std::vector<GuardianCandidate> PeerDirectory::candidates() const
{
    std::vector<GuardianCandidate> candidates;
    for (const auto &[host, peer] : m_peers) {
        if (!peer.leaving) {
            candidates.push_back({host, peer.row.region, peer.row.zone});
        }
    }
    return candidates;
}

std::size_t PeerDirectory::expectedMemberCount(const std::set<HostId> &members, BootTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_listed.begin(), m_listed.end(), [&](const auto &entry) {
        const Listed &listed = entry.second;
        return listed.host.region == m_region && !listed.host.leaving && members.count(entry.first) == 0 && now < listed.firstListedAt + s_expectedJoinDuration;
    }));
}

} // namespace Trefoil
