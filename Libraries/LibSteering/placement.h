#pragma once

#include <LibSteering/upstreammodel.h>

#include <array>
#include <variant>
#include <vector>

/// Decides where a request is sent, or that it is rejected, from what this host believes. Pure: time is passed in.
namespace Trefoil
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Usual time of the work of one route, by what the upstream is believed to hold.
/// Answers work whose time depends on warm caches: the gap between both is what a move to another upstream costs.
/// Thread safety: one thread at a time.
class WorkEstimate
{
public:
    /// Before anything is measured, work is taken to last as long as operators want the response at the latest.
    /// Precondition: targetLatency is positive.
    explicit WorkEstimate(Milliseconds targetLatency);

    /// Precondition: none.
    Milliseconds expected(CacheState state) const;

    /// How much slower than usual one successful attempt was. Nothing when its time fits both a usual upstream that didn't hold
    /// the key and a slow one that did. Precondition: none.
    std::optional<double> slowness(CacheState state, Milliseconds time) const;

    /// Takes the time of one successful attempt that did not wait at the upstream. Precondition: none.
    void record(CacheState state, Milliseconds time);

private:
    std::array<Milliseconds, 3> m_expected;
};

/// What serving outside the host's own place costs, in parts of the value of one response.
struct PlacementSettings
{
    ZoneId zone;
    RegionId region;
    /// Value given up for a response from another availability zone of the region.
    double zoneCost = 0.15;
    /// Value given up for a response from another region.
    double regionCost = 0.15;
    /// Round trips that a request and its response need.
    Milliseconds zoneRoundTrip{1};
    Milliseconds regionRoundTrip{30};
    /// Value given up for each place in a key's order of upstreams. Hosts that leave the first one meet at the second, and do so
    /// late: each further upstream does the cold work once more and forgets another key for it. From trials on the users' days.
    double rankCost = 0.16;
    /// Part of the displaced value that work pays for while all slots are in use. Requests that wait are not all lost.
    double slotPrice = 0.6;
};

struct PlacementQuery
{
    /// 0 stands for a request without a key.
    std::uint64_t keyHash = 0;
    Milliseconds targetLatency{0};
    /// Since the request came in.
    Milliseconds elapsed{0};
    /// Until the caller or the operator no longer wants the response.
    Milliseconds timeLeft{0};
    const WorkEstimate *work = nullptr;
    /// Usual time that any request holds a slot of the service.
    Milliseconds slotTime{0};
    /// As told by SlotDemand for the request's rank.
    double displacedValue = 1;
    /// Requests in work or waiting for each slot of the candidates, as reported lately.
    double meanLoad = 0;
    BootTime now;
};

struct Placed
{
    std::size_t candidate = 0;
    CacheState cache = CacheState::Unlikely;
    /// Time at the upstream without waiting.
    Milliseconds expectedWork{0};
    /// Time in the upstream's queue.
    Milliseconds expectedWait{0};
};

/// No upstream can serve the request in time.
struct NoRoom
{
    /// When one probably can.
    Milliseconds retryAfter{0};
};

/// There is no upstream that may be used at all.
struct NoUpstream
{
};

using PlacementResult = std::variant<Placed, NoRoom, NoUpstream>;

/// Chooses the upstream with the highest expected value: the probability of success, times the value of a response at the
/// expected time, less the cost of distance and of the slots that the work takes from others. Waiting at a warm upstream
/// competes with cold work at an idle one. The busier the slots, the more work pays for the requests that it keeps from one: cold
/// work and long work of a low rank yield first.
/// Answers load between half and twice the slots, with warm caches, slow and failing upstreams: without the cost of slots,
/// overload drives keys to cold upstreams, whose longer work keeps the overload up.
/// Precondition: the query's work estimate is set; candidates belong to one service and may be used by the request.
/// Thread safety: safe from any thread while the models don't change.
PlacementResult place(const std::vector<UpstreamModel *> &candidates, const PlacementQuery &query, const PlacementSettings &settings);

/// Value of a response at a time relative to its target latency, from 1 to 0. Precondition: target is positive.
double valueAt(Milliseconds time, Milliseconds target, Milliseconds limit);

} // namespace Trefoil
