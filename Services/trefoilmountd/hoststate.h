#pragma once

#include <LibConfiguration/configuration.h>
#include <LibCore/snapshot.h>
#include <LibSteering/leaseguard.h>
#include <LibSteering/upstreamslots.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace Trefoil {

/// Another entry host, or this one, as the look-ups and relays see it.
struct KnownHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    bool leaving = false;
    /// Free slots in its last heartbeat, all services together.
    SlotCount freeSlots;
};

/// State of one upstream that outlives configuration versions.
struct UpstreamState
{
    UpstreamConfiguration configuration;
    ServiceId service;
    std::shared_ptr<UpstreamSlots> slots;
    /// On the platform's list as leaving, or drained by an operator.
    bool leaving = false;
};

/// What the request path reads, as one consistent value.
struct RoutingView
{
    /// Never null. Shared, since views change with every heartbeat round and the configuration does not.
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    std::vector<KnownHost> hosts;
    /// Upstreams of this host's region.
    std::vector<std::shared_ptr<const UpstreamState>> upstreams;
};

/// Shared by the request path, which reads it, and the control loops, which publish to it from the control thread.
struct HostState
{
    Snapshot<RoutingView> routing {std::make_unique<RoutingView>()};
    LeaseGuard lease;
    std::atomic<bool> stopping {false};

    /// Publishes a changed copy of the routing view, so that control loops do not undo each other's parts.
    /// Preconditions: called on the control thread, which holds a SnapshotReaderThread; change does not suspend a coroutine.
    /// Thread safety: control thread only.
    template<typename Change>
    void updateRouting(Change &&change)
    {
        auto next = routing.read([](const RoutingView &view) { return std::make_unique<RoutingView>(view); });
        std::forward<Change>(change)(*next);
        routing.publish(std::move(next));
    }
};

} // namespace Trefoil
