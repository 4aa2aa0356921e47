#include <LibGateway/calleridentity.h>

#include <LibHttp/fieldvalue.h>

namespace Trefoil
{

namespace
{

constexpr std::string_view s_blanks = " \t";

CallerIdentity identifyByKey(const HttpHeaders &headers, const RouteTable &routes, const GatewayHeaders &names)
{
    const std::size_t count = headers.count(names.credential);
    if (count != 1) {
        // Of several headers, another program might take another one for the valid one.
        return UnknownCaller{count == 0 ? "no-key" : "several-keys"};
    }
    const std::string_view value = trimmed(headers.value(names.credential));
    const auto schemeEnd = value.find_first_of(s_blanks);
    if (schemeEnd == std::string_view::npos || !isSameHeaderName(value.substr(0, schemeEnd), names.credentialScheme)) {
        return UnknownCaller{"other-scheme"};
    }
    const Customer *customer = routes.customerOfKey(trimmed(value.substr(schemeEnd)));
    return customer ? CallerIdentity(customer) : UnknownCaller{"unknown-key"};
}

} // namespace

CallerIdentity identifyCaller(const HttpHeaders &headers, const Route &route, const RouteTable &routes, const GatewayHeaders &names)
{
    if (!routes.hasCustomers()) {
        return AnonymousCaller{};
    }
    const CallerIdentity identity = identifyByKey(headers, routes, names);
    return route.isPublic && std::holds_alternative<UnknownCaller>(identity) ? AnonymousCaller{} : identity;
}

} // namespace Trefoil
