#include <LibQuota/lenderchoice.h>

#include <LibQuota/quotarules.h>
#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <utility>

namespace Trefoil
{

CustomerHash hashOfCustomer(const std::string &name)
{
    return CustomerHash(stableHash(name));
}

std::vector<HostId> lendersOf(CustomerHash customer, const std::vector<HostId> &registeredHosts)
{
    std::vector<std::pair<double, const HostId *>> ranked;
    ranked.reserve(registeredHosts.size());
    for (const HostId &host : registeredHosts) {
        ranked.emplace_back(affinityScore(customer.value(), stableHash(host.value()), 1), &host);
    }
    const std::size_t count = std::min(maximumLenders, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(
        ranked.begin(), end, ranked.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : *a.second < *b.second; });
    std::vector<HostId> lenders;
    lenders.reserve(count);
    std::transform(ranked.begin(), end, std::back_inserter(lenders), [](const auto &entry) { return *entry.second; });
    return lenders;
}

void LendingStart::recordRegistration(bool isRegistered, BootTime now)
{
    if (isRegistered) {
        m_registeredAt = m_registeredAt.value_or(now);
        return;
    }
    if (m_registeredAt && now - *m_registeredAt >= lendingDelay) {
        m_isDelayed = true;
        m_registeredAt.reset();
    }
}

std::optional<BootTime> LendingStart::lendsFrom() const
{
    if (!m_registeredAt) {
        return std::nullopt;
    }
    return m_isDelayed ? *m_registeredAt + lendingDelay : *m_registeredAt;
}

} // namespace Trefoil
