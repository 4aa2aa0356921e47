#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <chrono>
#include <map>
#include <variant>
#include <vector>

namespace Trefoil
{

struct PublisherChoiceSettings
{
    HostId self;
    /// Hosts of an availability zone for each one that reads the store's feeds. Bounds what a publisher sends.
    std::size_t hostsPerPublisher = 12;
    /// In smaller zones every host reads the store itself: a publisher calls the store more often than the few hosts would.
    std::size_t minimumZoneSize = 5;
};

/// The host reads the store's feeds, and others follow it.
struct PublisherRole
{
};

/// The host reads the store's feeds for itself alone.
struct StandaloneRole
{
};

struct SubscriberRole
{
    HostId publisher;
};

using FeedRole = std::variant<PublisherRole, StandaloneRole, SubscriberRole>;

/// Which host of its availability zone this one follows instead of reading the store's feeds itself. The first live hosts in a
/// rendezvous order read the store, the others follow them, so that hosts agree without messages and the store's load grows
/// with the zones, not with the hosts. Where hosts disagree, or a publisher fails, subscribers read the store for themselves.
/// Answers changes that all hosts of a large deployment would read from the store at once.
/// Thread safety: one thread at a time.
class PublisherChoice
{
public:
    /// Precondition: hostsPerPublisher is positive.
    explicit PublisherChoice(PublisherChoiceSettings settings);

    /// Precondition: liveHosts holds this host.
    FeedRole role(const std::vector<HostId> &liveHosts, BootTime now) const;

    /// Leaves a publisher out for a while. Precondition: none.
    void exclude(const HostId &host, BootTime until);

private:
    PublisherChoiceSettings m_settings;
    std::map<HostId, BootTime> m_excludedUntil;
};

} // namespace Trefoil
