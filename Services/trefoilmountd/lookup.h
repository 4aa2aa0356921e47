#pragma once

#include <LibHttp/message.h>
#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/routingview.h>

#include <chrono>

namespace Trefoil
{

/// How long a look-up response is valid for callers; a stopping host keeps serving for one second longer.
constexpr std::chrono::milliseconds s_lookupLifetime{5000};

/// Responds to a look-up with the hosts in the order in which the client should try them. A stopping host leaves itself out.
/// Precondition: none. Thread safety: safe from any thread.
HttpResponse answerLookup(const LookupQuery &query, const RoutingView &view, const HostId &ownHost, const RegionId &ownRegion, bool stopping);

} // namespace Trefoil
