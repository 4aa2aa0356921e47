#pragma once

#include <LibSteering/upstreammodel.h>

#include <array>
#include <optional>
#include <variant>
#include <vector>

/// Decides, from this host's models of the upstreams, where a request is sent or whether it is rejected. The functions are pure: the time is passed
/// in.
namespace Trefoil
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Mean service time of the requests of one route, by whether the upstream probably has the key in its cache.
/// Handles requests whose service time depends on warm caches: the difference between the cache states is the cost of a move to another upstream.
/// Thread safety: one thread at a time.
class WorkEstimate
{
public:
    /// Starts with expected times in proportion to the target latency, until samples replace them.
    /// Precondition: targetLatency is positive.
    explicit WorkEstimate(Milliseconds targetLatency);

    /// Precondition: none.
    Milliseconds expected(CacheState state) const;

    /// The longest of the times expected for the cache states. The one for a cold cache has few samples where keys have fixed upstreams.
    /// Precondition: none.
    Milliseconds longestExpected() const;

    /// Ratio of the time of one successful attempt to the expected time. Nothing when the time fits both an upstream of normal speed that did not
    /// hold the key and a slow one that did. Precondition: none.
    std::optional<double> slowness(CacheState state, Milliseconds time) const;

    /// Records the time of one successful attempt that was not queued at the upstream. Precondition: none.
    void record(CacheState state, Milliseconds time);

private:
    std::array<Milliseconds, 3> m_expected;
};

/// This host's zone and region, the costs of a placement in fractions of the value of one response, and the round trips to the upstreams.
struct PlacementSettings
{
    ZoneId zone;
    RegionId region;
    /// Cost of a response from another availability zone of the region.
    double zoneCost = 0.15;
    /// Cost of a response from another region.
    double regionCost = 0.15;
    /// Round-trip times to an upstream of this region and of another region.
    Milliseconds zoneRoundTrip{1};
    Milliseconds regionRoundTrip{30};
    /// Cost of each rank in a key's order of upstreams. It makes hosts move away from a key's first upstream late, and makes those that move
    /// converge on the second: each further upstream serves the key from a cold cache once more and evicts another key for it.
    double rankCost = 0.16;
    /// Fraction of the displaced value that a request pays while all slots are in use. It is below 1 because not all requests that wait are lost.
    double slotPrice = 0.6;
};

struct PlacementQuery
{
    /// 0 for a request without a key.
    std::uint64_t keyHash = 0;
    Milliseconds targetLatency{0};
    /// Time since the request arrived.
    Milliseconds elapsed{0};
    /// Time until the deadline of the caller or of the operator's configuration, whichever is earlier.
    Milliseconds timeLeft{0};
    const WorkEstimate *work = nullptr;
    /// Expected service time on a machine of usual speed, by cache state, in place of that of the work estimate; nothing where it is not learned.
    std::optional<std::array<Milliseconds, 3>> expectedWork{};
    /// Queueing delay at each candidate; empty where it follows from the occupancy.
    std::vector<Milliseconds> waits{};
    /// Mean time for which a request of the service holds a slot.
    Milliseconds slotTime{0};
    /// SlotDemand::displacedValue() for the request's rank.
    double displacedValue = 1;
    /// CustomerShares::priceFactor() of the request's customer.
    double customerFactor = 1;
    /// Running and queued requests per slot of the candidates, from recent load reports.
    double meanLoad = 0;
    BootTime now;
};

struct Placed
{
    std::size_t candidate = 0;
    CacheState cache = CacheState::Unlikely;
    /// Service time at the upstream, without queueing delay.
    Milliseconds expectedWork{0};
    /// Queueing delay at the upstream.
    Milliseconds expectedWait{0};
};

/// No upstream can serve the request in time, or none at a cost below the value of the response.
struct NoRoom
{
    /// Time after which an upstream probably can.
    Milliseconds retryAfter{0};
};

/// There is no upstream that the request may use.
struct NoUpstream
{
};

using PlacementResult = std::variant<Placed, NoRoom, NoUpstream>;

/// Chooses the upstream with the highest expected value: the probability of success, times the value of a response at the expected time, less the
/// costs of distance and of the slot time that the request takes from others. A queue at a warm upstream competes with a cold cache at an idle one.
/// The busier the slots, the more a request pays for the requests that it keeps from a slot: requests on a cold cache and long requests of a low rank
/// are rejected first.
/// Handles load between half and twice the slots, with warm caches, slow and failing upstreams: without the cost of slots, overload drives keys to
/// cold upstreams, whose longer service times sustain the overload.
/// Precondition: the query's work estimate is set; candidates belong to one service and may be used by the request.
/// Thread safety: safe from any thread while the models don't change.
PlacementResult place(const std::vector<UpstreamModel *> &candidates, const PlacementQuery &query, const PlacementSettings &settings);

/// Value of a response after a time, from 1 to 0: it falls slowly up to the target latency and steeply around it, and is 0 from the limit on.
/// Precondition: target is positive. Thread safety: safe from any thread.
double valueAt(Milliseconds time, Milliseconds target, Milliseconds limit);

} // namespace Trefoil
