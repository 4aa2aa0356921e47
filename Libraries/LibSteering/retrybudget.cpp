#include <LibSteering/retrybudget.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

constexpr std::int64_t s_successSeconds = 10;
constexpr std::int64_t s_successesPerRetry = 10;
constexpr std::int64_t s_leastRetriesPerSecond = 1;

} // namespace

RetryBudget::RetryBudget()
    : m_successes(std::chrono::seconds(s_successSeconds))
    , m_retries(std::chrono::seconds(1))
{
}

void RetryBudget::recordSuccess(BootTime now)
{
    m_successes.add(now);
}

bool RetryBudget::tryAcquire(BootTime now)
{
    const std::int64_t earned = m_successes.count(now) / (s_successSeconds * s_successesPerRetry);
    return m_retries.tryAdd(std::max(earned, s_leastRetriesPerSecond), now);
}

} // namespace Trefoil
