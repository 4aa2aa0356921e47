#pragma once

#include <LibHttp/connectionpool.h>
#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/routingview.h>

#include <optional>
#include <set>
#include <string>

namespace Trefoil
{

/// The host to which a request is relayed, with the bytes reserved on the link to it.
struct RelayTarget
{
    HostId host;
    std::string address;
    /// Empty when the host is in the same region.
    std::optional<LinkReservation> link{};
};

/// Chooses the host with the most free slots in this region or, if there is none, in the nearest region whose link has
/// budget left. Hosts in excluded are skipped. sameRegionOnly restricts the choice to this region.
/// Precondition: the request was not relayed. Thread safety: safe from any thread.
std::optional<RelayTarget> chooseRelayTarget(const RoutingView &view,
    const HostId &ownHost,
    const RegionId &ownRegion,
    const std::set<HostId> &excluded,
    bool sameRegionOnly,
    Bytes estimate,
    BootTime now);

/// Builds the request for another host, except for the remaining time, which addDeadline() adds when it is sent.
/// Precondition: none. Thread safety: safe from any thread.
HttpRequest makeRelayRequest(const ClassifiedRequest &request, const HttpRequest &original, const HostId &ownHost, const std::string &secret);

/// Converts the result of a relayed call to the end of the request. Precondition: none. Thread safety: safe from any thread.
RequestEnd endOfRelay(CallResult result);

/// True when the headers carry the secret that the hosts share. Compares in constant time.
/// Precondition: secret is not empty. Thread safety: safe from any thread.
bool isFromPeer(const HttpHeaders &headers, const std::string &secret);

} // namespace Trefoil
