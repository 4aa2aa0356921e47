#pragma once

#include <LibConfiguration/configuration.h>

#include <variant>

namespace Trefoil
{

/// Expected time to the response; the policy of services whose objective is latency.
struct LatencyPolicy
{
};

/// Least used upstream first; the policy of services whose objective is headroom.
struct HeadroomPolicy
{
};

/// First upstream of the own zone, then of the region, in declared order. For comparison.
struct NearestOnlyPolicy
{
};

/// Each upstream in turn. For comparison.
struct RoundRobinPolicy
{
};

/// Lowest last report, whatever its age. For comparison.
struct LeastReportedLoadPolicy
{
};

/// The one with fewer of this host's requests of two random upstreams. For comparison.
struct TwoRandomChoicesPolicy
{
};

using SelectionPolicy = std::variant<LatencyPolicy, HeadroomPolicy, NearestOnlyPolicy, RoundRobinPolicy, LeastReportedLoadPolicy, TwoRandomChoicesPolicy>;

/// The product's policy for an objective. Precondition: none. Thread safety: safe from any thread.
inline SelectionPolicy policyFor(Objective objective)
{
    if (objective == Objective::Headroom) {
        return HeadroomPolicy{};
    }
    return LatencyPolicy{};
}

} // namespace Trefoil
