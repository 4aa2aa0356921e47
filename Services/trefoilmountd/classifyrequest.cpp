#include <Services/trefoilmountd/classifyrequest.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

template<typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    const auto found = std::find_if(items.begin(), items.end(), [&id](const Item &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

RegionId homeRegion(const ParsedRequest &parsed, const RoutingView &view, const RegionId &ownRegion)
{
    // The host that received the request from its caller decides, so that all hosts count it for the same region.
    if (!parsed.relayedHome.value().empty()) {
        return parsed.relayedHome;
    }
    const RegionId *home = view.lookup ? view.lookup->homeRegion(parsed.client) : nullptr;
    return home ? *home : ownRegion;
}

} // namespace

ClassifiedInput classifyRequest(ParsedRequest parsed, const RoutingView &view, const RegionId &ownRegion, RequestId freshId, BootTime now)
{
    const Configuration &configuration = *view.configuration;
    if (configuration.services.empty()) {
        // The host has just started and has not received a configuration; callers try the next host.
        return errorResponse(503, "not-ready", "", "this host has no configuration yet");
    }
    if (!findById(configuration.services, parsed.service)) {
        return errorResponse(404, "unknown-service", "service", fmt::format("no service \"{}\"", parsed.service.value()));
    }
    const TenantConfiguration *tenant = findById(configuration.tenants, parsed.tenant);
    if (!tenant) {
        return errorResponse(400, "unknown-tenant", "Trefoil-Tenant", fmt::format("no tenant \"{}\"", parsed.tenant.value()));
    }
    const ClassConfiguration *requestClass = findById(configuration.classes, parsed.requestClass);
    if (!requestClass) {
        return errorResponse(400, "unknown-class", "Trefoil-Class", fmt::format("no class \"{}\"", parsed.requestClass.value()));
    }
    ClassifiedRequest request;
    request.mayRepeat = requestClass->mayRepeat && parsed.mayRepeat.value_or(true);
    if (!request.mayRepeat && parsed.key.value().empty()) {
        return errorResponse(400, "key-required", "Idempotency-Key", "a request that must not repeat needs a key");
    }
    request.id = parsed.relayedId.value().empty() ? std::move(freshId) : parsed.relayedId;
    request.deadline = now + parsed.timeLeft.value_or(requestClass->defaultDeadline);
    request.progressTimeout = requestClass->progressTimeout;
    request.tenantWeight = tenant->weight;
    request.mayWait = parsed.mayWait.value_or(requestClass->mayWait);
    request.home = homeRegion(parsed, view, ownRegion);
    request.moved = request.home != ownRegion;
    request.parsed = std::move(parsed);
    return request;
}

} // namespace Trefoil
