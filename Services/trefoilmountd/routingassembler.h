#pragma once

#include <Services/trefoilmountd/routingview.h>

#include <map>
#include <string>

namespace Trefoil
{

/// Derives the parts of a routing view that the request path reads, and owns the state that outlives a view: upstream
/// health, ramps, shift windows, link budgets and connection limits. Thread safety: control thread only.
class RoutingAssembler
{
public:
    /// Precondition: the ids are those of this host.
    RoutingAssembler(HostId host, RegionId region, ZoneId zone);

    /// Fills the derived members. Only upstreams with granted slots can be selected, so each change of grants needs a new view.
    /// Precondition: the members set by control loops are complete.
    void assemble(RoutingView &view);

private:
    /// State of one service that outlives views.
    struct ServiceParts
    {
        std::shared_ptr<UpstreamGroup> group = std::make_shared<UpstreamGroup>();
        std::shared_ptr<UpstreamSlots> regionLimit = UpstreamSlots::create();
        std::shared_ptr<ShiftWindow> shiftWindow;
        std::chrono::milliseconds shiftInterval{0};
    };

    /// State of one upstream that outlives views.
    struct UpstreamParts
    {
        std::shared_ptr<UpstreamSlots> slots;
        std::shared_ptr<UpstreamTracker> tracker;
        std::shared_ptr<ConnectionLimit> connections;
    };

    std::shared_ptr<const ServiceRouting> assembleService(const ServiceConfiguration &service, const RoutingView &view);
    UpstreamParts &partsOf(const UpstreamState &upstream, const ServiceParts &service);
    void assembleLinks(RoutingView &view);
    void assembleLookup(RoutingView &view);
    void assembleRanking(RoutingView &view);
    void removeUnusedUpstreams(const RoutingView &view);

    HostId m_host;
    RegionId m_region;
    ZoneId m_zone;
    std::map<ServiceId, ServiceParts> m_services;
    std::map<UpstreamId, UpstreamParts> m_upstreams;
    std::map<RegionId, std::shared_ptr<LinkBudget>> m_links;
    std::shared_ptr<const Configuration> m_lookupConfiguration;
    std::string m_rankingKey;
    std::shared_ptr<const LookupTable> m_lookup;
    std::shared_ptr<const HostRanking> m_ranking;
    std::shared_ptr<const std::vector<std::string>> m_hostTexts;
};

} // namespace Trefoil
