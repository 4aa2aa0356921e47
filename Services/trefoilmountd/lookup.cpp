#include <Services/trefoilmountd/lookup.h>

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace Trefoil
{

namespace
{

/// Covers the failure of some hosts of the first region, and leaves room for other regions in case the whole region fails.
constexpr std::size_t s_maximumHostsOfFirstRegion = 4;
constexpr std::size_t s_maximumHostsInResponse = 8;

std::uint16_t indexOfRegion(const LookupTable &table, const RegionId &region)
{
    const auto found = std::find(table.regions().begin(), table.regions().end(), region);
    return found == table.regions().end() ? 0 : static_cast<std::uint16_t>(found - table.regions().begin());
}

void appendHosts(std::string &body, const RoutingView &view, const std::vector<std::uint16_t> &order, const HostId *omitted)
{
    const RegionId *firstRegion = nullptr;
    std::size_t hostsOfFirstRegion = 0;
    std::size_t listed = 0;
    for (const std::uint16_t index : order) {
        const HostRouting &host = view.hosts[index];
        if (omitted && host.id == *omitted) {
            continue;
        }
        firstRegion = firstRegion ? firstRegion : &host.region;
        if (host.region == *firstRegion && ++hostsOfFirstRegion > s_maximumHostsOfFirstRegion) {
            continue;
        }
        if (listed > 0) {
            body += ',';
        }
        body += (*view.hostTexts)[index];
        if (++listed == s_maximumHostsInResponse) {
            return;
        }
    }
}

} // namespace

HttpResponse answerLookup(const LookupQuery &query, const RoutingView &view, const HostId &ownHost, const RegionId &ownRegion, bool stopping)
{
    if (!view.findService(query.service)) {
        return errorResponse(404, "unknown-service", "service", fmt::format("no service \"{}\"", query.service.value()));
    }
    if (!view.lookup || !view.ranking || view.lookup->regions().empty()) {
        return errorResponse(503, "no-configuration", "", "this host has no configuration yet");
    }
    auto entry = view.lookup->find(query.client);
    if (!entry) {
        // A client outside all blocks belongs to the region of the host that receives the look-up.
        entry = LookupEntry{indexOfRegion(*view.lookup, ownRegion), 0};
    }
    std::string body;
    body.reserve(1024);
    body += R"({"service":")";
    body += query.service.value();
    body += R"(","region":")";
    body += view.lookup->regions()[entry->region].value();
    body += R"(","lifetimeMs":)";
    body += fmt::format_int(s_lookupLifetime.count()).c_str();
    body += R"(,"hosts":[)";
    appendHosts(body, view, view.ranking->rank(entry->region, entry->partition), stopping ? &ownHost : nullptr);
    body += "]}";
    return jsonResponse(200, std::move(body));
}

} // namespace Trefoil
