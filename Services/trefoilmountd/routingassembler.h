#pragma once

#include <Services/trefoilmountd/routingview.h>

#include <map>
#include <string>

namespace Trefoil
{

/// Derives from a view what the request path reads, and keeps the parts that must outlive it: health, ramps, shift
/// windows, link budgets and connection limits. Thread safety: control thread only.
class RoutingAssembler
{
public:
    /// Precondition: the ids are those of this host.
    RoutingAssembler(HostId host, RegionId region, ZoneId zone);

    /// Fills the derived members. Only upstreams with a granted slot are selected, so a change of grants needs a new view.
    /// Precondition: the members set by control loops are complete.
    void assemble(RoutingView &view);

private:
    /// Parts of one service that outlive views.
    struct ServiceParts
    {
        std::shared_ptr<UpstreamGroup> group = std::make_shared<UpstreamGroup>();
        std::shared_ptr<UpstreamSlots> regionLimit = UpstreamSlots::create();
        std::shared_ptr<ShiftWindow> shiftWindow;
        std::chrono::milliseconds shiftInterval{0};
    };

    /// Parts of one upstream that outlive views.
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
