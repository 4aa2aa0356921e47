#include <LibSteering/requestcost.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

/// Weight of a new sample of the route's mean, as in WorkEstimate.
constexpr double s_sampleWeight = 0.1;
/// Smallest weight of a new sample in a factor.
constexpr double s_factorWeight = 0.1;
/// Samples from which a group's own mean has as much weight as that of the coarser group.
constexpr double s_samplesOfEqualWeight = 4;
constexpr double s_maximumSamples = 50;
/// Maximum multiple of the expected work that one sample counts for. At 2.5, long samples that followed each other raised a
/// mean by 0.64; 3% of the samples were long.
constexpr double s_maximumSampleRatio = 2;
/// Bounds of a factor.
constexpr double s_minimumFactor = 0.1;
constexpr double s_maximumFactor = 10;
/// Expected times before any sample, relative to the target latency, by cache state as in WorkEstimate.
constexpr std::array<double, 3> s_priors = {1.2, 0.8, 0.5};
constexpr double s_priorSpread = 0.3;
constexpr double s_spreadWeight = 0.05;
/// Buckets of the ratios of actual to expected work: the lowest one, and the growth from one to the next.
constexpr double s_lowestRatio = 0.2;
constexpr double s_ratioGrowth = 1.25;
/// Factor on the older counts with each sample; the last 500 samples or so count.
constexpr double s_ratioDecay = 0.998;
/// Weight of the ratios that are assumed before any sample: nearly all near 1, and a few long ones.
constexpr double s_priorSamples = 20;
constexpr double s_priorLongShare = 0.02;
/// Rest of a request that has run for longer than any known one, in parts of the time it has run.
constexpr double s_unknownRest = 0.5;

std::size_t indexOf(CacheState state)
{
    return static_cast<std::size_t>(state);
}

std::uint64_t mixed(std::uint64_t value, std::uint64_t level)
{
    // The finaliser of SplitMix64.
    value += (level + 1) * 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

RequestCost::RequestCost(Milliseconds targetLatency)
    : m_base{targetLatency * s_priors[0], targetLatency * s_priors[1], targetLatency * s_priors[2]}
    , m_factors(s_tableSize)
    , m_spread(s_priorSpread)
{
    for (std::size_t i = 0; i < s_buckets; ++i) {
        const double ratio = bucketRatio(i);
        const bool isUsual = ratio > 1 - s_priorSpread && ratio < 1 + s_priorSpread;
        m_ratios[i] = (isUsual ? 1 - s_priorLongShare : ratio > s_maximumSampleRatio ? s_priorLongShare / 4 : 0) * s_priorSamples / 3;
    }
}

std::array<std::uint64_t, RequestCost::s_levels> RequestCost::groupsOf(const CostFeatures &features)
{
    const auto sizeClass = features.bytes == 0 ? std::uint64_t{0} : static_cast<std::uint64_t>(std::ilogb(static_cast<double>(features.bytes))) + 1;
    return {features.customer == 0 ? 0 : mixed(features.customer, 0),
        sizeClass == 0 ? 0 : mixed(sizeClass, 1),
        features.keyHash == 0 ? 0 : mixed(features.keyHash, 2)};
}

double RequestCost::bucketRatio(std::size_t bucket)
{
    return s_lowestRatio * std::pow(s_ratioGrowth, static_cast<double>(bucket));
}

double RequestCost::factorOf(std::uint64_t group) const
{
    const Factor &factor = m_factors[group % s_tableSize];
    if (group == 0 || factor.group != group) {
        return 1;
    }
    return 1 + (factor.ratio - 1) * factor.samples / (factor.samples + s_samplesOfEqualWeight);
}

RequestCost::Milliseconds RequestCost::expected(CacheState state, const CostFeatures &features) const
{
    Milliseconds result = m_base[indexOf(state)];
    for (const std::uint64_t group : groupsOf(features)) {
        result *= factorOf(group);
    }
    return result;
}

void RequestCost::record(CacheState state, const CostFeatures &features, Milliseconds work)
{
    m_hasSamples = true;
    const double ratio = work / expected(state, features);
    recordRatio(ratio);
    m_spread += s_spreadWeight * (std::min(std::abs(ratio - 1), s_maximumSampleRatio) - m_spread);
    // Each level learns what the coarser ones leave unexplained.
    Milliseconds coarser = m_base[indexOf(state)];
    const Milliseconds counted = std::min(work, expected(state, features) * s_maximumSampleRatio);
    double refinement = 1;
    for (const std::uint64_t group : groupsOf(features)) {
        const double before = factorOf(group);
        recordFactor(group, counted / coarser);
        coarser *= before;
        refinement *= before;
    }
    Milliseconds &base = m_base[indexOf(state)];
    base += (counted / refinement - base) * s_sampleWeight;
}

void RequestCost::recordFactor(std::uint64_t group, double ratio)
{
    if (group == 0) {
        return;
    }
    Factor &factor = m_factors[group % s_tableSize];
    if (factor.group != group) {
        // A group that shares the entry keeps it while its requests are the more frequent ones.
        if (--factor.samples > 0) {
            return;
        }
        factor = {group, 0, 1};
    }
    factor.samples = std::min(factor.samples + 1, s_maximumSamples);
    const double weight = std::max(s_factorWeight, 1 / factor.samples);
    factor.ratio = std::clamp(factor.ratio + weight * (ratio - factor.ratio), s_minimumFactor, s_maximumFactor);
}

void RequestCost::recordRatio(double ratio)
{
    const double position = std::log(std::max(ratio, s_lowestRatio) / s_lowestRatio) / std::log(s_ratioGrowth);
    for (double &count : m_ratios) {
        count *= s_ratioDecay;
    }
    ++m_ratios[std::min(static_cast<std::size_t>(std::lround(position)), s_buckets - 1)];
}

double RequestCost::remainingRatio(double elapsed) const
{
    double count = 0;
    double rest = 0;
    double ratio = s_lowestRatio;
    for (const double samples : m_ratios) {
        if (ratio > elapsed) {
            count += samples;
            rest += samples * (ratio - elapsed);
        }
        ratio *= s_ratioGrowth;
    }
    // Half a sample of an unknown longer request keeps the rest defined where no known one ran for so long.
    constexpr double unknownSamples = 0.5;
    return (rest + unknownSamples * elapsed * s_unknownRest) / (count + unknownSamples);
}

} // namespace Trefoil
