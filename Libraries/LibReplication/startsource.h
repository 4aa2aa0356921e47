#pragma once

#include <LibReplication/publisherchoice.h>

#include <optional>
#include <set>

namespace Trefoil
{

/// What a starting host knows of its availability zone.
struct StartKnowledge
{
    /// Time since the start of the process.
    std::chrono::milliseconds sinceStart{0};
    /// Time since the rows of the hosts were read; nothing before.
    std::optional<std::chrono::milliseconds> sinceHostsKnown{};
    /// Number of registered hosts of the zone, including this one.
    std::size_t registeredHosts = 1;
    /// Other hosts of the zone that run, whether or not they have read the tables.
    std::vector<HostId> live{};
    /// Those of them that have read the tables and reach the store.
    std::vector<HostId> ready{};
    /// Hosts that have refused a copy, or haven't answered.
    std::set<HostId> failed{};
};

/// The host reads the tables from the store.
struct ReadFromStore
{
};

/// The host looks for others for a moment.
struct AwaitOthers
{
};

/// The host copies the tables from another one.
struct CopyFrom
{
    HostId host;
};

using StartSource = std::variant<ReadFromStore, AwaitOthers, CopyFrom>;

/// Decides from where a starting host gets its first copy of the tables.
/// Handles starts of many hosts at once, such as the first start, a loss of power or a mass kill: each host would read every page of every
/// table from the store at the same moment. A host copies from a host that has the tables; where none has, the hosts that will be the
/// zone's publishers read the store and the others wait for them, for a bounded time. Without other hosts nothing is awaited.
/// Precondition: none. Thread safety: safe from any thread.
StartSource startSource(const StartKnowledge &knowledge, const PublisherChoiceSettings &settings);

} // namespace Trefoil
