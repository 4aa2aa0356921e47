#pragma once

#include <LibGateway/gatewayheaders.h>
#include <LibRouting/routetable.h>

#include <string_view>
#include <variant>

namespace Trefoil
{

/// The request is served without a customer.
struct AnonymousCaller
{
};

/// The request needs a key and carries none that the configuration knows.
struct UnknownCaller
{
    /// For logs and metrics; never contains the key.
    std::string_view reason;
};

using CallerIdentity = std::variant<AnonymousCaller, const Customer *, UnknownCaller>;

/// Decides whose request it is from the key that it carries, in a header of the form "<scheme> <key>"; the scheme compares without case. A key that
/// isn't known doesn't matter on a public route. Without customers in the configuration, all callers are anonymous.
/// Precondition: none. Thread safety: safe from any thread.
CallerIdentity identifyCaller(const HttpHeaders &headers, const Route &route, const RouteTable &routes, const GatewayHeaders &names);

} // namespace Trefoil
