#pragma once

#include <Platform/Soak/promisetypes.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Trefoil::Soak
{

/// What a version of the configuration says of a customer.
struct CustomerVersion
{
    std::vector<std::string> keys;
    /// Regions that the customer allows; empty when it allows all.
    std::vector<std::string> regions{};
    /// 0: no limit.
    double rate = 0;
    double burst = 0;
};

/// Customers of a version of the configuration, by name.
using CustomerVersions = std::map<std::string, CustomerVersion>;

/// Limits of the deployment, as in the settings of its hosts.
struct CustomerRules
{
    std::chrono::milliseconds revocationTime{5000};
    std::chrono::milliseconds quotaWindow{5000};
    double quotaOverage = 0.1;
    double quotaSlack = 20;
};

/// A lowered limit is known to all hosts within this time, unless one of them or the store is disturbed.
constexpr std::chrono::milliseconds s_limitBound{3000};

/// Compares what callers and upstreams saw with what the system promises of customers.
/// Thread safety: one thread at a time.
class CustomerPromises
{
public:
    /// When something that was written at a time must be in force.
    using InForceBy = std::function<BootTime(BootTime writtenAt)>;

    /// The store got a version between the two times. Precondition: calls come in the order of their times; sentAt <= acknowledgedAt.
    void configured(CustomerVersions customers, BootTime sentAt, BootTime acknowledgedAt);

    /// A request runs only with a key that was held at most the revocation time before it was sent, under the name of the key's
    /// customer, and in the regions of that customer. On public routes it may run without a name.
    void checkExecution(const CallerRequest &request, const Execution &execution, std::vector<std::string> &found) const;

    /// A known key is not answered 401 once it must be in force, a public route never is, and 429 comes only of a limit.
    /// Precondition: inForceBy is of the request's host, which was not disturbed during the request.
    void checkEnd(const CallerRequest &request, const InForceBy &inForceBy, std::vector<std::string> &found) const;

    /// In no window do more requests of a customer run than its limit allows. Reports the worst window of each customer.
    /// Precondition: inForceBy is of the host that learns last.
    void checkWindows(const std::multimap<std::string, Execution> &executions, const InForceBy &inForceBy, std::vector<std::string> &found) const;

private:
    struct Version
    {
        CustomerVersions customers;
        BootTime sentAt;
        BootTime acknowledgedAt;
    };

    /// When the version was replaced; the end of time for the last one.
    BootTime replacedAt(std::size_t index) const;
    /// Customers that the key identifies at some moment of a time.
    std::set<std::string> holders(const std::string &key, BootTime from, BootTime until) const;
    /// Since when the key has identified the same customer, without a break up to a time.
    std::optional<BootTime> heldSince(const std::string &key, BootTime until) const;
    bool allowsRegion(const std::string &customer, const std::string &region, BootTime from, BootTime until) const;
    bool hasLimit(const std::string &customer, BootTime from, BootTime until) const;
    /// Requests that may run in the window that begins at a time; nothing when there is no limit.
    std::optional<double> windowBound(const std::string &customer, BootTime from, const InForceBy &inForceBy) const;

    CustomerRules m_rules;
    std::vector<Version> m_versions;
};

} // namespace Trefoil::Soak
