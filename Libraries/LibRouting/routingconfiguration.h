#pragma once

#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <chrono>
#include <string>
#include <vector>

/// What operators declare for the gateway: which requests go to which service, and under which limits.
namespace Trefoil
{

using RouteId = StrongId<struct RouteIdTag, std::string>;
using CustomerId = StrongId<struct CustomerIdTag, std::string>;

enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
};

/// One part of a traffic split.
struct WeightedService
{
    ServiceId service;
    /// Share of the route's requests, relative to the other parts.
    std::int32_t weight = 1;
};

struct Route
{
    RouteId id;
    /// Value of the Host header without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Longest time until the final response.
    std::chrono::milliseconds timeout{0};
    /// Time within which a response is worth its full value.
    std::chrono::milliseconds targetLatency{0};
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    /// Upstreams that one attempt of the caller may be sent to.
    std::int32_t maximumAttempts = 1;
    /// Requests with the same key run faster on an upstream that has seen the key.
    bool hasAffinity = false;
    std::vector<WeightedService> services;
    /// Whether requests need no key, also in a configuration with customers.
    bool isPublic = false;
    /// Regions that may serve the route; empty allows all.
    std::vector<RegionId> allowedRegions;
};

/// Whose requests carry which keys, and what these requests may use.
struct Customer
{
    CustomerId id;
    std::vector<std::string> keys{};
    /// Takes the place of the route's priority; 0 is the most urgent.
    std::int32_t priority = 0;
    /// Requests of all hosts together: this rate and this burst; a rate of 0 sets no limit.
    double requestsPerSecond = 0;
    double burst = 0;
    /// Regions that may serve the customer, of those that the route allows; empty allows all.
    std::vector<RegionId> allowedRegions{};
};

struct ServicePolicy
{
    ServiceId id;
    std::string healthPath;
    ConnectionCount maximumConnections;
    /// How long an upstream stays cold after its start.
    std::chrono::milliseconds coldStart{0};
    /// Requests per second that a cold upstream tolerates; 0 when it has no such limit.
    double coldRequestsPerSecond = 0;
};

/// What one caller may send.
struct CallerLimits
{
    Bytes header{0};
    Bytes body{0};
    std::chrono::milliseconds headerTimeout{0};
    std::chrono::milliseconds idleTimeout{0};
};

struct RoutingConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<ServicePolicy> services;
    CallerLimits limits;
    /// Without customers, requests need no key.
    std::vector<Customer> customers{};
};

} // namespace Trefoil
