#include <LibRouting/routetable.h>

#include <algorithm>
#include <cctype>

namespace Trefoil
{

namespace
{

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes) {
        m_routesByHost[hostName(route.host)].emplace(route.prefix, &route);
    }
    for (const ServicePolicy &policy : m_configuration.services) {
        m_services.emplace(policy.id, &policy);
    }
    for (const Customer &customer : m_configuration.customers) {
        for (const std::string &key : customer.keys) {
            const auto [position, isNew] = m_customersByKey.emplace(key, &customer);
            if (!isNew && position->second != &customer) {
                position->second = nullptr;
            }
        }
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto routes = m_routesByHost.find(hostName(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the parts of the path up to each slash can be one.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const Customer *RouteTable::customerOfKey(std::string_view key) const
{
    const auto found = m_customersByKey.find(key);
    return found == m_customersByKey.end() ? nullptr : found->second;
}

const ServicePolicy *RouteTable::service(const ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace Trefoil
