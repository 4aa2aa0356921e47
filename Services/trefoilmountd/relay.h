#pragma once

#include <LibHttp/connectionpool.h>
#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/routingview.h>

#include <optional>
#include <set>
#include <string>

namespace Trefoil
{

/// Another host that gets a request, with the bytes reserved on the link to it.
struct RelayTarget
{
    HostId host;
    std::string address;
    /// Empty inside the own region.
    std::optional<LinkReservation> link{};
};

/// Chooses the host with the most free slots: of the own region first, then of the nearest region whose link has room.
/// Hosts in excluded were tried already. sameRegionOnly keeps the request in the region.
/// Precondition: the request was not relayed. Thread safety: safe from any thread.
std::optional<RelayTarget> chooseRelayTarget(const RoutingView &view,
    const HostId &ownHost,
    const RegionId &ownRegion,
    const std::set<HostId> &excluded,
    bool sameRegionOnly,
    Bytes estimate,
    BootTime now);

/// The request as it is sent to another host, still without the time left. Precondition: none. Thread safety: safe from any thread.
HttpRequest makeRelayRequest(const ClassifiedRequest &request, const HttpRequest &original, const HostId &ownHost, const std::string &secret);

/// How a relayed request ended. Precondition: none. Thread safety: safe from any thread.
RequestEnd endOfRelay(CallResult result);

/// Whether the request comes from a host of the system. Compares in constant time.
/// Precondition: secret is not empty. Thread safety: safe from any thread.
bool isFromPeer(const HttpHeaders &headers, const std::string &secret);

} // namespace Trefoil
