#pragma once

#include <cstdint>
#include <vector>

namespace Trefoil
{

/// Distributes requests over the parts of a split by smooth weighted round robin, so that any run of requests comes close to the weights.
/// Handles traffic splits under any load: a full part never passes its share on to another.
/// Thread safety: one thread at a time.
class TrafficSplit
{
public:
    /// Precondition: weights is not empty; no weight is negative.
    explicit TrafficSplit(std::vector<std::int32_t> weights);

    /// Index of the part that receives the next request. Precondition: none.
    std::size_t next();

private:
    std::vector<std::int32_t> m_weights;
    std::vector<std::int64_t> m_credits;
};

} // namespace Trefoil
