#pragma once

#include <LibGateway/gatewayheaders.h>
#include <LibHttp/connectionpool.h>

namespace Trefoil
{

/// Whether the upstream may have executed the request, as far as the attempt shows.
enum class Execution {
    /// The request did not run and will not.
    NotRun,
    /// The request ran, may have run or may still run.
    Possible,
};

/// How one attempt at one upstream ended.
struct AttemptEnd
{
    AttemptOutcome outcome = AttemptOutcome::Broken;
    Execution execution = Execution::Possible;
    /// The upstream's complete response to this request; empty when the response only reports that the request did not run.
    std::optional<HttpResponse> response{};
    std::optional<LoadReport> load{};
    /// Whether the upstream's response says that it is leaving.
    bool isUpstreamLeaving = false;
    /// The pause that a rejecting upstream asked for.
    RequestedPause requestedPause{};
    /// Reason for logs, such as "shed".
    std::string reason{};
    /// Whether bytes of the request have reached, or may have reached, the upstream.
    bool wasSent = true;
    /// Whether the attempt ended because the deadline passed or the connection stalled.
    bool timedOut = false;
    /// Whether the address now belongs to another upstream.
    bool isMisdirected = false;
    /// Whether all connections that this host may have to upstreams carry requests.
    bool isPoolExhausted = false;
    CallTrace trace{};
};

/// Derives how an attempt ended from the result of its call to the upstream. Precondition: none. Thread safety: safe from any thread.
AttemptEnd classifyCall(CallResult result, const GatewayHeaders &headers);

} // namespace Trefoil
