#include <Platform/Soak/soakplan.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

namespace Trefoil::Soak
{

namespace
{

using std::chrono::milliseconds;

struct KindDescription
{
    FaultKind kind;
    std::string_view name;
    /// Share of the draws.
    double weight;
    milliseconds shortest;
    milliseconds longest;
};

/// Pauses and silence reach past the 3.2 s after which a host counts as dead and past the 3 s of unacknowledged bytes.
const std::vector<KindDescription> &descriptions()
{
    static const std::vector<KindDescription> all = {
        {FaultKind::HostPaused, "host-paused", 2, milliseconds(200), milliseconds(5000)},
        {FaultKind::HostKilled, "host-killed", 2, milliseconds(50), milliseconds(3000)},
        {FaultKind::AllHostsKilled, "all-hosts-killed", 0.3, milliseconds(50), milliseconds(500)},
        {FaultKind::HostStopped, "host-stopped", 2, milliseconds(50), milliseconds(2000)},
        {FaultKind::HostHangup, "host-hangup", 0.5, milliseconds(0), milliseconds(1)},
        {FaultKind::StoreDown, "store-down", 1, milliseconds(200), milliseconds(5000)},
        {FaultKind::StoreSilent, "store-silent", 1, milliseconds(500), milliseconds(5000)},
        {FaultKind::StoreSlow, "store-slow", 1, milliseconds(500), milliseconds(4000)},
        {FaultKind::StoreAnswersLost, "store-answers-lost", 1, milliseconds(500), milliseconds(4000)},
        {FaultKind::StoreHistoryLost, "store-history-lost", 1, milliseconds(0), milliseconds(1)},
        {FaultKind::StoreReadsOld, "store-reads-old", 0.7, milliseconds(500), milliseconds(3000)},
        {FaultKind::StoreCutFromHost, "store-cut-from-host", 1, milliseconds(500), milliseconds(5000)},
        {FaultKind::UpstreamReset, "upstream-reset", 2, milliseconds(50), milliseconds(2000)},
        {FaultKind::UpstreamSilent, "upstream-silent", 1, milliseconds(500), milliseconds(4000)},
        {FaultKind::UpstreamMute, "upstream-mute", 1, milliseconds(500), milliseconds(4000)},
        {FaultKind::UpstreamConnectionsForgotten, "upstream-connections-forgotten", 1, milliseconds(0), milliseconds(1)},
        {FaultKind::UpstreamDelayed, "upstream-delayed", 1, milliseconds(500), milliseconds(3000)},
        {FaultKind::UpstreamFails, "upstream-fails", 1, milliseconds(500), milliseconds(3000)},
        {FaultKind::UpstreamSheds, "upstream-sheds", 1, milliseconds(500), milliseconds(3000)},
        {FaultKind::UpstreamSlow, "upstream-slow", 1, milliseconds(500), milliseconds(3000)},
        {FaultKind::UpstreamReplaced, "upstream-replaced", 2, milliseconds(50), milliseconds(1500)},
        {FaultKind::UpstreamLeaves, "upstream-leaves", 1.5, milliseconds(3000), milliseconds(5000)},
        {FaultKind::Configuration, "configuration", 2, milliseconds(0), milliseconds(1)},
        {FaultKind::ConfigurationUnreadable, "configuration-unreadable", 0.5, milliseconds(100), milliseconds(2000)},
        {FaultKind::ZoneEvacuated, "zone-evacuated", 0.7, milliseconds(3000), milliseconds(5000)},
        {FaultKind::StoreHangs, "store-hangs", 0, milliseconds(1000), milliseconds(8000)},
        {FaultKind::KeyRemoved, "key-removed", 0, milliseconds(0), milliseconds(1)},
        {FaultKind::KeyAdded, "key-added", 0, milliseconds(0), milliseconds(1)},
        {FaultKind::LimitLowered, "limit-lowered", 0, milliseconds(0), milliseconds(1)},
        {FaultKind::LimitRestored, "limit-restored", 0, milliseconds(0), milliseconds(1)},
    };
    return all;
}

constexpr double s_repeatShare = 0.25;

/// Series have random numbers of their own, so that the other faults of a seed don't depend on them.
constexpr std::uint64_t s_seriesStream = 17;
/// After the store's return: the time until changes must be in force, and some seconds of requests that show whether they are.
constexpr milliseconds s_seriesCalm{8000};
constexpr std::uint32_t s_mostSeriesConfigurations = 3;
constexpr std::uint32_t s_mostSeriesRestarts = 4;
constexpr milliseconds s_restartGap{1000};

/// As for the other series.
constexpr std::uint64_t s_customerStream = 41;
constexpr std::uint32_t s_leastCustomerChanges = 2;
constexpr std::uint32_t s_mostCustomerChanges = 5;
constexpr double s_customerSeriesMs = 2500;
/// Share of the series in which neighbouring hosts can't reach the store, how many these are, and for how long.
constexpr double s_cutShare = 0.4;
constexpr std::size_t s_cutHosts = 2;
constexpr double s_shortestCutMs = 3000;
constexpr double s_longestCutMs = 7000;
/// Removed keys and lowered limits are what hosts may miss; the others give back what these take.
const std::vector<std::pair<FaultKind, double>> s_customerChanges = {
    {FaultKind::KeyRemoved, 5},
    {FaultKind::KeyAdded, 4},
    {FaultKind::LimitLowered, 3},
    {FaultKind::LimitRestored, 1},
};

constexpr std::uint64_t s_stopStream = 29;
constexpr milliseconds s_firstStop{500};
constexpr std::uint32_t s_mostStops = 3;
/// A host takes connections for about this long after SIGTERM; the next one stops meanwhile.
constexpr double s_longestStopGapMs = 2500;
/// Further signals come up to the end of the grace.
constexpr double s_stopLengthMs = 6000;
constexpr double s_hangupShare = 0.5;
constexpr double s_secondSignalShare = 0.2;
constexpr double s_killShare = 0.25;
constexpr double s_seriesToFaults = 4;

const KindDescription &description(FaultKind kind)
{
    const auto &all = descriptions();
    return *std::find_if(all.begin(), all.end(), [kind](const KindDescription &candidate) { return candidate.kind == kind; });
}

milliseconds drawDuration(const KindDescription &kind, double share)
{
    const auto range = static_cast<double>((kind.longest - kind.shortest).count());
    return kind.shortest + milliseconds(static_cast<std::int64_t>(share * range));
}

bool isStoreFault(FaultKind kind)
{
    switch (kind) {
    case FaultKind::StoreDown:
    case FaultKind::StoreSilent:
    case FaultKind::StoreSlow:
    case FaultKind::StoreAnswersLost:
    case FaultKind::StoreHistoryLost:
    case FaultKind::StoreReadsOld:
    case FaultKind::StoreHangs:
    case FaultKind::StoreCutFromHost:
        return true;
    default:
        return false;
    }
}

/// Adds one series that begins with the hang. Returns when the next one may begin.
milliseconds addSeries(std::vector<Fault> &faults, milliseconds at, pcg32 &random)
{
    std::uniform_real_distribution<double> drawShare(0, 1);
    const milliseconds silence = drawDuration(description(FaultKind::StoreHangs), drawShare(random));
    const milliseconds end = at + silence + s_seriesCalm;
    const auto disturbsSeries = [at, end](const Fault &fault) { return isStoreFault(fault.kind) && fault.at < end && at < fault.at + fault.duration; };
    faults.erase(std::remove_if(faults.begin(), faults.end(), disturbsSeries), faults.end());
    faults.push_back({FaultKind::StoreHangs, at, silence, 0});
    const std::uint32_t configurations = random(s_mostSeriesConfigurations + 1);
    for (std::uint32_t i = 0; i < configurations; ++i) {
        const milliseconds offset(static_cast<std::int64_t>(drawShare(random) * static_cast<double>(silence.count())));
        faults.push_back({FaultKind::Configuration, at + offset, milliseconds(0), 0});
    }
    const std::uint32_t restarts = random(s_mostSeriesRestarts + 1);
    const std::size_t firstHost = random();
    for (std::uint32_t i = 0; i < restarts; ++i) {
        const FaultKind kind = drawShare(random) < 0.5 ? FaultKind::HostStopped : FaultKind::HostKilled;
        faults.push_back({kind, at + s_restartGap * i, drawDuration(description(kind), drawShare(random)), firstHost + i});
    }
    return end;
}

void addAllSeries(std::vector<Fault> &faults, const PlanSettings &settings)
{
    if (settings.meanSeriesGap == milliseconds(0)) {
        return;
    }
    pcg32 random(settings.seed, s_seriesStream);
    std::exponential_distribution<double> drawGap(1.0 / static_cast<double>(settings.meanSeriesGap.count()));
    milliseconds at(static_cast<std::int64_t>(drawGap(random)));
    while (at < settings.length) {
        at = addSeries(faults, at, random) + milliseconds(static_cast<std::int64_t>(drawGap(random)));
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
}

/// Adds the series of changes of customers and leaves the other faults as they are.
void addCustomerSeries(std::vector<Fault> &faults, const PlanSettings &settings)
{
    pcg32 random(settings.seed, s_customerStream);
    std::uniform_real_distribution<double> drawShare(0, 1);
    std::exponential_distribution<double> drawGap(1.0 / static_cast<double>(settings.meanCustomerGap.count()));
    std::vector<double> weights;
    weights.reserve(s_customerChanges.size());
    for (const auto &[kind, weight] : s_customerChanges) {
        weights.push_back(weight);
    }
    std::discrete_distribution<std::size_t> drawKind(weights.begin(), weights.end());
    const auto drawTime = [&](double shortestMs, double longestMs) {
        return milliseconds(static_cast<std::int64_t>(shortestMs + drawShare(random) * (longestMs - shortestMs)));
    };
    milliseconds at(static_cast<std::int64_t>(drawGap(random)));
    while (at < settings.length) {
        if (drawShare(random) < s_cutShare) {
            const std::size_t firstHost = random();
            const milliseconds cut = drawTime(s_shortestCutMs, s_longestCutMs);
            for (std::size_t i = 0; i < s_cutHosts; ++i) {
                faults.push_back({FaultKind::StoreCutFromHost, at, cut, firstHost + i});
            }
        }
        const std::uint32_t changes = s_leastCustomerChanges + random(s_mostCustomerChanges - s_leastCustomerChanges + 1);
        for (std::uint32_t i = 0; i < changes; ++i) {
            const FaultKind kind = s_customerChanges[drawKind(random)].first;
            faults.push_back({kind, at + drawTime(0, s_customerSeriesMs), milliseconds(0), random()});
        }
        at += milliseconds(static_cast<std::int64_t>(s_customerSeriesMs + drawGap(random)));
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
}

} // namespace

const std::vector<FaultKind> &allFaultKinds()
{
    static const std::vector<FaultKind> kinds = [] {
        std::vector<FaultKind> result;
        for (const KindDescription &description : descriptions()) {
            result.push_back(description.kind);
        }
        return result;
    }();
    return kinds;
}

std::string_view toText(FaultKind kind)
{
    for (const KindDescription &description : descriptions()) {
        if (description.kind == kind) {
            return description.name;
        }
    }
    return "unknown";
}

std::vector<Fault> planStops(const PlanSettings &settings)
{
    pcg32 random(settings.seed, s_stopStream);
    std::uniform_real_distribution<double> drawShare(0, 1);
    std::exponential_distribution<double> drawGap(1.0 / (s_seriesToFaults * static_cast<double>(settings.meanGap.count())));
    const auto drawTime = [&](double longestMs) { return milliseconds(static_cast<std::int64_t>(drawShare(random) * longestMs)); };
    std::vector<Fault> faults;
    for (milliseconds at = s_firstStop; at < settings.length; at += milliseconds(static_cast<std::int64_t>(drawGap(random)))) {
        const std::size_t firstHost = random();
        const std::uint32_t stops = 1 + random(s_mostStops);
        milliseconds stopAt = at;
        for (std::uint32_t i = 0; i < stops; ++i) {
            faults.push_back({FaultKind::HostStopped, stopAt, drawDuration(description(FaultKind::HostStopped), drawShare(random)), firstHost + i});
            if (drawShare(random) < s_hangupShare) {
                faults.push_back({FaultKind::HostHangup, stopAt + drawTime(s_stopLengthMs), milliseconds(0), firstHost + i});
            }
            if (drawShare(random) < s_secondSignalShare) {
                faults.push_back({FaultKind::HostStopped, stopAt + drawTime(s_stopLengthMs), milliseconds(0), firstHost + i});
            }
            stopAt += drawTime(s_longestStopGapMs);
        }
        for (std::uint32_t i = random(s_mostSeriesConfigurations + 1); i > 0; --i) {
            faults.push_back({FaultKind::Configuration, at + drawTime(s_stopLengthMs), milliseconds(0), 0});
        }
        if (drawShare(random) < s_killShare) {
            faults.push_back({FaultKind::HostKilled, at + drawTime(s_stopLengthMs), milliseconds(200), firstHost + stops});
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
    return faults;
}

std::vector<Fault> planFaults(const PlanSettings &settings)
{
    if (settings.isPlanned) {
        return planStops(settings);
    }
    pcg32 random(settings.seed);
    std::vector<double> weights;
    for (const KindDescription &description : descriptions()) {
        weights.push_back(description.weight);
    }
    std::discrete_distribution<std::size_t> drawKind(weights.begin(), weights.end());
    std::exponential_distribution<double> drawGap(1.0 / static_cast<double>(settings.meanGap.count()));
    std::uniform_real_distribution<double> drawShare(0, 1);
    std::vector<Fault> faults;
    for (milliseconds at(static_cast<std::int64_t>(drawGap(random))); at < settings.length; at += milliseconds(static_cast<std::int64_t>(drawGap(random)))) {
        const KindDescription &drawn = descriptions()[drawKind(random)];
        const milliseconds duration = drawDuration(drawn, drawShare(random));
        const bool repeats = !faults.empty() && drawShare(random) < s_repeatShare;
        const std::size_t target = repeats ? faults.back().target : random();
        faults.push_back({drawn.kind, at, duration, target});
    }
    addAllSeries(faults, settings);
    if (settings.hasCustomers) {
        addCustomerSeries(faults, settings);
    }
    return faults;
}

} // namespace Trefoil::Soak
