#pragma once

#include <LibGateway/gatewayheaders.h>
#include <LibHttp/connectionpool.h>

namespace Trefoil
{

/// What is known of the request at the upstream after an attempt.
enum class Execution {
    /// Certainly not run, and it will not.
    NotRun,
    /// It ran, or it may have, or it still may.
    Possible,
};

/// How one attempt at one upstream ended.
struct AttemptEnd
{
    AttemptOutcome outcome = AttemptOutcome::Broken;
    Execution execution = Execution::Possible;
    /// The upstream's complete response to this request, unless it only says that the request did not run.
    std::optional<HttpResponse> response{};
    std::optional<LoadReport> load{};
    /// One word for logs, such as "shed".
    std::string reason{};
    /// Bytes of the request have reached, or may have reached, the upstream.
    bool wasSent = true;
    /// The attempt lasted as long as the response was awaited.
    bool timedOut = false;
    /// Another upstream has the address.
    bool isMisdirected = false;
};

/// Reads what a call to an upstream means for the request. Precondition: none. Thread safety: safe from any thread.
AttemptEnd classifyCall(CallResult result, const GatewayHeaders &headers);

} // namespace Trefoil
