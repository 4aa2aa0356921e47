#include <LibSteering/placement.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Weight of a new sample of service time.
constexpr double s_sampleWeight = 0.1;
/// An attempt that takes this many times the expected time on a cold cache was slow, whatever the cache held.
constexpr double s_minimumSlowRatio = 1.6;
/// Service time expected before any sample, relative to the target latency, by cache state.
constexpr double s_priorUnlikely = 1.2;
constexpr double s_priorLikely = 0.8;
constexpr double s_priorCached = 0.5;
/// Value lost between an immediate response and one exactly at the target latency.
constexpr double s_valueLossAtTarget = 0.25;
/// Between these multiples of the target latency, a predicted response may meet or miss the target, so its value falls to that of a late one.
constexpr double s_safeTargetRatio = 0.85;
constexpr double s_missedTargetRatio = 1.1;
/// Value of a late response.
constexpr double s_lateResponseValue = 0.2;
/// Maximum rank in a key's order that raises the cost; further ranks cost the same.
constexpr double s_maximumCountedRanks = 3;
/// Ranks below this one are a key's home upstreams: with two to choose from, few upstreams have more keys than they can serve.
constexpr double s_homeRanks = 2;
/// Below this rank an upstream counts as the first one of a key.
constexpr double s_firstRankLimit = 0.5;
/// Load per slot above which slots have a price, and at which the price is full.
constexpr double s_minimumPricedLoad = 0.7;
constexpr double s_fullPriceLoad = 1.15;
/// Maximum queueing delay that a request accepts at an upstream, relative to its target latency.
constexpr double s_maximumWaitRatio = 0.7;
/// Running and queued requests per slot from which an upstream sheds.
constexpr double s_maximumOccupancyPerSlot = 3.0;

std::size_t indexOf(CacheState state)
{
    return static_cast<std::size_t>(state);
}

/// Ranks of the candidates in the rendezvous order of the key, 0 for the preferred one. An upstream that fails or is slow adds less than one rank, so
/// that the next one counts as a home upstream of its keys.
std::vector<double> ranksFor(const std::vector<UpstreamModel *> &candidates, const PlacementQuery &query)
{
    std::vector<double> ranks(candidates.size(), 0);
    if (query.keyHash == 0) {
        return ranks;
    }
    std::vector<std::pair<double, std::size_t>> scores;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        scores.emplace_back(-affinityScore(query.keyHash, candidates[i]->hash(), candidates[i]->identity().slots.value()), i);
    }
    std::sort(scores.begin(), scores.end());
    double rank = 0;
    for (const auto &[score, i] : scores) {
        ranks[i] = rank;
        rank += (1 - candidates[i]->failureRate(query.now)) / std::max(1.0, candidates[i]->slowness(query.now));
    }
    return ranks;
}

Milliseconds expectedWork(CacheState state, const PlacementQuery &query)
{
    return query.expectedWork ? (*query.expectedWork)[indexOf(state)] : query.work->expected(state);
}

/// Value that other requests lose while this one holds a slot, in fractions of the value of this request's response.
double slotCost(Milliseconds work, const PlacementQuery &query, const PlacementSettings &settings)
{
    const double priceFraction = std::clamp((query.meanLoad - s_minimumPricedLoad) / (s_fullPriceLoad - s_minimumPricedLoad), 0.0, 1.0);
    return priceFraction * settings.slotPrice * query.displacedValue * query.customerFactor * (work / expectedWork(CacheState::Cached, query));
}

/// Queueing delay at an upstream with that many running and queued requests.
Milliseconds waitAt(const UpstreamModel &upstream, double occupancy, const PlacementQuery &query)
{
    const double slots = std::max(1, upstream.identity().slots.value());
    const double ahead = occupancy + 1 - slots;
    return ahead <= 0 ? Milliseconds(0) : query.slotTime * (ahead / slots) * upstream.slowness(query.now) * upstream.workFactor(query.now);
}

} // namespace

WorkEstimate::WorkEstimate(Milliseconds targetLatency)
    : m_expected{targetLatency * s_priorUnlikely, targetLatency * s_priorLikely, targetLatency * s_priorCached}
{
}

Milliseconds WorkEstimate::expected(CacheState state) const
{
    return m_expected[indexOf(state)];
}

Milliseconds WorkEstimate::longestExpected() const
{
    return *std::max_element(m_expected.begin(), m_expected.end());
}

void WorkEstimate::record(CacheState state, Milliseconds time)
{
    Milliseconds &current = m_expected[indexOf(state)];
    current += (time - current) * s_sampleWeight;
}

std::optional<double> WorkEstimate::slowness(CacheState state, Milliseconds time) const
{
    const double ratioToUncached = time / expected(CacheState::Unlikely);
    if (state == CacheState::Cached || ratioToUncached >= s_minimumSlowRatio) {
        return time / expected(state);
    }
    if (state == CacheState::Unlikely) {
        return ratioToUncached;
    }
    // As fast as with the key in the cache, so the attempt was not slow.
    const double ratioToCached = time / expected(CacheState::Cached);
    return ratioToCached <= s_minimumSlowRatio ? std::optional(std::min(ratioToCached, 1.0)) : std::nullopt;
}

double valueAt(Milliseconds time, Milliseconds target, Milliseconds limit)
{
    if (time >= limit) {
        return 0;
    }
    const double targetRatio = time / target;
    if (targetRatio <= s_safeTargetRatio) {
        return 1 - s_valueLossAtTarget * targetRatio;
    }
    const double atSafe = 1 - s_valueLossAtTarget * s_safeTargetRatio;
    if (targetRatio >= s_missedTargetRatio) {
        // Of two late responses, the earlier one has the higher value.
        return s_lateResponseValue * (1 - 0.5 * (time / limit));
    }
    return atSafe + (s_lateResponseValue - atSafe) * (targetRatio - s_safeTargetRatio) / (s_missedTargetRatio - s_safeTargetRatio);
}

PlacementResult place(const std::vector<UpstreamModel *> &candidates, const PlacementQuery &query, const PlacementSettings &settings)
{
    if (candidates.empty()) {
        return NoUpstream{};
    }
    const std::vector<double> ranks = ranksFor(candidates, query);
    const Milliseconds limit = query.elapsed + query.timeLeft;
    std::optional<Placed> best;
    double bestValue = 0;
    Milliseconds minimumWait = query.timeLeft;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamModel &upstream = *candidates[i];
        const UpstreamIdentity &identity = upstream.identity();
        CacheState cache = CacheState::Unlikely;
        if (query.keyHash != 0 && upstream.hasServedKey(query.keyHash)) {
            cache = CacheState::Cached;
        } else if (ranks[i] < s_firstRankLimit) {
            cache = CacheState::Likely;
        }
        const bool isSameRegion = identity.region == settings.region;
        const bool isSameZone = identity.zone == settings.zone;
        const Milliseconds roundTrip = isSameRegion ? settings.zoneRoundTrip : settings.regionRoundTrip;
        const double distanceCost = isSameZone ? 0 : isSameRegion ? settings.zoneCost : settings.regionCost;
        const double occupancy = upstream.occupancy(query.now, query.meanLoad);
        const Milliseconds wait = query.waits.empty() ? waitAt(upstream, occupancy, query) : query.waits[i];
        const Milliseconds work = expectedWork(cache, query) * upstream.slowness(query.now) * upstream.workFactor(query.now);
        // A request that warms one of the key's home upstreams is charged as if the key were cached, because the next requests for the key gain from
        // it.
        const Milliseconds pricedWork = ranks[i] < s_homeRanks ? expectedWork(CacheState::Cached, query) : work;
        minimumWait = std::min(minimumWait, wait);
        const bool isFull = occupancy >= s_maximumOccupancyPerSlot * identity.slots.value();
        if (isFull || wait > query.targetLatency * s_maximumWaitRatio) {
            continue;
        }
        const Milliseconds total = query.elapsed + roundTrip + wait + work;
        const double value = (1 - upstream.failureRate(query.now)) * valueAt(total, query.targetLatency, limit) - distanceCost
            - settings.rankCost * std::min(ranks[i], s_maximumCountedRanks) - slotCost(pricedWork, query, settings);
        if (!best || value > bestValue) {
            best = Placed{i, cache, work, wait};
            bestValue = value;
        }
    }
    if (!best || bestValue <= 0) {
        return NoRoom{std::max(minimumWait, query.slotTime * std::max(0.0, query.meanLoad - 1))};
    }
    return *best;
}

} // namespace Trefoil
