#include <LibRouting/upstreamcatalog.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Trefoil
{

namespace
{

/// The start of a report whose row doesn't name one.
constexpr std::int64_t s_unknownStart = 0;
/// Below the number of any report.
constexpr std::int64_t s_noReport = std::numeric_limits<std::int64_t>::min();

} // namespace

RegistrationChange UpstreamCatalog::apply(UpstreamRegistration registration)
{
    if (!advance(registration.id, {registration.rowEra, registration.rowVersion})) {
        return RegistrationChange::None;
    }
    const UpstreamId id = registration.id;
    History &history = m_histories.at(id);
    const auto hasStart = [](const Process &process) { return process.startedAt != s_unknownStart; };
    if (registration.startedAt == s_unknownStart && std::any_of(history.processes.begin(), history.processes.end(), hasStart)) {
        return removeRegistration(id);
    }
    if (isWrittenLate(history, registration) && ++history.lateReports < s_maximumLateReports) {
        return RegistrationChange::None;
    }
    return putInForce(history, std::move(registration));
}

RegistrationChange UpstreamCatalog::putInForce(History &history, UpstreamRegistration registration)
{
    const UpstreamId id = registration.id;
    history.lateReports = 0;
    const Process &process = recordReport(history, registration);
    // A process that leaves doesn't come back, whatever a later report of it says.
    registration.leaving = process.isLeaving;
    const auto known = m_registrations.find(id);
    const bool isSameProcess = known != m_registrations.end() && process.isOf(known->second);
    m_registrations.insert_or_assign(id, std::move(registration));
    return isSameProcess ? RegistrationChange::Updated : RegistrationChange::Started;
}

bool UpstreamCatalog::isWrittenLate(const History &history, const UpstreamRegistration &report)
{
    const auto isOfReport = [&report](const Process &process) { return process.isOf(report); };
    const auto known = std::find_if(history.processes.begin(), history.processes.end(), isOfReport);
    if (known == history.processes.end()) {
        return false;
    }
    const auto isOfService = [&report](const Process &process) { return process.service == report.service; };
    const Process &current = *std::find_if(history.processes.rbegin(), history.processes.rend(), isOfService);
    if (current.startedAt > report.startedAt) {
        return true;
    }
    // That the current process is leaving holds whenever it was written.
    const bool isLeavingOfCurrent = report.leaving && current.startedAt == report.startedAt;
    return report.reportNumber <= known->reportNumber && !isLeavingOfCurrent;
}

const UpstreamCatalog::Process &UpstreamCatalog::recordReport(History &history, const UpstreamRegistration &report)
{
    Process process{report.startedAt, report.service, report.reportNumber, report.leaving};
    auto &processes = history.processes;
    const auto known = std::find_if(processes.begin(), processes.end(), [&report](const Process &entry) { return entry.isOf(report); });
    if (known != processes.end()) {
        process.isLeaving = process.isLeaving || known->isLeaving;
        processes.erase(known);
    } else if (processes.size() >= s_maximumProcesses) {
        processes.erase(processes.begin());
    }
    processes.push_back(std::move(process));
    return processes.back();
}

RegistrationChange UpstreamCatalog::remove(const UpstreamId &id, RowVersion version, StoreEra era)
{
    if (!advance(id, {era, version})) {
        return RegistrationChange::None;
    }
    return removeRegistration(id);
}

RegistrationChange UpstreamCatalog::follow(UpstreamRegistration registration)
{
    const RowPosition position{registration.rowEra, registration.rowVersion};
    History &history = m_histories.try_emplace(registration.id, History{position, {}, 0}).first->second;
    if (position < history.position) {
        return RegistrationChange::None;
    }
    history.position = position;
    return putInForce(history, std::move(registration));
}

RegistrationChange UpstreamCatalog::removeLost(const UpstreamId &id, RowVersion version, StoreEra era)
{
    if (!advance(id, {era, version})) {
        return RegistrationChange::None;
    }
    for (Process &process : m_histories.at(id).processes) {
        process.reportNumber = s_noReport;
    }
    return removeRegistration(id);
}

bool UpstreamCatalog::hasLaterProcess(const UpstreamRegistration &report) const
{
    const auto known = m_registrations.find(report.id);
    return known != m_registrations.end() && known->second.startedAt > report.startedAt;
}

RegistrationChange UpstreamCatalog::removeRegistration(const UpstreamId &id)
{
    const bool wasRegistered = m_registrations.erase(id) > 0;
    forgetOldestGone();
    return wasRegistered ? RegistrationChange::Gone : RegistrationChange::None;
}

bool UpstreamCatalog::advance(const UpstreamId &id, const RowPosition &position)
{
    const auto [history, isNew] = m_histories.try_emplace(id, History{position, {}, 0});
    if (!isNew && !(history->second.position < position)) {
        return false;
    }
    history->second.position = position;
    return true;
}

void UpstreamCatalog::forgetOldestGone()
{
    if (m_histories.size() - m_registrations.size() <= s_maximumGone) {
        return;
    }
    auto oldest = m_histories.end();
    for (auto it = m_histories.begin(); it != m_histories.end(); ++it) {
        if (m_registrations.count(it->first) > 0) {
            continue;
        }
        if (oldest == m_histories.end() || it->second.position < oldest->second.position) {
            oldest = it;
        }
    }
    m_histories.erase(oldest);
}

std::vector<UpstreamId> UpstreamCatalog::missingFrom(const std::set<UpstreamId> &present) const
{
    std::vector<UpstreamId> missing;
    for (const auto &entry : m_registrations) {
        if (present.count(entry.first) == 0) {
            missing.push_back(entry.first);
        }
    }
    return missing;
}

} // namespace Trefoil
