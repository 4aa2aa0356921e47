#pragma once

#include <LibCore/bootclock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil::Soak
{

/// How a request ended for its caller.
enum class ResponseKind {
    /// The upstream's response.
    Served,
    /// 503: told that it did not run.
    Rejected,
    /// 401 and 429, which tell the same.
    Unauthorized,
    QuotaExceeded,
    /// 404, 502 or 504.
    Failed,
    /// The connection ended without a complete response, or none could be opened.
    ConnectionLost,
    /// The caller gave up long after the request's time had passed.
    Held,
};

/// One request as its caller sees it.
struct CallerRequest
{
    std::string id;
    std::string route;
    std::size_t host = 0;
    bool isIdempotent = false;
    BootTime sentAt;
    std::chrono::milliseconds timeout{0};
    BootTime endedAt;
    ResponseKind end = ResponseKind::Served;
    std::string body{};
    /// The key that it was sent with; empty when it had none, or headers that identify nobody.
    std::string key{};
    bool isPublic = false;
    /// Must be served while nothing fails.
    bool isEntitled = true;
};

/// A request whose connection ended without a complete response, as its caller saw it.
struct UnansweredRequest
{
    std::string id;
    std::size_t host = 0;
    BootTime sentAt;
    BootTime endedAt;
    /// The host took the request from the kernel, which resets a connection that is closed with unread bytes.
    bool endedInOrder = false;
};

/// One execution as its upstream sees it.
struct Execution
{
    std::string id;
    std::string service;
    std::string upstream;
    BootTime begunAt;
    /// Time that the request still has, as the host told; absent when it told none.
    std::optional<std::chrono::milliseconds> timeLeft{};
    /// Region of the upstream.
    std::string region{};
    /// The customer's name as the upstream got it; several are joined by commas.
    std::string customer{};
};

/// A time in which less is promised.
struct Disturbance
{
    BootTime from;
    BootTime until;
};

/// What a version of the configuration says of a route, and when it was written.
struct RouteChange
{
    BootTime at;
    std::string service;
    /// Regions that the route allows; empty when it allows all.
    std::vector<std::string> regions{};
};

/// How long the system may take until a change is in force everywhere.
constexpr std::chrono::milliseconds s_changeBound{2000};
/// A request that crosses the close of its connection ends within this time.
constexpr std::chrono::milliseconds s_lossSlack{200};
/// Timers, scheduling and the network between the processes of one machine.
constexpr std::chrono::milliseconds s_tolerance{500};

} // namespace Trefoil::Soak
