#pragma once

#include <Bench/Replay/replay.h>

/// Plays load patterns with customers and summarises how each of them was served.
/// Thread safety of all functions: safe from any thread.
namespace Trefoil::Replay
{

/// Patterns with customers of unequal size: even overload, one customer that sends too much, a small one, and one that stops sending.
const std::vector<Pattern> &customerPatterns();

/// The gateway's own decisions without and with CustomerShares.
const std::vector<Policy> &customerPolicies();

/// How customers were served, with their requests of all seeds together. Shares are parts of the requests that arrived between 10 and 30 s.
struct CustomerScore
{
    /// Mean over the seeds of the worth of all requests, and its spread.
    double worth = 0;
    double spread = 0;
    double all = 0;
    /// The tenth of the customers that was served worst, rounded up: of all customers, and of those that stay within their rate.
    double worstTenth = 0;
    double worstTenthWithinRate = 0;
    /// Standard error of that share, as of so many independent requests.
    double worstTenthError = 0;
    /// The customer of those within their rate that was served worst.
    double worstWithinRate = 0;
    /// The customer that sends too much; 0 without one.
    double sender = 0;
    /// All customers that stay within their rate.
    double others = 0;
};

/// Plays a pattern with the seeds from 1 on. Precondition: the pattern has customers, and at least one of them that stays within its rate; seeds is not
/// 0.
CustomerScore playCustomers(const Pattern &pattern, Policy policy, std::uint64_t seeds);

} // namespace Trefoil::Replay
