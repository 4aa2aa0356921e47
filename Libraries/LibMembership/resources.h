#pragma once

#include <LibConfiguration/configuration.h>

#include <optional>
#include <vector>

/// Membership of entry hosts and the distribution of shared limits among them, as pure state machines: the caller passes
/// in the time, and messages and store requests are values.
namespace Trefoil
{

using ResourceId = StrongId<struct ResourceIdTag, std::string>;

/// A limit that is distributed among the hosts of one region.
struct Resource
{
    ResourceId id;
    /// Resources of one group are distributed together: a host's fair share is computed over the sum of the group. Empty
    /// for a resource without a group.
    std::string group{};
    std::int64_t total = 0;
    /// Interval for which the total of a rate-limited resource applies; zero for a resource that is held and released.
    Milliseconds window{0};
    /// A host's grant of this resource is proportional to its grant of the given one.
    std::optional<ResourceId> proportionalTo{};
};

ResourceId slotsResource(const UpstreamId &upstream);
ResourceId connectionsResource(const UpstreamId &upstream);
ResourceId shiftResource(const ServiceId &service);
ResourceId linkResource(const RegionId &from, const RegionId &to);

/// Returns the resources that the hosts of a region share: slots and connections of its upstreams, the shift caps into
/// it, and the links that leave it. The region's limit is no resource: it is a percentage of the region's slots, and each
/// host applies it to its own grants.
/// Precondition: the configuration is valid. Thread safety: safe from any thread.
std::vector<Resource> resourcesOf(const Configuration &configuration, const RegionId &region);

} // namespace Trefoil
