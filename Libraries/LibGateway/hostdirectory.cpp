#include <LibGateway/hostdirectory.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <set>

namespace Trefoil
{

HostDirectory::HostDirectory(HostDirectorySettings settings)
    : m_settings(std::move(settings))
{
}

void HostDirectory::setRegistered(const std::vector<HostRegistration> &registrations, BootTime now)
{
    std::set<HostId> present{m_settings.self};
    const bool isFirst = !m_rowsReadAt;
    ++m_rowsVersion;
    m_isSelfRegistered = false;
    m_rowsReadAt = m_rowsReadAt.value_or(now);
    for (const HostRegistration &registration : registrations) {
        present.insert(registration.id);
        add(registration, now);
        m_hadEarlierRow = m_hadEarlierRow || (isFirst && registration.id == m_settings.self && !m_isSelfRegistered);
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        it = present.count(it->first) > 0 ? std::next(it) : m_hosts.erase(it);
    }
}

void HostDirectory::add(const HostRegistration &registration, BootTime now)
{
    if (registration.id == m_settings.self) {
        ++m_rowsVersion;
        m_isSelfRegistered = m_hosts.count(registration.id) > 0 && m_hosts.at(registration.id).registration.incarnation == registration.incarnation;
        return;
    }
    m_rowsVersion += m_hosts.count(registration.id) > 0 ? 0 : 1;
    Entry &entry = m_hosts[registration.id];
    if (entry.registration.incarnation != registration.incarnation) {
        entry.phase = HostPhase::Serving;
        entry.registeredAt = now;
        entry.lastRequestAt = {};
    }
    entry.registration = registration;
}

void HostDirectory::remove(const HostId &id)
{
    ++m_rowsVersion;
    if (id == m_settings.self) {
        m_isSelfRegistered = false;
        return;
    }
    m_hosts.erase(id);
}

void HostDirectory::recordBeaconRequest(const HostId &id, BootTime now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end()) {
        return;
    }
    Entry &entry = found->second;
    if (!hasPendingRequest(entry, now)) {
        entry.firstRequestAt = now;
    }
    entry.lastRequestAt = now;
}

void HostDirectory::recordBeacon(const HostId &id, HostPhase phase, bool isStoreReachable, BootTime now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end()) {
        return;
    }
    found->second.lastBeaconAt = now;
    found->second.phase = phase;
    found->second.isStoreReachable = isStoreReachable;
}

void HostDirectory::setSelf(const HostRegistration &registration, HostPhase phase)
{
    m_hosts[registration.id].registration = registration;
    m_phase = phase;
}

bool HostDirectory::hasRecentBeacon(const Entry &entry, BootTime now) const
{
    return entry.lastBeaconAt != BootTime{} && now - entry.lastBeaconAt < m_settings.livenessTimeout;
}

bool HostDirectory::isLive(const Entry &entry, BootTime now) const
{
    if (entry.registration.id == m_settings.self) {
        return m_phase == HostPhase::Serving;
    }
    return entry.phase == HostPhase::Serving && hasRecentBeacon(entry, now);
}

bool HostDirectory::hasPendingRequest(const Entry &entry, BootTime now) const
{
    // Requests that were sent before a pause longer than the liveness timeout show nothing about the present.
    return entry.lastRequestAt != BootTime{} && now - entry.lastRequestAt < m_settings.livenessTimeout && entry.lastBeaconAt < entry.firstRequestAt;
}

bool HostDirectory::isUnresponsive(const Entry &entry, BootTime now) const
{
    return hasPendingRequest(entry, now) && now - entry.firstRequestAt >= m_settings.replyTimeout;
}

template<typename Predicate>
std::vector<HostRegistration> HostDirectory::hostsToAwaitAmong(Predicate isIncluded, BootTime now) const
{
    std::vector<HostRegistration> awaited;
    for (const auto &[id, entry] : m_hosts) {
        if (!isIncluded(entry.registration)) {
            continue;
        }
        if (isLive(entry, now)) {
            return {};
        }
        if (id != m_settings.self && !hasRecentBeacon(entry, now) && !isUnresponsive(entry, now)) {
            awaited.push_back(entry.registration);
        }
    }
    return awaited;
}

std::vector<HostRegistration> HostDirectory::hostsToAwait(const RegionId &region, const ZoneId &zone, BootTime now) const
{
    const auto isLiveInZone = [&](const auto &item) { return item.second.registration.zone == zone && isLive(item.second, now); };
    if (std::any_of(m_hosts.begin(), m_hosts.end(), isLiveInZone)) {
        return {};
    }
    auto awaited = hostsToAwaitAmong([&zone](const HostRegistration &registration) { return registration.zone == zone; }, now);
    return !awaited.empty() ? awaited : hostsToAwaitAmong([&region](const HostRegistration &registration) { return registration.region == region; }, now);
}

void HostDirectory::recordRegionLookup(const RegionId &region, BootTime now)
{
    for (const auto &[id, entry] : m_hosts) {
        if (entry.registration.region == region) {
            m_lookedUpAt[entry.registration.zone] = now;
        }
    }
}

std::vector<const HostRegistration *> HostDirectory::entryHostsAmong(std::vector<const HostRegistration *> hosts) const
{
    if (!m_settings.choosesByCapacity) {
        return hosts;
    }
    std::vector<EntryHostCandidate> candidates;
    candidates.reserve(hosts.size());
    for (const HostRegistration *host : hosts) {
        candidates.push_back({stableHash(host->id.value()), host->capacity});
    }
    std::vector<const HostRegistration *> chosen;
    for (const std::size_t index : chooseEntryHosts(candidates)) {
        chosen.push_back(hosts[index]);
    }
    return chosen;
}

std::vector<std::string> HostDirectory::addressesFor(const RegionId &region, const ZoneId &zone, BootTime now)
{
    m_lookedUpAt[zone] = now;
    std::vector<const HostRegistration *> inZone;
    std::vector<const HostRegistration *> inRegion;
    std::vector<const HostRegistration *> inOwnZone;
    for (const auto &[id, entry] : m_hosts) {
        if (!isLive(entry, now)) {
            continue;
        }
        if (entry.registration.zone == zone) {
            inZone.push_back(&entry.registration);
        }
        if (entry.registration.region == region) {
            inRegion.push_back(&entry.registration);
        }
        if (entry.registration.zone == m_settings.zone) {
            inOwnZone.push_back(&entry.registration);
        }
    }
    if (inZone.empty()) {
        recordRegionLookup(region, now);
    }
    auto chosen = entryHostsAmong(std::move(!inZone.empty() ? inZone : !inRegion.empty() ? inRegion : inOwnZone));
    if (chosen.size() > m_settings.maximumAddresses) {
        // Each look-up starts where the previous one ended, so that callers spread over all hosts of a large zone.
        m_nextAddress %= chosen.size();
        std::rotate(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(m_nextAddress), chosen.end());
        m_nextAddress += m_settings.maximumAddresses;
        chosen.resize(m_settings.maximumAddresses);
    }
    std::vector<std::string> addresses;
    addresses.reserve(chosen.size());
    for (const HostRegistration *host : chosen) {
        addresses.push_back(host->address);
    }
    return addresses;
}

std::vector<BeaconTarget> HostDirectory::beaconTargets(BootTime now) const
{
    std::vector<BeaconTarget> targets;
    for (const auto &[id, entry] : m_hosts) {
        if (id == m_settings.self) {
            continue;
        }
        const auto lookup = m_lookedUpAt.find(entry.registration.zone);
        const bool hasRecentLookup = lookup != m_lookedUpAt.end() && now - lookup->second < m_settings.interestLifetime;
        if (entry.registration.zone == m_settings.zone || hasRecentLookup) {
            // Live hosts of one zone send each other beacons without a request.
            const bool isReplyRequested = entry.registration.zone != m_settings.zone || !isLive(entry, now);
            targets.push_back({entry.registration, isReplyRequested});
        }
    }
    return targets;
}

std::vector<HostId> HostDirectory::hostsOf(const ZoneId &zone, BootTime now) const
{
    const bool isOwnZone = zone == m_settings.zone;
    std::vector<const HostRegistration *> registrations;
    for (const auto &[id, entry] : m_hosts) {
        if (entry.registration.zone == zone && (!isOwnZone || id == m_settings.self || isLive(entry, now))) {
            registrations.push_back(&entry.registration);
        }
    }
    if (isOwnZone) {
        // Hosts that get no callers would leave the cold upstreams that they own without requests.
        registrations = entryHostsAmong(std::move(registrations));
    }
    std::vector<HostId> hosts;
    hosts.reserve(registrations.size());
    for (const HostRegistration *registration : registrations) {
        hosts.push_back(registration->id);
    }
    return hosts;
}

std::vector<HostId> HostDirectory::registeredHosts() const
{
    std::vector<HostId> hosts;
    if (!m_rowsReadAt) {
        return hosts;
    }
    hosts.reserve(m_hosts.size());
    for (const auto &[id, entry] : m_hosts) {
        hosts.push_back(id);
    }
    return hosts;
}

std::vector<HostId> HostDirectory::hostsWithRows() const
{
    std::vector<HostId> hosts = registeredHosts();
    if (!m_isSelfRegistered) {
        hosts.erase(std::remove(hosts.begin(), hosts.end(), m_settings.self), hosts.end());
    }
    return hosts;
}

std::optional<HostRegistration> HostDirectory::registration(const HostId &id) const
{
    const auto found = m_hosts.find(id);
    return found == m_hosts.end() || id == m_settings.self ? std::nullopt : std::make_optional(found->second.registration);
}

double HostDirectory::linkMegabitsOf(const HostId &id) const
{
    const auto found = m_hosts.find(id);
    return found == m_hosts.end() ? 0 : found->second.registration.capacity.linkMegabits;
}

std::vector<HostId> HostDirectory::publisherCandidates(BootTime now) const
{
    std::vector<HostId> hosts;
    for (const auto &[id, entry] : m_hosts) {
        const bool isCandidate = entry.phase != HostPhase::Stopping && entry.isStoreReachable && hasRecentBeacon(entry, now);
        if (entry.registration.zone == m_settings.zone && (id == m_settings.self || isCandidate)) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::vector<HostId> HostDirectory::runningPeers(BootTime now) const
{
    std::vector<HostId> hosts;
    for (const auto &[id, entry] : m_hosts) {
        if (id != m_settings.self && entry.registration.zone == m_settings.zone && entry.phase != HostPhase::Stopping && hasRecentBeacon(entry, now)) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::vector<HostRegistration> HostDirectory::abandonedHosts(BootTime now) const
{
    const auto live = publisherCandidates(now);
    const auto isBefore = [](const HostId &a, const HostId &b) { return stableHash(a.value()) < stableHash(b.value()); };
    if (*std::min_element(live.begin(), live.end(), isBefore) != m_settings.self) {
        return {};
    }
    std::vector<HostRegistration> registrations;
    for (const HostRegistration &registration : zonePeers()) {
        const Entry &entry = m_hosts.at(registration.id);
        if (now - std::max(entry.registeredAt, entry.lastBeaconAt) > m_settings.abandonTimeout) {
            registrations.push_back(registration);
        }
    }
    return registrations;
}

std::optional<ZoneRelation> HostDirectory::relationTo(const HostId &id) const
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end()) {
        return std::nullopt;
    }
    const HostRegistration &other = found->second.registration;
    return relationBetween(m_settings.zone, m_settings.region, other.zone, other.region);
}

std::vector<HostRegistration> HostDirectory::zonePeers() const
{
    std::vector<HostRegistration> registrations;
    for (const auto &[id, entry] : m_hosts) {
        if (id != m_settings.self && entry.registration.zone == m_settings.zone) {
            registrations.push_back(entry.registration);
        }
    }
    return registrations;
}

} // namespace Trefoil
