#include <LibRouting/upstreamcatalog.h>

#include <utility>

namespace Trefoil
{

namespace
{

/// The start of a report whose row doesn't name one.
constexpr std::int64_t s_unknownStart = 0;

} // namespace

RegistrationChange UpstreamCatalog::apply(UpstreamRegistration registration)
{
    if (!advance(registration.id, registration.rowVersion)) {
        return RegistrationChange::None;
    }
    const UpstreamId id = registration.id;
    History &history = m_histories.at(id);
    if (registration.startedAt == s_unknownStart && history.lastStart != s_unknownStart) {
        return removeRegistration(id);
    }
    history.lastStart = registration.startedAt;
    const Process process{registration.startedAt, registration.service};
    if (registration.leaving) {
        history.leaving = process;
    }
    // A process that leaves doesn't come back, whatever a later report of it says.
    registration.leaving = history.leaving == process;
    const auto known = m_registrations.find(id);
    const bool isSameProcess = known != m_registrations.end() && Process{known->second.startedAt, known->second.service} == process;
    m_registrations.insert_or_assign(id, std::move(registration));
    return isSameProcess ? RegistrationChange::Updated : RegistrationChange::Started;
}

RegistrationChange UpstreamCatalog::remove(const UpstreamId &id, RowVersion version)
{
    if (!advance(id, version)) {
        return RegistrationChange::None;
    }
    return removeRegistration(id);
}

RegistrationChange UpstreamCatalog::removeRegistration(const UpstreamId &id)
{
    const bool wasRegistered = m_registrations.erase(id) > 0;
    forgetOldestGone();
    return wasRegistered ? RegistrationChange::Gone : RegistrationChange::None;
}

bool UpstreamCatalog::advance(const UpstreamId &id, RowVersion version)
{
    const auto [history, isNew] = m_histories.try_emplace(id, History{version, s_unknownStart, std::nullopt});
    if (!isNew && version <= history->second.version) {
        return false;
    }
    history->second.version = version;
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
        if (oldest == m_histories.end() || it->second.version < oldest->second.version) {
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
