#pragma once

#include <LibHttp/message.h>
#include <LibSteering/upstreammodel.h>

#include <optional>
#include <string>

namespace Trefoil
{

/// Names of the headers that the gateway reads and writes. The deployment's adapter sets them.
struct GatewayHeaders
{
    /// From the caller and back: id of one attempt of the caller.
    std::string requestId = "Trefoil-Request-Id";
    /// From the caller and to the upstream: milliseconds for which the response is awaited.
    std::string timeLeft = "Trefoil-Deadline-Ms";
    /// From the caller: what the request is about.
    std::string affinityKey = "Trefoil-Affinity";
    /// To the upstream: its id; another upstream at the address rejects the request.
    std::string expectedUpstream = "Trefoil-Expect-Upstream";
    /// From the upstream: the request did not run and will not.
    std::string notRun = "Trefoil-Not-Started";
    /// From the upstream: "running,waiting,slots".
    std::string load = "Trefoil-Load";
};

/// Copies the headers that concern more than one connection, also leaving out those that the Connection header names.
/// Precondition: none. Thread safety: one thread at a time.
void copyEndToEndFields(const HttpHeaders &from, HttpHeaders &to);

/// Reads "running,waiting,slots"; nothing when it has another form. Precondition: none. Thread safety: safe from any thread.
std::optional<LoadReport> parseLoadReport(std::string_view text);

/// Reads a whole number of milliseconds; nothing when it is none or negative. Precondition: none. Thread safety: safe from any thread.
std::optional<std::chrono::milliseconds> parseMilliseconds(std::string_view text);

} // namespace Trefoil
