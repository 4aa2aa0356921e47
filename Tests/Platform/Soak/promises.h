#pragma once

#include <LibCore/bootclock.h>

#include <cstdint>
#include <map>
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

/// Collects what callers and upstreams saw, and compares it with what the system promises.
/// Thread safety: one thread at a time.
class Promises
{
public:
    void ended(const CallerRequest &request);
    void began(const Execution &execution);

    /// A host was paused, killed, started or stopped. Precondition: from <= until.
    void hostDisturbed(std::size_t host, Disturbance disturbance);

    /// A host was killed and is ready again at the end. Precondition: from <= until.
    void hostKilled(std::size_t host, Disturbance disturbance);

    /// A host was told to stop.
    void hostStopped(std::size_t host, BootTime at);

    /// A request of a caller that stays until the host is gone.
    void unanswered(const UnansweredRequest &request);

    /// Bytes to the upstream arrived late or not at all. Precondition: from <= until.
    void linkDisturbed(const std::string &upstream, Disturbance disturbance);

    /// Hosts could not learn of changes; those of this time have s_changeBound from its end. Precondition: from <= until.
    void storeDisturbed(Disturbance disturbance);

    /// A version of the configuration changes the route. Precondition: calls come in the order of their times.
    void routeChanged(const std::string &route, RouteChange change);

    /// The upstream must get no further request. Precondition: until is when the ban ends.
    void upstreamBanned(const std::string &upstream, Disturbance ban);

    /// Something else that must not happen, such as a process that ended by itself.
    void note(const std::string &violation);

    /// All violations, with the request they concern. Precondition: no request is in work any more.
    std::vector<std::string> violations() const;

    /// Requests by their end, and executions.
    std::string summary() const;

    /// Requests that ended, and those of them that were served.
    std::size_t requests() const
    {
        return m_requests.size();
    }
    std::size_t served() const;

private:
    void checkCount(const CallerRequest &request, std::size_t executions, std::vector<std::string> &found) const;
    void checkEnd(const CallerRequest &request, std::vector<std::string> &found) const;
    void checkLost(const UnansweredRequest &request, std::size_t executions, std::vector<std::string> &found) const;
    void checkExecution(const CallerRequest &request, const Execution &execution, std::vector<std::string> &found) const;
    bool isCalm(std::size_t host, BootTime from, BootTime until) const;
    bool knowsChanges(std::size_t host, BootTime from, BootTime until) const;
    void checkRoute(const CallerRequest &request, const Execution &execution, BootTime reachedAt, std::vector<std::string> &found) const;
    /// When the host must know what was written at a time.
    BootTime inForceBy(std::size_t host, BootTime writtenAt) const;
    /// Versions that may be in force at the host at some moment of a time; empty when any may be.
    std::vector<RouteChange> versionsInForce(const CallerRequest &request, BootTime from, BootTime until) const;

    std::vector<CallerRequest> m_requests;
    std::multimap<std::string, Execution> m_executions;
    std::map<std::size_t, std::vector<Disturbance>> m_hosts;
    std::map<std::size_t, std::vector<Disturbance>> m_kills;
    std::map<std::size_t, std::vector<BootTime>> m_stops;
    std::vector<UnansweredRequest> m_unanswered;
    std::map<std::string, std::vector<Disturbance>> m_links;
    std::vector<Disturbance> m_store;
    std::map<std::string, std::vector<RouteChange>> m_routes;
    std::multimap<std::string, Disturbance> m_bans;
    std::vector<std::string> m_notes;
};

} // namespace Trefoil::Soak
