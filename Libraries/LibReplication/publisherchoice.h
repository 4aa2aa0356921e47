#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Trefoil
{

struct PublisherChoiceSettings
{
    HostId self;
    /// Hosts of an availability zone per publisher. Bounds how much a publisher sends.
    std::size_t hostsPerPublisher = 12;
    /// In zones with fewer hosts each one reads the store itself: a publisher would call the store more often than they do.
    std::size_t minimumZoneSize = 5;
    /// Link of a host in Mbit/s, 0 where it is not known. Hosts with wider links publish first, since a publisher sends each change to all of its
    /// subscribers. Empty where all links count as equal.
    std::function<double(const HostId &host)> linkMegabits{};
};

/// The host reads the store's feeds and serves subscribers.
struct PublisherRole
{
};

/// The host reads the store's feeds for itself only.
struct StandaloneRole
{
};

/// The host receives changes from a publisher.
struct SubscriberRole
{
    HostId publisher;
};

using FeedRole = std::variant<PublisherRole, StandaloneRole, SubscriberRole>;

/// Sorts hosts in the rendezvous order of a key. Precondition: none. Thread safety: safe from any thread.
std::vector<HostId> rankHosts(const std::vector<HostId> &hosts, std::uint64_t key);

/// The hosts that publish the feeds among the hosts of a zone, the same on all hosts that see the same ones.
/// Precondition: hostsPerPublisher is positive. Thread safety: safe from any thread.
std::vector<HostId> publishersAmong(const std::vector<HostId> &hosts, const PublisherChoiceSettings &settings);

/// Chooses the publisher in its availability zone to which a host subscribes instead of reading the store's feeds itself. The first
/// live hosts in rendezvous order are publishers and the others subscribe to them, so that hosts agree without messages and the load
/// of the store grows with the number of zones, not of hosts: otherwise all hosts of a large deployment would read each change from
/// the store at once. Where hosts disagree, or a publisher fails, subscribers read the store themselves.
/// Thread safety: one thread at a time.
class PublisherChoice
{
public:
    /// Precondition: hostsPerPublisher is positive.
    explicit PublisherChoice(PublisherChoiceSettings settings);

    /// Role of this host among the live hosts of its zone. Precondition: liveHosts contains this host.
    FeedRole role(const std::vector<HostId> &liveHosts, BootTime now) const;

    /// The host from which this one gets changes while it doesn't reach the store, whatever its role; nothing when there is none. The other hosts
    /// have chosen among themselves by then, since they see from its beacons that it doesn't reach the store.
    /// Precondition: as for role().
    std::optional<HostId> substitute(const std::vector<HostId> &liveHosts, BootTime now) const;

    /// Precondition: none.
    const PublisherChoiceSettings &settings() const
    {
        return m_settings;
    }

    /// Excludes a publisher from the choice until a point in time. Precondition: none.
    void exclude(const HostId &host, BootTime until);

private:
    /// The first of some publishers, in an order of this host's own, that isn't excluded. Spreads the hosts over the publishers.
    std::optional<HostId> firstUsable(const std::vector<HostId> &publishers, BootTime now) const;

    PublisherChoiceSettings m_settings;
    std::map<HostId, BootTime> m_excludedUntil;
};

} // namespace Trefoil
