#pragma once

#include <LibHttp/message.h>
#include <LibSteering/upstreammodel.h>

#include <optional>
#include <string>

namespace Trefoil
{

/// Names of the headers that the gateway reads and writes; the platform's adapter sets them.
struct GatewayHeaders
{
    /// From the caller, returned in the response: id of one attempt of the caller.
    std::string requestId = "Trefoil-Request-Id";
    /// From the caller, and to the upstream with the time left: milliseconds until the deadline of the response.
    std::string timeLeft = "Trefoil-Deadline-Ms";
    /// From the caller: affinity key; requests with the same key prefer the same upstream.
    std::string affinityKey = "Trefoil-Affinity";
    /// To the upstream: id of the intended upstream; another upstream at the same address rejects the request.
    std::string expectedUpstream = "Trefoil-Expect-Upstream";
    /// From the upstream: the request did not run and will not.
    std::string notRun = "Trefoil-Not-Started";
    /// From the upstream: its load as "running,waiting,slots", optionally with the time that work takes, where 100 is the usual time.
    std::string load = "Trefoil-Load";
    /// From the upstream: it is leaving and wants no further requests.
    std::string leaving = "Trefoil-Leaving";
    /// From the upstream: its signature, which every success bears. Empty requires none.
    std::string stamp{};
    /// To the upstream: name of the customer whose key the request carries.
    std::string customer = "Trefoil-Customer";
    /// From the caller: the customer's key, after the scheme and blanks.
    std::string credential = "Authorization";
    std::string credentialScheme = "Token";
};

/// Copies the end-to-end headers: all but hop-by-hop headers and those that the Connection header names.
/// Precondition: none. Thread safety: one thread at a time.
void copyEndToEndFields(const HttpHeaders &from, HttpHeaders &to);

/// Parses "running,waiting,slots" or "running,waiting,slots,work", where work is positive and 100 is the usual time; nothing when the text has another form. Precondition: none. Thread safety: safe from any thread.
std::optional<LoadReport> parseLoadReport(std::string_view text);

/// The pause that an upstream asks for with Retry-After.
struct RequestedPause
{
    /// Nothing without a header, or with one that can't be read. At most s_maximumPause.
    std::optional<std::chrono::milliseconds> pause{};
    /// Whether a header was left out or cut to the maximum.
    bool isAdjusted = false;
};

/// Longest pause that is granted, so that one absurd value doesn't exclude an upstream for good.
constexpr std::chrono::milliseconds s_maximumPause = std::chrono::seconds(60);

/// Parses Retry-After headers, in seconds with fractions; of several, the longest counts. Precondition: none.
/// Thread safety: safe from any thread.
RequestedPause parseRequestedPause(const HttpHeaders &headers);

/// Parses a whole number of milliseconds; nothing when the text is no number, or the number is negative or above 24 hours.
/// Precondition: none. Thread safety: safe from any thread.
std::optional<std::chrono::milliseconds> parseMilliseconds(std::string_view text);

} // namespace Trefoil
