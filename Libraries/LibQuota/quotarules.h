#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/units.h>

#include <chrono>
#include <cstddef>

namespace Trefoil
{

/// Number of hosts that lend permits for one customer, where that many are registered.
inline constexpr std::size_t maximumLenders = 4;
/// A borrower asks the next lender after this time without a reply: twice the longest round trip between regions.
inline constexpr std::chrono::milliseconds lenderReplyTimeout{60};

/// Requests of a customer that may run in each window, on all hosts together, beyond its rate and burst.
struct QuotaRules
{
    std::chrono::milliseconds window{5000};
    /// This share of the requests that the rate and the burst allow.
    double overage = 0;
    /// This many more.
    double slack = 0;
};

/// The limit of one customer.
struct QuotaLimit
{
    /// Requests per second; 0 sets no limit.
    double rate = 0;
    double burst = 0;

    friend bool operator==(const QuotaLimit &a, const QuotaLimit &b)
    {
        return a.rate == b.rate && a.burst == b.burst;
    }
};

/// The part of a limit that one lender lends.
struct LenderShare
{
    /// Permits per second.
    double rate = 0;
    /// Most permits that accumulate.
    double depth = 1;
};

/// Requests that may run in a window beyond rate and burst. Precondition: none. Thread safety: safe from any thread.
double quotaTolerance(const QuotaRules &rules, const QuotaLimit &limit);

/// The share of each of several lenders. Precondition: lenders is positive. Thread safety: safe from any thread.
LenderShare lenderShare(const QuotaRules &rules, const QuotaLimit &limit, std::size_t lenders);

/// How long after the request for it a permit may be used. Permits that were lent before a window and are used in it add to the window, by at
/// most half of the tolerance that lenderShare() leaves. Precondition: the rate is positive. Thread safety: safe from any thread.
std::chrono::nanoseconds permitLifetime(const QuotaRules &rules, const QuotaLimit &limit);

} // namespace Trefoil
