#include <LibGateway/hostdirectory.h>

#include <algorithm>

namespace Trefoil
{

HostDirectory::HostDirectory(HostDirectorySettings settings)
    : m_settings(std::move(settings))
{
}

void HostDirectory::apply(const std::vector<HostReport> &reports, BootTime now)
{
    std::set<HostId> present{m_settings.self};
    for (const HostReport &report : reports) {
        if (report.id == m_settings.self) {
            continue;
        }
        present.insert(report.id);
        const auto inserted = m_hosts.try_emplace(report.id, Known{report, now, true});
        Known &known = inserted.first->second;
        const bool hasChanged = known.report.incarnation != report.incarnation || known.report.number != report.number;
        if (hasChanged && !inserted.second) {
            known.changedAt = now;
        }
        known.report = report;
        known.isAlive = now - known.changedAt < m_settings.silenceLimit;
    }
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        it = present.count(it->first) > 0 ? std::next(it) : m_hosts.erase(it);
    }
}

void HostDirectory::noteOutage(BootTime now)
{
    for (auto &entry : m_hosts) {
        if (entry.second.isAlive) {
            entry.second.changedAt = now;
        }
    }
}

void HostDirectory::setSelf(HostReport report)
{
    const HostId id = report.id;
    m_hosts.insert_or_assign(id, Known{std::move(report), BootTime{}, true});
}

bool HostDirectory::isUsable(const Known &known) const
{
    return known.isAlive && !known.report.leaving;
}

std::vector<std::string> HostDirectory::addressesFor(const RegionId &region, const ZoneId &zone) const
{
    std::vector<std::string> inZone;
    std::vector<std::string> inRegion;
    std::vector<std::string> everywhere;
    for (const auto &[id, known] : m_hosts) {
        if (!isUsable(known)) {
            continue;
        }
        everywhere.push_back(known.report.address);
        if (known.report.region != region) {
            continue;
        }
        inRegion.push_back(known.report.address);
        if (known.report.zone == zone) {
            inZone.push_back(known.report.address);
        }
    }
    auto &chosen = !inZone.empty() ? inZone : !inRegion.empty() ? inRegion : everywhere;
    if (chosen.size() > m_settings.maximumAddresses) {
        chosen.resize(m_settings.maximumAddresses);
    }
    return std::move(chosen);
}

std::vector<HostId> HostDirectory::liveHosts() const
{
    std::vector<HostId> live;
    for (const auto &[id, known] : m_hosts) {
        if (isUsable(known)) {
            live.push_back(id);
        }
    }
    return live;
}

} // namespace Trefoil
