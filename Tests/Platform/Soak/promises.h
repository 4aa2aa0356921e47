#pragma once

#include <Platform/Soak/customerpromises.h>
#include <Platform/Soak/promisetypes.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil::Soak
{

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

    /// The store got a version of the configuration's customers between the two times. Precondition: as for CustomerPromises::configured().
    void customersConfigured(CustomerVersions customers, BootTime sentAt, BootTime acknowledgedAt);

    /// The upstream must get no further request. Precondition: until is when the ban ends.
    void upstreamBanned(const std::string &upstream, Disturbance ban);

    /// Something else that must not happen, such as a process that ended by itself.
    void note(const std::string &violation);

    /// All violations, with the request they concern. Precondition: no request is in work any more.
    std::vector<std::string> violations() const;

    /// Requests by their end, and executions.
    std::string summary() const;

    /// Requests that ended and must be served while nothing fails, and those of them that were served.
    std::size_t entitled() const;
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

    void checkCustomers(std::vector<std::string> &found) const;
    /// When all hosts must know a limit that was written at a time. Hosts that don't know it by the revocation time serve no customers.
    BootTime limitInForceBy(BootTime writtenAt) const;

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
    std::optional<CustomerPromises> m_customers;
    std::vector<std::string> m_notes;
};

} // namespace Trefoil::Soak
