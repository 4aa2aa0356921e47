#pragma once

#include <StandIns/platformserver.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Trefoil::StandIns
{

/// The platform's list of hosts and upstreams: GET /v1/hosts, with an entity tag. The list is set with
/// POST /control {"list": {"hosts": [...], "upstreams": [...]}}, and single entries with
/// {"hosts": [{"id", ...}], "upstreams": [...], "remove": [id]}, which add or replace by id. With {"lagMs": n} the list
/// shows each change n ms late.
/// Thread safety: one thread at a time.
class HostList
{
public:
    using Time = std::chrono::steady_clock::time_point;

    ServiceReply handle(const ServiceRequest &request, bool staleRead, Time now);

    /// Applies the members of a control request that concern the list.
    void control(const nlohmann::json &request, Time now);

    /// Keeps the present list for stale reads.
    void rememberState();

private:
    struct PendingChange
    {
        Time visibleAt;
        nlohmann::json list;
    };

    void showDueChanges(Time now);

    nlohmann::json m_newest = {{"hosts", nlohmann::json::array()}, {"upstreams", nlohmann::json::array()}};
    nlohmann::json m_visible = m_newest;
    nlohmann::json m_remembered = m_newest;
    std::vector<PendingChange> m_pending;
    std::chrono::milliseconds m_lag{0};
};

/// The host list's service; the list must outlive the server.
PlatformService hostListService(HostList &list);

} // namespace Trefoil::StandIns
