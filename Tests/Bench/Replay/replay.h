#pragma once

#include <LibGateway/gatewaystate.h>

#include <array>
#include <string>
#include <vector>

/// Plays load patterns in virtual time against the decisions of the gateway and against plain policies.
/// Thread safety of all functions: safe from any thread.
namespace Trefoil::Replay
{

/// Who chooses the upstream.
enum class Policy {
    /// The gateway's own decisions.
    Own,
    /// The same without the price of slots.
    OwnWithoutPrice,
    /// The same without a price of slots and nearly without a cost of leaving a key's first upstreams.
    OwnSpreading,
    /// The gateway's own decisions with work factors, but without the learned cost of requests, without the remaining work of upstreams, and without
    /// both.
    OwnWithoutCost,
    OwnWithoutRemainingWork,
    OwnWithFactorsOnly,
    /// The same for upstreams that report three figures.
    OwnWithThreeFigures,
    RoundRobin,
    /// The upstream with the fewest requests by the last reports and the host's own.
    LeastLoaded,
    /// The less loaded of two that are drawn.
    TwoChoices,
    /// Always the first upstream in the key's order.
    AffinityOnly,
    /// The gateway's own decisions without CustomerShares.
    OwnWithoutCustomerShares,
};

const std::vector<Policy> &allPolicies();
/// Policies that differ in what they learn of the cost of requests.
const std::vector<Policy> &costPolicies();
std::string_view toText(Policy policy);

/// One kind of requests of the service.
struct RequestClass
{
    std::string name;
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    /// Share of all requests.
    double share = 1;
    /// Work of an upstream that holds nothing of the key.
    Milliseconds work{880};
    Milliseconds target{600};
    Milliseconds limit{4000};
    /// What a response within the target is worth; a late one is worth a fifth.
    double worth = 1;
};

/// A fifth of short urgent requests among ordinary ones.
inline const std::vector<RequestClass> usualClasses = {
    {"urgent", 0, 0.2, Milliseconds(600), Milliseconds(400), Milliseconds(3000), 3},
    {"ordinary", 2, 0.8, Milliseconds(880), Milliseconds(600), Milliseconds(4000), 1},
};

/// One customer of the service.
struct CustomerLoad
{
    std::string name;
    /// Share of all requests while every customer sends as usual.
    double share = 0;
    /// Factor on its rate between 10 and 30 s.
    double surge = 1;
};

struct Pattern
{
    std::string name;
    /// Work that is offered, without any gain from warm upstreams, in parts of what the slots do.
    double load = 1;
    /// Factor on the load between 12 and 16 s.
    double burst = 1;
    /// Factor on the work of the first upstream between 10 and 20 s.
    double slowness = 1;
    /// Share of its requests that the first upstream sheds between 10 and 20 s although it has room.
    double sheds = 0;
    /// Two classes, the most urgent one first.
    std::vector<RequestClass> classes = usualClasses;
    /// Share of requests with seven times the usual work.
    double longShare = 0;
    /// Factor between the work of the cheapest key and that of the dearest one.
    double keyRange = 1;
    /// Factor between the fastest and the slowest machine, and between the extremes of the speed of one machine. Upstreams report four figures where
    /// one of them is not 1.
    double machineRange = 1;
    double speedRange = 1;
    /// Empty for a service without customers; otherwise the load is that of all customers while they send as usual.
    std::vector<CustomerLoad> customers{};
};

const std::vector<Pattern> &allPatterns();
/// Patterns with uneven cost and uneven machines.
const std::vector<Pattern> &costPatterns();

/// How the requests of one kind were served.
struct KindScore
{
    /// Part of the requests that were served within the target.
    double inTime = 0;
    /// Percentiles of the time of the requests that were served.
    Milliseconds p50{0};
    Milliseconds p95{0};
    Milliseconds p99{0};
};

/// Requests of one customer that arrived between 10 and 30 s.
struct CustomerCount
{
    double arrived = 0;
    /// Served within the limit of their class.
    double served = 0;
};

struct Score
{
    /// Parts of the worth of all requests, and of those of the most urgent class.
    double total = 0;
    double urgent = 0;
    /// Parts of the requests.
    double inTime = 0;
    double late = 0;
    double rejected = 0;
    /// Median time of the requests that were served.
    Milliseconds median{0};
    std::array<KindScore, 2> kinds{};
    /// In the order of the pattern's customers.
    std::vector<CustomerCount> customers{};
};

/// Plays 40 s. Precondition: none.
Score play(const Pattern &pattern, Policy policy, std::uint64_t seed);

} // namespace Trefoil::Replay
