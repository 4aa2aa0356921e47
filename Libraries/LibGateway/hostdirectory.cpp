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

void HostDirectory::setRegistered(const std::vector<HostRegistration> &reports, BootTime now)
{
    std::set<HostId> present{m_settings.self};
    m_isSelfRegistered = false;
    m_hasRows = true;
    for (const HostRegistration &report : reports) {
        present.insert(report.id);
        add(report, now);
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        it = present.count(it->first) > 0 ? std::next(it) : m_hosts.erase(it);
    }
}

void HostDirectory::add(const HostRegistration &report, BootTime now)
{
    if (report.id == m_settings.self) {
        m_isSelfRegistered = m_hosts.count(report.id) > 0 && m_hosts.at(report.id).report.incarnation == report.incarnation;
        return;
    }
    Known &known = m_hosts[report.id];
    if (known.report.incarnation != report.incarnation) {
        known.phase = HostPhase::Serving;
        known.registeredAt = now;
        known.askedAt = {};
    }
    known.report = report;
}

void HostDirectory::remove(const HostId &id)
{
    if (id == m_settings.self) {
        m_isSelfRegistered = false;
        return;
    }
    m_hosts.erase(id);
}

void HostDirectory::noteAsked(const HostId &id, BootTime now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end()) {
        return;
    }
    Known &known = found->second;
    if (!isAsked(known, now)) {
        known.askedSince = now;
    }
    known.askedAt = now;
}

void HostDirectory::recordBeacon(const HostId &id, HostPhase phase, bool isStoreReachable, BootTime now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end()) {
        return;
    }
    found->second.heardAt = now;
    found->second.phase = phase;
    found->second.isStoreReachable = isStoreReachable;
}

void HostDirectory::setSelf(const HostRegistration &report, HostPhase phase)
{
    m_hosts[report.id].report = report;
    m_phase = phase;
}

bool HostDirectory::wasHeard(const Known &known, BootTime now) const
{
    return known.heardAt != BootTime{} && now - known.heardAt < m_settings.silenceLimit;
}

bool HostDirectory::isLive(const Known &known, BootTime now) const
{
    if (known.report.id == m_settings.self) {
        return m_phase == HostPhase::Serving;
    }
    return known.phase == HostPhase::Serving && wasHeard(known, now);
}

bool HostDirectory::isAsked(const Known &known, BootTime now) const
{
    // What was asked before a pause says nothing about now.
    return known.askedAt != BootTime{} && now - known.askedAt < m_settings.silenceLimit && known.heardAt < known.askedSince;
}

bool HostDirectory::isSilent(const Known &known, BootTime now) const
{
    return isAsked(known, now) && now - known.askedSince >= m_settings.replyLimit;
}

template<typename Predicate>
std::vector<HostRegistration> HostDirectory::unknownAmong(Predicate isMeant, BootTime now) const
{
    std::vector<HostRegistration> unknown;
    for (const auto &[id, known] : m_hosts) {
        if (!isMeant(known.report)) {
            continue;
        }
        if (isLive(known, now)) {
            return {};
        }
        if (id != m_settings.self && !wasHeard(known, now) && !isSilent(known, now)) {
            unknown.push_back(known.report);
        }
    }
    return unknown;
}

std::vector<HostRegistration> HostDirectory::unknownHosts(const RegionId &region, const ZoneId &zone, BootTime now) const
{
    const auto isLiveInZone = [&](const auto &entry) { return entry.second.report.zone == zone && isLive(entry.second, now); };
    if (std::any_of(m_hosts.begin(), m_hosts.end(), isLiveInZone)) {
        return {};
    }
    auto unknown = unknownAmong([&zone](const HostRegistration &report) { return report.zone == zone; }, now);
    return !unknown.empty() ? unknown : unknownAmong([&region](const HostRegistration &report) { return report.region == region; }, now);
}

void HostDirectory::noteRegionAskedFor(const RegionId &region, BootTime now)
{
    for (const auto &[id, known] : m_hosts) {
        if (known.report.region == region) {
            m_askedAt[known.report.zone] = now;
        }
    }
}

std::vector<std::string> HostDirectory::addressesFor(const RegionId &region, const ZoneId &zone, BootTime now)
{
    m_askedAt[zone] = now;
    std::vector<std::string> inZone;
    std::vector<std::string> inRegion;
    std::vector<std::string> inOwnZone;
    for (const auto &[id, known] : m_hosts) {
        if (!isLive(known, now)) {
            continue;
        }
        if (known.report.zone == zone) {
            inZone.push_back(known.report.address);
        }
        if (known.report.region == region) {
            inRegion.push_back(known.report.address);
        }
        if (known.report.zone == m_settings.zone) {
            inOwnZone.push_back(known.report.address);
        }
    }
    if (inZone.empty()) {
        noteRegionAskedFor(region, now);
    }
    auto &chosen = !inZone.empty() ? inZone : !inRegion.empty() ? inRegion : inOwnZone;
    if (chosen.size() > m_settings.maximumAddresses) {
        // Each answer begins where the last one ended, so that callers spread over all hosts of a large zone.
        m_nextAddress %= chosen.size();
        std::rotate(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(m_nextAddress), chosen.end());
        m_nextAddress += m_settings.maximumAddresses;
        chosen.resize(m_settings.maximumAddresses);
    }
    return std::move(chosen);
}

std::vector<BeaconTarget> HostDirectory::beaconTargets(BootTime now) const
{
    std::vector<BeaconTarget> targets;
    for (const auto &[id, known] : m_hosts) {
        if (id == m_settings.self) {
            continue;
        }
        const auto asked = m_askedAt.find(known.report.zone);
        const bool isAskedFor = asked != m_askedAt.end() && now - asked->second < m_settings.interestTime;
        if (known.report.zone == m_settings.zone || isAskedFor) {
            // Hosts of one zone send each other beacons anyway, once they know each other.
            const bool wantsReply = known.report.zone != m_settings.zone || !isLive(known, now);
            targets.push_back({known.report, wantsReply});
        }
    }
    return targets;
}

std::vector<HostId> HostDirectory::hostsOf(const ZoneId &zone, BootTime now) const
{
    std::vector<HostId> hosts;
    for (const auto &[id, known] : m_hosts) {
        if (known.report.zone == zone && (zone != m_settings.zone || id == m_settings.self || isLive(known, now))) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::vector<HostId> HostDirectory::registeredHosts() const
{
    std::vector<HostId> hosts;
    if (!m_hasRows) {
        return hosts;
    }
    hosts.reserve(m_hosts.size());
    for (const auto &[id, known] : m_hosts) {
        hosts.push_back(id);
    }
    return hosts;
}

std::vector<HostId> HostDirectory::publisherCandidates(BootTime now) const
{
    std::vector<HostId> hosts;
    for (const auto &[id, known] : m_hosts) {
        const bool isCandidate = known.phase != HostPhase::Stopping && known.isStoreReachable && wasHeard(known, now);
        if (known.report.zone == m_settings.zone && (id == m_settings.self || isCandidate)) {
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
    std::vector<HostRegistration> reports;
    for (const HostRegistration &report : zonePeers()) {
        const Known &known = m_hosts.at(report.id);
        if (now - std::max(known.registeredAt, known.heardAt) > m_settings.abandonedAfter) {
            reports.push_back(report);
        }
    }
    return reports;
}

std::vector<HostRegistration> HostDirectory::zonePeers() const
{
    std::vector<HostRegistration> reports;
    for (const auto &[id, known] : m_hosts) {
        if (id != m_settings.self && known.report.zone == m_settings.zone) {
            reports.push_back(known.report);
        }
    }
    return reports;
}

} // namespace Trefoil
