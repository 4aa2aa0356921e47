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
/// A customer lends its part to the others once it has been silent for this many intervals between its entitled requests, or for the maximum. With four
/// intervals, customers beside one that sends 7.5 times its rate counted as silent, since the excess raises what they are entitled to.
constexpr double s_silentIntervals = 8;
constexpr Seconds s_maximumSilence{10};
/// Interval between two searches for silent customers, since one through thousands of customers costs more than a placement.
constexpr std::chrono::milliseconds s_searchInterval{250};
/// Requests that each customer counts as having sent in addition, at its entitled part: with few requests, a single one says little.
constexpr double s_priorRequests = 4;
/// Standard deviations of a random number of arrivals by which a customer may exceed its part without paying more.
constexpr double s_unchargedDeviations = 1.5;
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
    for (auto it = m_demands.begin(); it != m_demands.end();) {
        it = m_weights.count(it->first) > 0 ? std::next(it) : m_demands.erase(it);
    }
    sumSendingWeights();
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
    Demand &demand = m_demands[customer];
    add(demand.arrivals, now);
    if (!demand.isSending) {
        demand.isSending = true;
        m_sendingWeight += weightOf(customer);
    }
    if (now - m_searchedAt >= s_searchInterval) {
        m_searchedAt = now;
        findSilentCustomers(now);
    }
}

void CustomerShares::findSilentCustomers(BootTime now)
{
    // A count that decays with its half-life holds the arrivals of this time.
    const Seconds memory = s_halfLife / std::log(2.0);
    for (auto &[customer, demand] : m_demands) {
        const double weight = weightOf(customer);
        const double entitled = std::max(valueOf(m_all, now), 1.0) * weight / std::max(m_sendingWeight, weight);
        demand.isSending = now - demand.arrivals.at < std::min(s_maximumSilence, memory * (s_silentIntervals / entitled));
    }
    sumSendingWeights();
}

void CustomerShares::sumSendingWeights()
{
    m_sendingWeight = 0;
    for (const auto &[customer, demand] : m_demands) {
        m_sendingWeight += demand.isSending ? weightOf(customer) : 0;
    }
}

double CustomerShares::weightOf(const std::string &customer) const
{
    const double weight = m_weights.at(customer);
    return weight > 0 ? weight : m_averageWeight;
}

double CustomerShares::priceFactor(const std::string &customer, BootTime now) const
{
    if (m_weights.count(customer) == 0) {
        return 1;
    }
    const auto demand = m_demands.find(customer);
    // Without the request that is placed: a small customer has sent one in each decision about it, though its part may be far less than one.
    const double sent = demand == m_demands.end() ? 0 : std::max(valueOf(demand->second.arrivals, now) - 1, 0.0);
    const double entitled = std::max(valueOf(m_all, now) - 1, 0.0) * weightOf(customer) / std::max(m_sendingWeight, weightOf(customer));
    const double difference = sent - entitled;
    // With requests that arrive at random, half of the customers that send their part have sent more than it.
    const double charged = difference > 0 ? std::max(difference - s_unchargedDeviations * std::sqrt(entitled + 1), 0.0) : difference;
    return std::clamp((entitled + charged + s_priorRequests) / (entitled + s_priorRequests), s_minimumFactor, s_maximumFactor);
}

} // namespace Trefoil
