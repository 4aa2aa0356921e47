#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/era.h>
#include <LibCore/strongid.h>
#include <LibGateway/trafficbytes.h>
#include <LibSteering/hostchoice.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil
{

/// Row of a host in the store. It stays until the host unregisters or another host removes it, so that it doesn't show whether the
/// host is live.
struct HostRegistration
{
    HostId id;
    /// Address for callers, IP:port.
    std::string address;
    /// Address for beacons of other hosts, IP:port.
    std::string peerAddress;
    ZoneId zone;
    RegionId region;
    /// Random number that identifies the process.
    std::uint64_t incarnation = 0;
    /// Version of the row; 0 for a registration that was not read from the store.
    std::uint64_t rowVersion = 0;
    /// Era of the store that the version is from.
    StoreEra rowEra{};
    /// Unknown in rows of older versions.
    HostCapacity capacity{};
};

/// Phase of a host process, as its beacons report it.
enum class HostPhase {
    /// The host lacks data that it needs to serve callers.
    Starting,
    Serving,
    /// The host terminates soon and accepts no new callers.
    Stopping,
};

/// A host to which a beacon is to be sent.
struct BeaconTarget
{
    HostRegistration registration;
    /// Whether the beacon requests a reply, since the target otherwise sends this host none.
    bool isReplyRequested = false;
};

struct HostDirectorySettings
{
    HostId self;
    ZoneId zone;
    RegionId region;
    /// A host counts as not live after this time without a beacon: three beacons were lost or not sent.
    std::chrono::milliseconds livenessTimeout{3200};
    /// Time after a look-up for another availability zone during which beacons are requested from its hosts, and from those of its
    /// region while the zone has no live host.
    std::chrono::milliseconds interestLifetime{10000};
    /// Time after the first unanswered beacon request until a host counts as unresponsive: several round trips between regions.
    std::chrono::milliseconds replyTimeout{300};
    /// Time without a beacon after which the row of a host is removed. A host that still runs writes its row again.
    std::chrono::milliseconds abandonTimeout{60000};
    /// Maximum number of addresses that one look-up returns.
    std::size_t maximumAddresses = 16;
    /// Whether look-ups list the hosts that chooseEntryHosts() chooses instead of all live hosts.
    bool choosesByCapacity = false;
};

/// The hosts that callers may be sent to. Rows in the store list the registered hosts, beacons show which of them are live. Hosts
/// of one availability zone send each other beacons all the time, others only while there are look-ups for their zone, so that the
/// load on the store and on the links between zones doesn't grow with the number of hosts.
/// Thread safety: one thread at a time.
class HostDirectory
{
public:
    explicit HostDirectory(HostDirectorySettings settings);

    /// Replaces all registrations by those read from the store. Precondition: now does not go back.
    void setRegistered(const std::vector<HostRegistration> &registrations, BootTime now);

    /// Adds or replaces the registration of one host after its row was written. Precondition: now does not go back.
    void add(const HostRegistration &registration, BootTime now);

    /// Removes a host whose row was removed from the store. Precondition: none.
    void remove(const HostId &id);

    /// Records that a beacon was requested from a host. Precondition: now does not go back.
    void recordBeaconRequest(const HostId &id, BootTime now);

    /// Records a beacon from a host; unregistered hosts are ignored. Precondition: now does not go back.
    void recordBeacon(const HostId &id, HostPhase phase, bool isStoreReachable, BootTime now);

    /// Sets the registration and the phase of this host. Precondition: none.
    void setSelf(const HostRegistration &registration, HostPhase phase);

    /// Returns addresses for callers of an availability zone: its live hosts, else live hosts of its region, else live hosts of this
    /// host's own zone; with choosesByCapacity the entry hosts among them. Records the look-up. Precondition: now does not go back.
    std::vector<std::string> addressesFor(const RegionId &region, const ZoneId &zone, BootTime now);

    /// Hosts whose beacons a look-up for an availability zone has to await: those of the zone while none of them is live, then those
    /// of the region. Hosts that didn't reply to beacon requests in time are left out. Precondition: none.
    std::vector<HostRegistration> hostsToAwait(const RegionId &region, const ZoneId &zone, BootTime now) const;

    /// Hosts to which a beacon is due now: those of the own zone, and those of zones with recent look-ups. Precondition: none.
    std::vector<BeaconTarget> beaconTargets(BootTime now) const;

    /// This host, and the hosts of the own availability zone with a recent beacon that reach the store and are not stopping.
    /// Precondition: none.
    std::vector<HostId> publisherCandidates(BootTime now) const;

    /// Other hosts of the own availability zone with a recent beacon that are not stopping. Precondition: none.
    std::vector<HostId> runningPeers(BootTime now) const;

    /// When the rows of the hosts were first read; nothing before. Precondition: none.
    std::optional<BootTime> rowsReadAt() const
    {
        return m_rowsReadAt;
    }

    /// For the own availability zone its live hosts and this one, with choosesByCapacity the entry hosts among them; for another zone all
    /// registered hosts. Precondition: none.
    std::vector<HostId> hostsOf(const ZoneId &zone, BootTime now) const;

    /// All registered hosts, whether they are live or not; empty before the rows were read. Precondition: none.
    std::vector<HostId> registeredHosts() const;

    /// The hosts whose rows are in the store, in the order of their ids; this host only while the store holds the row of this process. Empty before the
    /// rows were read. Precondition: none.
    std::vector<HostId> hostsWithRows() const;

    /// Changes whenever hostsWithRows() changes. Precondition: none.
    std::uint64_t rowsVersion() const
    {
        return m_rowsVersion;
    }

    /// Whether the store held a row of an earlier process of this host when the rows were first read. Precondition: none.
    bool hadEarlierRow() const
    {
        return m_hadEarlierRow;
    }

    /// The registration of another host; nothing when it is not registered. Precondition: none.
    std::optional<HostRegistration> registration(const HostId &id) const;

    /// Hosts of the own availability zone whose rows this host has to remove, since they sent no beacon for abandonTimeout. One of
    /// the zone's publisher candidates removes the rows for all; the others get an empty list. Precondition: setSelf() was called.
    std::vector<HostRegistration> abandonedHosts(BootTime now) const;

    /// Link that a host states in its row, in Mbit/s; 0 where it is not known. Precondition: none.
    double linkMegabitsOf(const HostId &id) const;

    /// Registered hosts of the own availability zone except this one, whether they are live or not. Precondition: none.
    std::vector<HostRegistration> zonePeers() const;

    /// Where a host is, as seen from this one; nothing for a host that isn't registered. Precondition: none.
    std::optional<ZoneRelation> relationTo(const HostId &id) const;

    /// Number of registered hosts including this one, whether they are live or not. Precondition: none.
    std::size_t registeredCount() const
    {
        return m_hosts.size();
    }

    /// Whether the store holds the row of this process. Precondition: none.
    bool isSelfRegistered() const
    {
        return m_isSelfRegistered;
    }

private:
    struct Entry
    {
        HostRegistration registration;
        BootTime registeredAt{};
        BootTime lastBeaconAt{};
        /// Times of the first and of the last beacon request since its last beacon.
        BootTime firstRequestAt{};
        BootTime lastRequestAt{};
        HostPhase phase = HostPhase::Serving;
        bool isStoreReachable = false;
    };

    template<typename Predicate>
    std::vector<HostRegistration> hostsToAwaitAmong(Predicate isIncluded, BootTime now) const;
    bool hasRecentBeacon(const Entry &entry, BootTime now) const;
    bool isLive(const Entry &entry, BootTime now) const;
    bool hasPendingRequest(const Entry &entry, BootTime now) const;
    void recordRegionLookup(const RegionId &region, BootTime now);
    bool isUnresponsive(const Entry &entry, BootTime now) const;
    /// The entry hosts among the live hosts of a place: all of them unless choosesByCapacity.
    std::vector<const HostRegistration *> entryHostsAmong(std::vector<const HostRegistration *> hosts) const;

    HostDirectorySettings m_settings;
    std::map<HostId, Entry> m_hosts;
    std::map<ZoneId, BootTime> m_lookedUpAt;
    /// Index at which the next look-up starts in a list of more than maximumAddresses hosts.
    std::size_t m_nextAddress = 0;
    HostPhase m_phase = HostPhase::Starting;
    bool m_isSelfRegistered = false;
    bool m_hadEarlierRow = false;
    std::uint64_t m_rowsVersion = 0;
    std::optional<BootTime> m_rowsReadAt;
};

} // namespace Trefoil
