#include <LibSteering/customershares.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Half-life of the arrivals that are counted: shorter than a burst of several seconds, and several requests of most customers.
constexpr Seconds s_halfLife{2.0};
/// Requests that each customer counts as having sent in addition, at its entitled part: with few requests, a single one says little.
constexpr double s_priorRequests = 4;
/// Bounds of the factor. A customer may always compete for slots, and none gets them for nothing.
constexpr double s_minimumFactor = 0.6;
constexpr double s_maximumFactor = 2.5;

} // namespace

void CustomerShares::setWeights(std::unordered_map<std::string, double> weights)
{
    m_weights = std::move(weights);
    double sum = 0;
    double limited = 0;
    for (const auto &[customer, weight] : m_weights) {
        sum += weight;
        limited += weight > 0 ? 1 : 0;
    }
    m_averageWeight = limited > 0 ? sum / limited : 1;
    m_totalWeight = sum + m_averageWeight * (static_cast<double>(m_weights.size()) - limited);
    for (auto it = m_arrivals.begin(); it != m_arrivals.end();) {
        it = m_weights.count(it->first) > 0 ? std::next(it) : m_arrivals.erase(it);
    }
}

double CustomerShares::valueOf(const Count &count, BootTime now)
{
    return count.value * std::exp2(-Seconds(now - count.at) / s_halfLife);
}

void CustomerShares::add(Count &count, BootTime now)
{
    count.value = valueOf(count, now) + 1;
    count.at = now;
}

void CustomerShares::recordArrival(const std::string &customer, BootTime now)
{
    if (m_weights.count(customer) == 0) {
        return;
    }
    add(m_all, now);
    add(m_arrivals[customer], now);
}

double CustomerShares::priceFactor(const std::string &customer, BootTime now) const
{
    const auto weight = m_weights.find(customer);
    if (weight == m_weights.end()) {
        return 1;
    }
    const auto arrivals = m_arrivals.find(customer);
    const double sent = arrivals == m_arrivals.end() ? 0 : valueOf(arrivals->second, now);
    const double entitled = valueOf(m_all, now) * (weight->second > 0 ? weight->second : m_averageWeight) / m_totalWeight;
    return std::clamp((sent + s_priorRequests) / (entitled + s_priorRequests), s_minimumFactor, s_maximumFactor);
}

} // namespace Trefoil
