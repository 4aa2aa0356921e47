#pragma once

#include <LibCore/snapshot.h>
#include <LibSteering/leaseguard.h>
#include <Services/trefoilmountd/routingassembler.h>
#include <Services/trefoilmountd/routingview.h>

#include <atomic>
#include <memory>
#include <utility>

namespace Trefoil
{

/// State that the control loops publish from the control thread and the request path reads.
struct HostState
{
    HostState(const HostId &host, const RegionId &region, const ZoneId &zone)
        : assembler(host, region, zone)
    {
    }

    Snapshot<RoutingView> routing{std::make_unique<RoutingView>()};
    LeaseGuard lease;
    std::atomic<bool> stopping{false};
    /// Used by updateRouting() only.
    RoutingAssembler assembler;

    /// Applies a change to a copy of the routing view, derives the rest of the view and publishes it. Working on a copy of the current
    /// view keeps the members that other control loops have set. After a change of grants, call it with a function that does nothing.
    /// Preconditions: called on the control thread, which holds a SnapshotReaderThread; change does not suspend a coroutine.
    /// Thread safety: control thread only.
    template<typename Change>
    void updateRouting(Change &&change)
    {
        auto next = routing.read([](const RoutingView &view) { return std::make_unique<RoutingView>(view); });
        std::forward<Change>(change)(*next);
        assembler.assemble(*next);
        routing.publish(std::move(next));
    }
};

} // namespace Trefoil
