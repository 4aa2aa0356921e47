#include <Services/trefoilmountd/routingassembler.h>

#include <LibTelemetry/log.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Trefoil
{

namespace
{

const RegionConfiguration *findRegion(const Configuration &configuration, const RegionId &id)
{
    for (const auto &region : configuration.regions) {
        if (region.id == id) {
            return &region;
        }
    }
    return nullptr;
}

/// This host's share of an upstream's connections, proportional to its slot grant; the shares of all hosts never exceed the total.
ConnectionCount connectionShare(const UpstreamConfiguration &upstream, SlotCount granted)
{
    if (upstream.slots.value() <= 0) {
        return ConnectionCount(0);
    }
    const std::int64_t share = std::int64_t{upstream.connections.value()} * granted.value() / upstream.slots.value();
    return ConnectionCount(static_cast<std::int32_t>(std::min<std::int64_t>(share, upstream.connections.value())));
}

} // namespace

const std::shared_ptr<const ServiceRouting> *RoutingView::findService(const ServiceId &service) const
{
    for (const auto &candidate : services) {
        if (candidate->id == service) {
            return &candidate;
        }
    }
    return nullptr;
}

RoutingAssembler::RoutingAssembler(HostId host, RegionId region, ZoneId zone)
    : m_host(std::move(host))
    , m_region(std::move(region))
    , m_zone(std::move(zone))
{
}

void RoutingAssembler::assemble(RoutingView &view)
{
    view.services.clear();
    for (const auto &service : view.configuration->services) {
        view.services.push_back(assembleService(service, view));
    }
    assembleLinks(view);
    assembleLookup(view);
    assembleRanking(view);
    removeUnusedUpstreams(view);
}

std::shared_ptr<const ServiceRouting> RoutingAssembler::assembleService(const ServiceConfiguration &service, const RoutingView &view)
{
    ServiceParts &parts = m_services[service.id];
    if (!parts.shiftWindow || parts.shiftInterval != service.shiftCap.interval) {
        parts.shiftInterval = service.shiftCap.interval;
        parts.shiftWindow = std::make_shared<ShiftWindow>(service.shiftCap.interval);
    }
    auto routing = std::make_shared<ServiceRouting>();
    routing->id = service.id;
    routing->shiftWindow = parts.shiftWindow;
    std::vector<std::shared_ptr<UpstreamTracker>> trackers;
    std::int32_t upstreamCount = 0;
    SlotCount granted;
    for (const auto &upstream : view.upstreams) {
        if (upstream->service != service.id) {
            continue;
        }
        ++upstreamCount;
        UpstreamParts &upstreamParts = partsOf(*upstream, parts);
        if (upstream->slots->granted().value() == 0) {
            continue;
        }
        granted = granted + upstream->slots->granted();
        trackers.push_back(upstreamParts.tracker);
        routing->routes[upstream->configuration.id] = {upstream->configuration.address, upstreamParts.connections};
    }
    parts.group->setUpstreamCount(upstreamCount);
    const RegionConfiguration *region = findRegion(*view.configuration, m_region);
    parts.regionLimit->setGranted(DispatchGate::regionLimitGrant(granted, region ? region->limitPercent : 0));
    if (!trackers.empty() && region && !region->drained) {
        auto selector = std::make_shared<UpstreamSelector>(policyFor(service.objective), std::move(trackers), parts.group);
        routing->gate = std::make_shared<DispatchGate>(parts.regionLimit, parts.shiftWindow, std::move(selector));
    }
    return routing;
}

RoutingAssembler::UpstreamParts &RoutingAssembler::partsOf(const UpstreamState &upstream, const ServiceParts &service)
{
    UpstreamParts &parts = m_upstreams[upstream.configuration.id];
    if (parts.slots != upstream.slots) {
        parts.slots = upstream.slots;
        parts.tracker = std::make_shared<UpstreamTracker>(upstream.configuration.id, upstream.configuration.zone == m_zone, upstream.slots, service.group);
        parts.connections = ConnectionLimit::create(ConnectionCount(0));
    }
    parts.tracker->setLeaving(upstream.leaving || upstream.configuration.drained);
    parts.tracker->setWeight(upstream.configuration.weight);
    parts.connections->setGranted(connectionShare(upstream.configuration, upstream.slots->granted()));
    return parts;
}

void RoutingAssembler::assembleLinks(RoutingView &view)
{
    view.links.clear();
    for (const auto &link : view.configuration->links) {
        if (link.from != m_region) {
            continue;
        }
        auto &budget = m_links[link.to];
        if (!budget) {
            budget = LinkBudget::create();
        }
        view.links.push_back({link.to, link.delay, budget});
    }
    std::sort(view.links.begin(), view.links.end(), [](const LinkRouting &a, const LinkRouting &b) { return a.delay < b.delay; });
}

void RoutingAssembler::assembleLookup(RoutingView &view)
{
    if (m_lookupConfiguration != view.configuration) {
        auto table = LookupTable::create(*view.configuration);
        if (table.has_value()) {
            m_lookup = std::make_shared<LookupTable>(std::move(table.value()));
            m_rankingKey.clear();
        } else {
            writeLog(LogLevel::Error, "lookup-table-invalid", {{"findings", toText(table.error().findings)}});
        }
        m_lookupConfiguration = view.configuration;
    }
    view.lookup = m_lookup;
}

/// Every heartbeat can change a host's free slots; the ranking and the texts are rebuilt only when the content of look-up responses changes.
void RoutingAssembler::assembleRanking(RoutingView &view)
{
    std::vector<RankedHost> ranked;
    auto texts = std::make_shared<std::vector<std::string>>();
    std::string rankingKey;
    for (const auto &host : view.hosts) {
        ranked.push_back({host.id, host.region, host.zone, host.leaving});
        const nlohmann::ordered_json text = {
            {"id", host.id.value()}, {"address", host.callerAddress}, {"region", host.region.value()}, {"zone", host.zone.value()}};
        texts->push_back(text.dump());
        rankingKey += texts->back() + (host.leaving ? "leaving;" : "live;");
    }
    if (m_lookup && (!m_ranking || rankingKey != m_rankingKey)) {
        m_ranking = std::make_shared<HostRanking>(ranked, m_lookup->regions(), view.configuration->links);
        m_hostTexts = texts;
        m_rankingKey = rankingKey;
    }
    view.ranking = m_ranking;
    view.hostTexts = m_hostTexts;
}

/// Removes the state of upstreams that left the configuration; requests in flight keep theirs alive by shared pointers.
void RoutingAssembler::removeUnusedUpstreams(const RoutingView &view)
{
    std::set<UpstreamId> used;
    for (const auto &upstream : view.upstreams) {
        used.insert(upstream->configuration.id);
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        entry = used.count(entry->first) > 0 ? std::next(entry) : m_upstreams.erase(entry);
    }
}

} // namespace Trefoil
