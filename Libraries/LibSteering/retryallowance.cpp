#include <LibSteering/retryallowance.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Fraction of the shared budget that is used: a host that starts or is partitioned counts a different number of hosts.
constexpr double s_usedFraction = 0.7;

} // namespace

RetryAllowance::RetryAllowance(RetryAllowanceSettings settings)
    : m_settings(settings)
    , m_requests(settings.window)
    , m_retries(settings.window)
{
}

void RetryAllowance::recordRequest(BootTime now)
{
    m_requests.add(now);
}

bool RetryAllowance::tryAcquire(BootTime now, std::size_t hosts)
{
    const double share = m_settings.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double allowed = s_usedFraction * (m_settings.ratio * static_cast<double>(m_requests.count(now)) + share);
    return m_retries.tryAdd(static_cast<std::int64_t>(allowed), now);
}

} // namespace Trefoil
