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

/// Shared by the request path, which reads it, and the control loops, which publish to it from the control thread.
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

    /// Publishes a changed copy of the routing view, so that control loops do not undo each other's parts, and derives the rest of it.
    /// A change of grants needs a call too, with a function that does nothing.
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
