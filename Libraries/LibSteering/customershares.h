#pragma once

#include <LibCore/bootclock.h>

#include <chrono>
#include <string>
#include <unordered_map>

namespace Trefoil
{

/// Recent demand of each customer for one service, relative to what its limit entitles it to.
/// Handles overload to which one customer contributes more than its part: without it, all customers lose the same part of their requests, however
/// little they send themselves.
/// Thread safety: one thread at a time.
class CustomerShares
{
public:
    /// Sets what each customer is entitled to, such as its requests per second, relative to the other customers that send requests. A customer of weight 0 counts as an
    /// average one. Precondition: no weight is negative.
    void setWeights(std::unordered_map<std::string, double> weights);

    /// Counts an arrived request. Precondition: now does not go back.
    void recordArrival(const std::string &customer, BootTime now);

    /// Factor on the price of a slot for a request that recordArrival() has counted: above 1 for a customer that sends clearly more than its part of
    /// the recent requests, below 1 for one that sends less, 1 without customers. Customers that have been silent lend their part to the others.
    /// Precondition: now does not go back.
    double priceFactor(const std::string &customer, BootTime now) const;

private:
    /// A count that decays with time.
    struct Count
    {
        double value = 0;
        BootTime at{};
    };

    struct Demand
    {
        Count arrivals;
        /// Whether the customer sent requests recently, so that it lends nothing.
        bool isSending = false;
    };

    static double valueOf(const Count &count, BootTime now);
    static void add(Count &count, BootTime now);
    /// Precondition: the customer has a weight.
    double weightOf(const std::string &customer) const;
    void sumSendingWeights();
    void findSilentCustomers(BootTime now);

    std::unordered_map<std::string, double> m_weights;
    double m_averageWeight = 0;
    /// Sum of the weights of the customers that sent requests recently.
    double m_sendingWeight = 0;
    BootTime m_searchedAt{};
    Count m_all;
    std::unordered_map<std::string, Demand> m_demands;
};

} // namespace Trefoil
