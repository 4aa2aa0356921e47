#pragma once

#include <LibConfiguration/configuration.h>
#include <LibSteering/linkbudget.h>
#include <LibSteering/regionbalance.h>
#include <LibSteering/relaycounter.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Trefoil
{

/// Another region as this host last heard of it. Heartbeats make it up to a second old.
struct RegionCandidate
{
    RegionId id;
    std::chrono::nanoseconds delay{0};
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
    /// The own region refused the request by its shift cap; another one may have room.
    bool ownShiftFull = false;
    /// How long the request would wait for a slot of the own region; 0 when that is not known.
    std::chrono::nanoseconds expectedWait{0};
    /// Request and response together.
    Bytes estimate{1};
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
    /// Preconditions: each candidate has a link and a counter, and its report has just arrived; balance is not null and kept from round to round.
    RegionSelector(Objective objective, OwnRegion own, std::vector<RegionCandidate> others, std::shared_ptr<RegionBalance> balance);

    /// The own region while it has a slot; with the objective Headroom, a share of the requests goes to the emptiest region before that. Otherwise
    /// the nearest region (Latency; the emptiest of those as near) or the emptiest one (Headroom) that is open, has free slots and a link
    /// budget for the estimate. A request stays
    /// when its wait is known to be shorter than the way to the other region and back. While a region is closed, what the others may take under
    /// their shift caps is needed for its requests: open regions then keep theirs except for very long waits, and balance nothing.
    /// Precondition: the estimate is positive. Thread safety: safe from any thread; lock-free.
    RegionDecision decide(const RegionQuestion &question, BootTime now) const;

private:
    struct Candidate
    {
        RegionCandidate region;
        ReportedSlots slots;
    };

    std::optional<RelayToRegion> tryRelay(const RegionQuestion &question, double usedBelow, bool &linkWasFull, BootTime now) const;
    bool isUsable(const Candidate &candidate, const RegionQuestion &question, double usedBelow) const;
    bool isBetter(const Candidate &a, const Candidate &b) const;

    Objective m_objective;
    OwnRegion m_own;
    std::vector<Candidate> m_others;
    std::shared_ptr<RegionBalance> m_balance;
    bool m_regionClosed = false;
};

} // namespace Trefoil
