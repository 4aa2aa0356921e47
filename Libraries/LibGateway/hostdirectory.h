#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Trefoil
{

/// What a host says of itself in its row in the store. The row lasts until the host leaves; it doesn't tell whether it lives.
struct HostRegistration
{
    HostId id;
    /// Address for callers, IP:port.
    std::string address;
    /// Address for beacons of other hosts, IP:port.
    std::string peerAddress;
    ZoneId zone;
    RegionId region;
    /// Random number of the process.
    std::uint64_t incarnation = 0;
    /// Version of the row that holds the report; 0 for a report that was not read from the store.
    std::uint64_t rowVersion = 0;
};

/// What a process is about to do, as its beacons tell.
enum class HostPhase {
    /// It doesn't know enough yet to take callers.
    Starting,
    Serving,
    /// It ends soon and takes no new callers.
    Stopping,
};

/// A host that is to hear a beacon.
struct BeaconTarget
{
    HostRegistration registration;
    /// This host hears nothing of the other one unless it asks.
    bool isReplyRequested = false;
};

struct HostDirectorySettings
{
    HostId self;
    ZoneId zone;
    RegionId region;
    /// A host that was not heard for this long is taken for dead: three beacons that came in vain or not at all.
    std::chrono::milliseconds livenessTimeout{3200};
    /// After a look-up for another availability zone, its hosts are asked for beacons for this long, and those of its region while
    /// none of the zone lives.
    std::chrono::milliseconds interestLifetime{10000};
    /// A host that was asked for this long and sent no beacon is taken for silent: several round trips between regions.
    std::chrono::milliseconds replyTimeout{300};
    /// The row of a host that was silent for this long is removed. A host that lives after all writes it again.
    std::chrono::milliseconds abandonTimeout{60000};
    /// Most addresses of one answer.
    std::size_t maximumAddresses = 16;
};

/// The hosts that callers may be sent to. Rows in the store say which hosts there are, beacons say which of them live. Hosts of
/// one availability zone send each other beacons all the time, others only while callers ask for them, so that neither the
/// store nor the links between zones carry a load that grows with the number of hosts.
/// Thread safety: one thread at a time.
class HostDirectory
{
public:
    explicit HostDirectory(HostDirectorySettings settings);

    /// Replaces all rows by those that stand in the store. Precondition: now does not go back.
    void setRegistered(const std::vector<HostRegistration> &registrations, BootTime now);

    /// Takes one row that was written. Precondition: now does not go back.
    void add(const HostRegistration &registration, BootTime now);

    /// Takes that a row was removed. Precondition: none.
    void remove(const HostId &id);

    /// Notes that a host was asked for a beacon. Precondition: now does not go back.
    void recordBeaconRequest(const HostId &id, BootTime now);

    /// Notes a beacon of a host. Precondition: now does not go back.
    void recordBeacon(const HostId &id, HostPhase phase, bool isStoreReachable, BootTime now);

    /// Sets what this host tells of itself. Precondition: none.
    void setSelf(const HostRegistration &registration, HostPhase phase);

    /// Addresses for callers of an availability zone: its live hosts, else live ones of its region, else those of this host's
    /// own zone. Precondition: now does not go back.
    std::vector<std::string> addressesFor(const RegionId &region, const ZoneId &zone, BootTime now);

    /// Hosts whose beacons a look-up for an availability zone has to await: those of the zone while none of them is known to live,
    /// then those of the region, unless they were asked in vain. Precondition: none.
    std::vector<HostRegistration> hostsToAwait(const RegionId &region, const ZoneId &zone, BootTime now) const;

    /// Hosts to send a beacon to now: those of the own zone, and those of zones that callers asked for. Precondition: none.
    std::vector<BeaconTarget> beaconTargets(BootTime now) const;

    /// Hosts of the own availability zone that were heard of lately, reach the store and don't end soon, and this one.
    /// Precondition: none.
    std::vector<HostId> publisherCandidates(BootTime now) const;

    /// Live hosts of an availability zone, this one included; all registered ones for another zone. Precondition: none.
    std::vector<HostId> hostsOf(const ZoneId &zone, BootTime now) const;

    /// All registered hosts, whether they live or not; none before the rows were read. Precondition: none.
    std::vector<HostId> registeredHosts() const;

    /// Hosts of the own availability zone whose rows this host is to remove, since they have been silent for long. One of the live
    /// hosts of a zone does so for all. Precondition: none.
    std::vector<HostRegistration> abandonedHosts(BootTime now) const;

    /// Registered hosts of the own availability zone without this one, whether they live or not. Precondition: none.
    std::vector<HostRegistration> zonePeers() const;

    /// Hosts that are registered, this one included, whether they live or not. Precondition: none.
    std::size_t registeredCount() const
    {
        return m_hosts.size();
    }

    /// Whether this host's own row was seen in the store. Precondition: none.
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
        /// First and last of the beacons that asked it for one since it was heard.
        BootTime firstRequestAt{};
        BootTime lastRequestAt{};
        HostPhase phase = HostPhase::Serving;
        bool isStoreReachable = false;
    };

    template<typename Predicate>
    std::vector<HostRegistration> hostsToAwaitAmong(Predicate isIncluded, BootTime now) const;
    bool hasRecentBeacon(const Entry &entry, BootTime now) const;
    bool isLive(const Entry &entry, BootTime now) const;
    bool isBeaconRequested(const Entry &entry, BootTime now) const;
    void recordRegionLookup(const RegionId &region, BootTime now);
    bool isUnresponsive(const Entry &entry, BootTime now) const;

    HostDirectorySettings m_settings;
    std::map<HostId, Entry> m_hosts;
    std::map<ZoneId, BootTime> m_lookedUpAt;
    /// Where the next answer begins in a list that is too long for one.
    std::size_t m_nextAddress = 0;
    HostPhase m_phase = HostPhase::Starting;
    bool m_isSelfRegistered = false;
    bool m_hasReadRows = false;
};

} // namespace Trefoil
