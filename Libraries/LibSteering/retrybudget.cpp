#include <LibSteering/retrybudget.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

constexpr std::int64_t s_successWindowSeconds = 10;
constexpr std::int64_t s_successesPerRetry = 10;
constexpr std::int64_t s_minimumRetriesPerSecond = 1;

} // namespace

RetryBudget::RetryBudget()
    : m_successes(std::chrono::seconds(s_successWindowSeconds))
    , m_retries(std::chrono::seconds(1))
{
}

void RetryBudget::recordSuccess(BootTime now)
{
    m_successes.add(now);
}

bool RetryBudget::tryAcquire(BootTime now)
{
    const std::int64_t earned = m_successes.count(now) / (s_successWindowSeconds * s_successesPerRetry);
    return m_retries.tryAdd(std::max(earned, s_minimumRetriesPerSecond), now);
}

} // namespace Trefoil
