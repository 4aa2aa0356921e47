#include <Platform/Soak/soakplan.h>

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
    };
    return all;
}

constexpr double s_repeatShare = 0.25;

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

std::vector<Fault> planFaults(const PlanSettings &settings)
{
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
        const KindDescription &description = descriptions()[drawKind(random)];
        const auto range = static_cast<double>((description.longest - description.shortest).count());
        const milliseconds duration = description.shortest + milliseconds(static_cast<std::int64_t>(drawShare(random) * range));
        const bool repeats = !faults.empty() && drawShare(random) < s_repeatShare;
        const std::size_t target = repeats ? faults.back().target : random();
        faults.push_back({description.kind, at, duration, target});
    }
    return faults;
}

} // namespace Trefoil::Soak
