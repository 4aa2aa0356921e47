#pragma once

#include <LibConfiguration/configuration.h>
#include <LibSteering/linkbudget.h>
#include <LibSteering/relaycounter.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Trefoil {

/// Another region as this host last heard of it. Heartbeats make it up to a second old.
struct RegionCandidate
{
    RegionId id;
    std::chrono::nanoseconds delay {0};
    /// Reachable, and neither drained nor lost.
    bool open = true;
    /// Of the service, over all hosts of the region.
    SlotCount freeSlots;
    SlotCount slots;
    /// Budget of the link towards the region and back.
    std::shared_ptr<LinkBudget> link;
    /// This host's open relays of the service to the region.
    std::shared_ptr<RelayCounter> relays;
};

/// This region as this host sees it.
struct OwnRegion
{
    RegionId id;
    bool open = true;
    /// Of the service, over all hosts of the region.
    SlotCount freeSlots;
    SlotCount slots;
};

/// What the choice of a region depends on.
struct RegionQuestion
{
    RegionId home;
    /// Came from another host; a request is relayed only once.
    bool relayed = false;
    /// This host, or another one of its region, has a slot for the request now.
    bool ownSlotFree = false;
    /// How long the request would wait for a slot of the own region; 0 when that is not known.
    std::chrono::nanoseconds expectedWait {0};
    /// Request and response together.
    Bytes estimate {1};
};

/// The own region serves the request. A moved one needs a place in the shift window when it is dispatched.
struct ServeHere
{
    bool moved = false;
};

/// Another region serves the request, if its shift window and limit admit it there.
struct RelayToRegion
{
    RegionId region;
    LinkReservation link;
    /// Held until the relay has ended.
    RelayPlace place;
};

/// No region has a place now; the request waits in the queue or ends as not-run.
struct NoRegion
{
    enum class Reason {
        OwnRegionFull,
        OwnRegionClosed,
        LinkFull,
    };
    Reason reason = Reason::OwnRegionFull;
};

using RegionDecision = std::variant<ServeHere, RelayToRegion, NoRegion>;

/// Chooses the region that serves a request. Made anew with each heartbeat round; the request path only reads it.
class RegionSelector
{
public:
    /// Precondition: each candidate has a link and a counter, and its report has just arrived.
    RegionSelector(Objective objective, OwnRegion own, std::vector<RegionCandidate> others);

    /// The own region while it has a slot; with the objective Headroom, a clearly emptier region already before that. Otherwise the nearest
    /// region (Latency) or the emptiest one (Headroom) that is open, has free slots and a link budget for the estimate. With the objective
    /// Latency a request stays when its wait is known to be shorter than the way to the other region and back.
    /// Precondition: the estimate is positive. Thread safety: safe from any thread; lock-free.
    RegionDecision decide(const RegionQuestion &question, BootTime now) const;

private:
    struct Candidate
    {
        RegionCandidate region;
        ReportedSlots slots;
    };

    std::optional<RelayToRegion> tryRelay(const RegionQuestion &question, double usedBelow, bool &linkWasFull, BootTime now) const;

    Objective m_objective;
    OwnRegion m_own;
    std::vector<Candidate> m_others;
};

} // namespace Trefoil
