#pragma once

#include <LibSteering/upstreammodel.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Trefoil
{

/// What is known of the cost of a request before it runs, besides its route and the cache state.
struct CostFeatures
{
    /// Hash of the customer's name; 0 for an anonymous caller.
    std::uint64_t customer = 0;
    /// 0 for a request without a key.
    std::uint64_t keyHash = 0;
    /// Size of the request's body.
    std::uint64_t bytes = 0;
};

/// Work that a request of a route is expected to take on a machine of usual speed, learned from the attempts of this host.
/// The mean by cache state is the coarsest group; customer, size of the request and key refine it by factors. A group with few samples has little
/// weight, so that the estimate falls back to the coarser one. Memory is bounded: a table of factors of fixed size.
/// Handles requests of a route that differ in cost by customer, size or key, and long tails: one long sample in thirty moves no mean by more than a
/// bounded part.
/// Thread safety: one thread at a time.
class RequestCost
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Starts with expected times in proportion to the target latency, until samples replace them. Precondition: targetLatency is positive.
    explicit RequestCost(Milliseconds targetLatency);

    /// Precondition: none.
    Milliseconds expected(CacheState state, const CostFeatures &features) const;

    /// Mean absolute deviation of the work from the expected one, as a fraction of the latter. Precondition: none.
    double spread() const
    {
        return m_spread;
    }

    /// Precondition: none.
    bool hasSamples() const
    {
        return m_hasSamples;
    }

    /// Records the work of one successful attempt, in the time of a machine of usual speed. Precondition: work is not negative.
    void record(CacheState state, const CostFeatures &features, Milliseconds work);

    /// Expected rest of a request that has run for a multiple of its expected work, as a multiple of the latter. It grows for a request that has run
    /// for longer than expected, since that is likely one of the long ones. Precondition: elapsed is not negative.
    double remainingRatio(double elapsed) const;

private:
    /// Ratio of the work in one group to that of the coarser groups.
    struct Factor
    {
        std::uint64_t group = 0;
        double samples = 0;
        double ratio = 1;
    };

    static constexpr std::size_t s_tableSize = 512;
    static constexpr std::size_t s_buckets = 20;
    static constexpr std::size_t s_levels = 3;

    static std::array<std::uint64_t, s_levels> groupsOf(const CostFeatures &features);
    static double bucketRatio(std::size_t bucket);
    /// 1 for a group without samples.
    double factorOf(std::uint64_t group) const;
    void recordFactor(std::uint64_t group, double ratio);
    void recordRatio(double ratio);

    std::array<Milliseconds, 3> m_base;
    std::vector<Factor> m_factors;
    double m_spread;
    bool m_hasSamples = false;
    /// Decaying counts of the ratios of actual to expected work.
    std::array<double, s_buckets> m_ratios{};
};

} // namespace Trefoil
