#pragma once

#include <LibCore/units.h>
#include <LibSteering/relaycounter.h>

#include <cstddef>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace Trefoil
{

/// Another host of the own region with free slots in its last heartbeat. Best reported as a mean over the time between two heartbeats:
/// a host has few slots of an upstream, and the number free at one instant tells little about the next half second.
struct RelayCandidate
{
    SlotCount freeSlots;
    std::shared_ptr<RelayCounter> relays;
};

/// A chosen host, with its place in the list of targets.
struct ChosenTarget
{
    std::size_t index = 0;
    RelayPlace place;
};

/// Chooses the host to which a request is relayed when this host has no free slot. Made anew with each heartbeat round.
class RelayTargets
{
public:
    /// Precondition: no counter is null.
    explicit RelayTargets(const std::vector<RelayCandidate> &targets);

    /// A host drawn in proportion to its free slots, of up to 16 from a random place on; nothing when none has one.
    /// Precondition: the request was not relayed before. Thread safety: safe from any thread with a generator of its own; lock-free.
    std::optional<ChosenTarget> choose(pcg32 &generator) const;

    /// True when any of the hosts is believed to have a free slot. Precondition: none. Thread safety: safe from any thread.
    bool hasFreeSlot() const;

private:
    std::vector<ReportedSlots> m_targets;
};

} // namespace Trefoil
