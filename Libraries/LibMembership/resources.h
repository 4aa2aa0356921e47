#pragma once

#include <LibConfiguration/configuration.h>

#include <optional>
#include <vector>

/// Membership of entry hosts and the division of limits among them, as pure state machines: time is passed in, and
/// messages and store requests are values.
namespace Trefoil
{

using ResourceId = StrongId<struct ResourceIdTag, std::string>;

/// A limit that the hosts of one region share.
struct Resource
{
    ResourceId id;
    /// Resources of one group are shared as one: a host's fair share counts over the group. Empty for a resource on its own.
    std::string group{};
    std::int64_t total = 0;
    /// A windowed resource is spent per interval; zero for one that is held.
    Milliseconds window{0};
    /// A host takes of this resource in proportion to its grant of that one.
    std::optional<ResourceId> proportionalTo{};
};

ResourceId slotsResource(const UpstreamId &upstream);
ResourceId connectionsResource(const UpstreamId &upstream);
ResourceId shiftResource(const ServiceId &service);
ResourceId linkResource(const RegionId &from, const RegionId &to);

/// The resources that the hosts of a region share: slots and connections of its upstreams, the shift caps into it, and
/// the links that leave it. A region's limit is a percentage of its slots, which each host applies to its own grants.
/// Precondition: the configuration is valid. Thread safety: safe from any thread.
std::vector<Resource> resourcesOf(const Configuration &configuration, const RegionId &region);

} // namespace Trefoil
