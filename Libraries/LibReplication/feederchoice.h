#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <chrono>
#include <map>
#include <variant>
#include <vector>

namespace Trefoil
{

struct FeederChoiceSettings
{
    HostId self;
    /// Hosts of an availability zone for each one that reads the store's feeds. Bounds what a feeder sends.
    std::size_t hostsPerFeeder = 12;
    /// In smaller zones every host reads the store itself: a feeder calls the store more often than the few hosts would.
    std::size_t smallestZone = 5;
};

/// The host reads the store's feeds, and others follow it.
struct ReadsForOthers
{
};

/// The host reads the store's feeds for itself alone.
struct ReadsForItself
{
};

struct Follows
{
    HostId feeder;
};

using FeedRole = std::variant<ReadsForOthers, ReadsForItself, Follows>;

/// Which host of its availability zone this one follows instead of reading the store's feeds itself. The first live hosts in a
/// rendezvous order read the store, the others follow them, so that hosts agree without messages and the store's load grows
/// with the zones, not with the hosts. Where hosts disagree, or a feeder fails, followers read the store for themselves.
/// Answers changes that all hosts of a large deployment would read from the store at once.
/// Thread safety: one thread at a time.
class FeederChoice
{
public:
    /// Precondition: hostsPerFeeder is positive.
    explicit FeederChoice(FeederChoiceSettings settings);

    /// Precondition: liveHosts holds this host.
    FeedRole role(const std::vector<HostId> &liveHosts, BootTime now) const;

    /// Leaves a feeder out for a while. Precondition: none.
    void distrust(const HostId &host, BootTime until);

private:
    FeederChoiceSettings m_settings;
    std::map<HostId, BootTime> m_distrustedUntil;
};

} // namespace Trefoil
