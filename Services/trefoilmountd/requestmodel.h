#pragma once

#include <LibConfiguration/configuration.h>
#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>
#include <LibHttp/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// The values that the filters of the request path pass to each other.
namespace Trefoil
{

/// GET /v1/lookup.
struct LookupQuery
{
    ServiceId service;
    /// Client address in host byte order.
    std::uint32_t client = 0;
};

/// GET /v1/keys/<service>/<tenant>/<key>.
struct KeyQuery
{
    ServiceId service;
    TenantId tenant;
    RequestKey key;
};

/// The parameters of a request, syntactically valid but not yet checked against the configuration.
struct ParsedRequest
{
    std::string method;
    ServiceId service;
    /// Path and query at the upstream.
    std::string upstreamTarget;
    TenantId tenant;
    ClassId requestClass;
    std::optional<std::chrono::milliseconds> timeLeft{};
    std::optional<bool> mayWait{};
    std::optional<bool> mayRepeat{};
    RequestKey key{};
    /// Client address in host byte order; the caller's address when the request has no client header.
    std::uint32_t client = 0;
    /// Host that relayed the request; empty for a caller's request. Not trusted until the secret is checked.
    HostId relayedBy{};
    /// Request id and home region of a relayed request.
    RequestId relayedId{};
    RegionId relayedHome{};
};

using ParsedInput = std::variant<LookupQuery, KeyQuery, ParsedRequest, HttpResponse>;

/// A request whose service, tenant and class are declared, with all defaults applied.
struct ClassifiedRequest
{
    ParsedRequest parsed;
    RequestId id;
    BootTime deadline;
    std::chrono::milliseconds progressTimeout{0};
    std::int32_t tenantWeight = 100;
    bool mayWait = false;
    bool mayRepeat = true;
    /// Region of the client's block, or of the host that received the caller's request when no block contains the address.
    RegionId home;
    /// True when the home region is another one; such a request counts against the shift cap.
    bool moved = false;

    bool isRelayed() const
    {
        return !parsed.relayedBy.value().empty();
    }
};

using ClassifiedInput = std::variant<ClassifiedRequest, HttpResponse>;

/// A complete response of the upstream that belongs to the request.
struct Answered
{
    HttpResponse response;
};

/// The request did not run.
struct NotRun
{
    /// One of the reasons of the request metrics, such as "no-slot".
    std::string reason;
    /// Human-readable details; may be empty.
    std::string detail{};
    /// 429 for a full queue, 503 otherwise.
    int status = 503;
};

/// The request, or an earlier one with the same key, may have run.
struct OutcomeUnknown
{
    /// As for NotRun.
    std::string reason;
    std::string detail{};
    /// 409 while the first attempt is in flight, 410 for an expired key, 504 otherwise.
    int status = 504;
};

/// How a request ended.
using RequestEnd = std::variant<Answered, NotRun, OutcomeUnknown>;

} // namespace Trefoil
