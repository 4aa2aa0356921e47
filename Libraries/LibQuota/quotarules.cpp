#include <LibQuota/quotarules.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Part of the tolerance that lenders lend. The rest covers permits that are used late and lenders that are replaced.
constexpr double s_lentTolerance = 0.5;
/// Part of the tolerance that permits may use which were lent before a window.
constexpr double s_lateTolerance = 0.25;
constexpr Seconds s_maximumLifetime{0.3};
/// Longer than lenderReplyTimeout, so that the permits of a slow reply can be used.
constexpr Seconds s_minimumLifetime{0.1};

/// The limit holds for each window, so that a customer may have its burst in every one of them. Spread over the window, the burst serves steady
/// callers, who would otherwise be rejected below the limit once it is used up.
double sustainedRate(const QuotaRules &rules, const QuotaLimit &limit)
{
    return limit.rate + limit.burst / Seconds(rules.window).count();
}

} // namespace

double quotaTolerance(const QuotaRules &rules, const QuotaLimit &limit)
{
    return rules.overage * (limit.rate * Seconds(rules.window).count() + limit.burst) + rules.slack;
}

LenderShare lenderShare(const QuotaRules &rules, const QuotaLimit &limit, std::size_t lenders)
{
    const auto count = static_cast<double>(lenders);
    return {sustainedRate(rules, limit) / count, std::max(1.0, s_lentTolerance * quotaTolerance(rules, limit) / count)};
}

std::chrono::nanoseconds permitLifetime(const QuotaRules &rules, const QuotaLimit &limit)
{
    const Seconds lifetime(s_lateTolerance * quotaTolerance(rules, limit) / sustainedRate(rules, limit));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::clamp(lifetime, s_minimumLifetime, s_maximumLifetime));
}

} // namespace Trefoil
