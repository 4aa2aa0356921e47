#pragma once

#include <LibCore/bootclock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

/// One execution as its upstream sees it.
struct Execution
{
    std::string id;
    std::string service;
    std::string upstream;
    BootTime begunAt;
    /// Time that the request still has, as the host told; absent when it told none.
    std::optional<std::chrono::milliseconds> timeLeft{};
};

/// A time in which less is promised.
struct Disturbance
{
    BootTime from;
    BootTime until;
};

/// Since when a version of the configuration sends a route to a service.
struct RouteChange
{
    BootTime at;
    std::string service;
};

/// How long the system may take until a change is in force everywhere.
constexpr std::chrono::milliseconds s_changeBound{2000};
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

    /// Bytes to the upstream arrived late or not at all. Precondition: from <= until.
    void linkDisturbed(const std::string &upstream, Disturbance disturbance);

    /// Hosts could not learn of changes. Precondition: from <= until.
    void storeDisturbed(Disturbance disturbance);

    /// The route goes to the service from now on; calls come in the order of their times.
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
    void checkExecution(const CallerRequest &request, const Execution &execution, std::vector<std::string> &found) const;
    bool isCalm(std::size_t host, BootTime from, BootTime until) const;
    bool knowsChanges(std::size_t host, BootTime from, BootTime until) const;
    std::set<std::string> allowedServices(const std::string &route, BootTime from, BootTime until) const;

    std::vector<CallerRequest> m_requests;
    std::multimap<std::string, Execution> m_executions;
    std::map<std::size_t, std::vector<Disturbance>> m_hosts;
    std::map<std::string, std::vector<Disturbance>> m_links;
    std::vector<Disturbance> m_store;
    std::map<std::string, std::vector<RouteChange>> m_routes;
    std::multimap<std::string, Disturbance> m_bans;
    std::vector<std::string> m_notes;
};

} // namespace Trefoil::Soak
