#include <LibMembership/resources.h>

namespace Trefoil
{

namespace
{

/// Interval over which the rate of a link is limited.
constexpr Milliseconds s_linkWindow{1000};

void addService(std::vector<Resource> &resources, const ServiceConfiguration &service, const RegionId &region)
{
    for (const auto &upstream : service.upstreams) {
        if (upstream.region != region) {
            continue;
        }
        const ResourceId slots = slotsResource(upstream.id);
        resources.push_back({slots, service.id.value(), upstream.slots.value()});
        resources.push_back({connectionsResource(upstream.id), {}, upstream.connections.value(), Milliseconds(0), slots});
    }
    resources.push_back({shiftResource(service.id), {}, service.shiftCap.requests.value(), service.shiftCap.interval});
}

} // namespace

ResourceId slotsResource(const UpstreamId &upstream)
{
    return ResourceId("slots/" + upstream.value());
}

ResourceId connectionsResource(const UpstreamId &upstream)
{
    return ResourceId("connections/" + upstream.value());
}

ResourceId shiftResource(const ServiceId &service)
{
    return ResourceId("shift/" + service.value());
}

ResourceId linkResource(const RegionId &from, const RegionId &to)
{
    return ResourceId("link/" + from.value() + "/" + to.value());
}

std::vector<Resource> resourcesOf(const Configuration &configuration, const RegionId &region)
{
    std::vector<Resource> resources;
    for (const auto &service : configuration.services) {
        addService(resources, service, region);
    }
    for (const auto &link : configuration.links) {
        if (link.from == region) {
            resources.push_back({linkResource(link.from, link.to), {}, link.capacity.value(), s_linkWindow});
        }
    }
    return resources;
}

} // namespace Trefoil
