#include <LibSteering/retryallowance.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Fraction of the shared budget that is used: a host that starts or is partitioned counts a different number of hosts.
constexpr double s_usedFraction = 0.7;

/// Fraction of its share of the slack that a process earns in its first window. The process before it may have used the whole share at the
/// beginning of that window, and any number of processes earn no more in it together than a single one, so that a host stays within
/// s_usedFraction * (1 + 0.4), that is 0.98, of its share however often it is killed.
constexpr double s_earnedInFirstWindow = 0.4;

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
    const double share = earnedFraction(now) * m_settings.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double allowed = s_usedFraction * (m_settings.ratio * static_cast<double>(m_requests.count(now)) + share);
    return m_retries.tryAdd(static_cast<std::int64_t>(allowed), now);
}

double RetryAllowance::earnedFraction(BootTime now) const
{
    if (!m_settings.startedAt) {
        return 1;
    }
    const std::chrono::duration<double> age = now - *m_settings.startedAt;
    return std::clamp(s_earnedInFirstWindow * (age / std::chrono::duration<double>(m_settings.window)), 0.0, 1.0);
}

} // namespace Trefoil
