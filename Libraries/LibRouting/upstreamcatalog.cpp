#include <LibRouting/upstreamcatalog.h>

#include <utility>

namespace Trefoil
{

namespace
{

enum class ReportAge {
    OutOfDate,
    SameProcess,
    LaterProcess,
};

ReportAge ageOf(const UpstreamRegistration &report, const UpstreamRegistration &known)
{
    if (report.startedAt != known.startedAt) {
        return report.startedAt > known.startedAt ? ReportAge::LaterProcess : ReportAge::OutOfDate;
    }
    return report.reportNumber > known.reportNumber ? ReportAge::SameProcess : ReportAge::OutOfDate;
}

} // namespace

RegistrationChange UpstreamCatalog::apply(UpstreamRegistration registration)
{
    const auto known = m_registrations.find(registration.id);
    const bool isKnown = known != m_registrations.end();
    const auto gone = m_gone.find(registration.id);
    const UpstreamRegistration *previous = isKnown ? &known->second : gone != m_gone.end() ? &gone->second : nullptr;
    const ReportAge age = previous ? ageOf(registration, *previous) : ReportAge::LaterProcess;
    if (age == ReportAge::OutOfDate) {
        return RegistrationChange::None;
    }
    // A process that leaves doesn't come back; a later start has another time of start.
    registration.leaving = registration.leaving || (age == ReportAge::SameProcess && previous->leaving);
    const UpstreamId id = registration.id;
    m_registrations.insert_or_assign(id, std::move(registration));
    m_gone.erase(id);
    return isKnown && age == ReportAge::SameProcess ? RegistrationChange::Updated : RegistrationChange::Started;
}

RegistrationChange UpstreamCatalog::remove(const UpstreamId &id)
{
    auto removed = m_registrations.extract(id);
    if (removed.empty()) {
        return RegistrationChange::None;
    }
    if (m_gone.size() >= s_maximumGone) {
        m_gone.erase(m_gone.begin());
    }
    m_gone.insert_or_assign(id, std::move(removed.mapped()));
    return RegistrationChange::Gone;
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
