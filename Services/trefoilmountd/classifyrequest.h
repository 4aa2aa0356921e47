#pragma once

#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/routingview.h>

namespace Trefoil
{

/// Second filter: compares a request with the configuration and fills in the defaults of its class.
/// A request may repeat only when neither its class nor its header forbids it.
/// Precondition: freshId is unique in the system. Thread safety: safe from any thread.
ClassifiedInput classifyRequest(ParsedRequest parsed, const RoutingView &view, const RegionId &ownRegion, RequestId freshId, BootTime now);

} // namespace Trefoil
