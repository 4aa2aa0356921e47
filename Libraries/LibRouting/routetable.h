#pragma once

#include <LibRouting/routingconfiguration.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace Trefoil
{

/// Finds routes and services of one configuration. Immutable. Thread safety: safe for concurrent readers.
class RouteTable
{
public:
    /// Precondition: none; of two routes with the same host and prefix the first one is kept.
    explicit RouteTable(RoutingConfiguration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// The route of that host whose prefix is the longest one that begins the path; null when none does.
    /// A port in the host name and a query behind the path are left out. Precondition: none.
    const Route *match(std::string_view host, std::string_view target) const;

    /// The policy of a service; null when the configuration doesn't name it. Precondition: none.
    const ServicePolicy *service(const ServiceId &id) const;

    /// Whether requests need a key unless their route is public. Precondition: none.
    bool hasCustomers() const
    {
        return !m_configuration.customers.empty();
    }

    /// The customer that holds the key; null for an unknown key and for one that several customers hold. Precondition: none.
    const Customer *customerOfKey(std::string_view key) const;

    /// Precondition: none.
    const RoutingConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    using RoutesByPrefix = std::map<std::string, const Route *, std::less<>>;

    RoutingConfiguration m_configuration;
    std::unordered_map<std::string, RoutesByPrefix> m_routesByHost;
    std::unordered_map<ServiceId, const ServicePolicy *> m_services;
    /// Null for a key that several customers hold. The keys refer to the configuration.
    std::unordered_map<std::string_view, const Customer *> m_customersByKey;
};

} // namespace Trefoil
