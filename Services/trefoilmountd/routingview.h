#pragma once

#include <LibConfiguration/configuration.h>
#include <LibHttp/connectionlimit.h>
#include <LibSteering/dispatchgate.h>
#include <LibSteering/hostranking.h>
#include <LibSteering/linkbudget.h>
#include <LibSteering/lookuptable.h>
#include <LibSteering/shiftwindow.h>
#include <LibSteering/upstreamslots.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoil
{

/// An entry host, this one included, as look-ups and relays use it.
struct HostRouting
{
    HostId id;
    RegionId region;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    bool leaving = false;
    /// Free slots of all services, from the host's last heartbeat.
    SlotCount freeSlots;
};

/// State of one upstream that outlives configuration versions.
struct UpstreamState
{
    UpstreamConfiguration configuration;
    ServiceId service;
    std::shared_ptr<UpstreamSlots> slots;
    /// Listed as leaving by the platform, or drained by an operator.
    bool leaving = false;
};

/// Address and connection limit of an upstream.
struct UpstreamRoute
{
    std::string address;
    /// Shared by all worker threads.
    std::shared_ptr<ConnectionLimit> connections;
};

/// Routing of requests for one service in this region.
struct ServiceRouting
{
    ServiceId id;
    /// Null when the region has no upstream of the service or is drained.
    std::shared_ptr<DispatchGate> gate;
    /// Never null; control loops set its grant. The object is reused while the interval stays the same.
    std::shared_ptr<ShiftWindow> shiftWindow;
    std::unordered_map<UpstreamId, UpstreamRoute> routes;
};

/// Budget of the link to another region; control loops set its grant.
struct LinkRouting
{
    RegionId to;
    std::chrono::milliseconds delay{0};
    std::shared_ptr<LinkBudget> budget;
};

/// A consistent snapshot of the routing for the request path. Control loops set the first group of members; the assembler
/// derives the second group from it.
struct RoutingView
{
    /// Never null. Shared between views, which change with every heartbeat round while the configuration does not.
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    std::vector<HostRouting> hosts;
    /// Upstreams of this host's region.
    std::vector<std::shared_ptr<const UpstreamState>> upstreams;

    std::vector<std::shared_ptr<const ServiceRouting>> services;
    /// Links from this host's region.
    std::vector<LinkRouting> links;
    /// Null before the first configuration.
    std::shared_ptr<const LookupTable> lookup;
    std::shared_ptr<const HostRanking> ranking;
    /// JSON objects of the hosts for look-up responses, in the order of hosts.
    std::shared_ptr<const std::vector<std::string>> hostTexts;

    /// The routing of a service; null when the service is not declared. Precondition: none. Thread safety: safe for concurrent readers.
    const std::shared_ptr<const ServiceRouting> *findService(const ServiceId &service) const;
};

} // namespace Trefoil
