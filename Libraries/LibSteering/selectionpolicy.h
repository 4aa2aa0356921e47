#pragma once

#include <LibConfiguration/configuration.h>

#include <variant>

namespace Trefoil
{

/// Prefers the lowest expected response time; the policy of services whose objective is latency.
struct LatencyPolicy
{
};

/// Prefers the least utilized upstream; the policy of services whose objective is headroom.
struct HeadroomPolicy
{
};

/// Prefers the first upstream of this host's zone, then of its region, in declared order. For comparison.
struct NearestOnlyPolicy
{
};

/// Uses each upstream in turn. For comparison.
struct RoundRobinPolicy
{
};

/// Prefers the lowest reported load, regardless of the report's age. For comparison.
struct LeastReportedLoadPolicy
{
};

/// Prefers, of two random upstreams, the one with fewer requests of this host. For comparison.
struct TwoRandomChoicesPolicy
{
};

using SelectionPolicy = std::variant<LatencyPolicy, HeadroomPolicy, NearestOnlyPolicy, RoundRobinPolicy, LeastReportedLoadPolicy, TwoRandomChoicesPolicy>;

/// The policy for the objective of a service. Precondition: none. Thread safety: safe from any thread.
inline SelectionPolicy policyFor(Objective objective)
{
    if (objective == Objective::Headroom) {
        return HeadroomPolicy{};
    }
    return LatencyPolicy{};
}

} // namespace Trefoil
