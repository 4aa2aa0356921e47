#pragma once

#include <LibHttp/message.h>
#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/routingview.h>

#include <chrono>

namespace Trefoil
{

/// How long callers use a look-up response; a stopping host serves for this time and one second more.
constexpr std::chrono::milliseconds s_lookupLifetime{5000};

/// Answers a look-up: hosts in the order in which the client should try them. When this host is stopping it is left out.
/// Precondition: none. Thread safety: safe from any thread.
HttpResponse answerLookup(const LookupQuery &query, const RoutingView &view, const HostId &ownHost, const RegionId &ownRegion, bool stopping);

} // namespace Trefoil
