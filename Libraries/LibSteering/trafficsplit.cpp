#include <LibSteering/trafficsplit.h>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace Trefoil
{

TrafficSplit::TrafficSplit(std::vector<std::int32_t> weights)
    : m_weights(std::move(weights))
    , m_credits(m_weights.size(), 0)
{
    assert(!m_weights.empty());
}

std::size_t TrafficSplit::next()
{
    const std::int64_t total = std::accumulate(m_weights.begin(), m_weights.end(), std::int64_t{0});
    for (std::size_t part = 0; part < m_weights.size(); ++part) {
        m_credits[part] += m_weights[part];
    }
    const auto chosen = std::max_element(m_credits.begin(), m_credits.end());
    *chosen -= total;
    return static_cast<std::size_t>(chosen - m_credits.begin());
}

} // namespace Trefoil
