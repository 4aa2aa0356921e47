#pragma once

#include <LibConfiguration/configuration.h>
#include <LibSteering/selectionpolicy.h>

#include <string>
#include <vector>

namespace Trefoil::Bench
{

/// One service of a deployment.
struct ServiceModel
{
    std::string name;
    int upstreams = 0;
    int slots = 0;
    /// Mean time of a request on an idle upstream of usual speed.
    std::chrono::nanoseconds serviceTime{0};
};

/// The sizes of design 1.2.
struct Deployment
{
    std::string name;
    Objective objective = Objective::Latency;
    std::vector<std::string> regions;
    std::chrono::nanoseconds regionDelay{0};
    std::int64_t linkKilobits = 0;
    std::vector<ServiceModel> services;
};

/// How a run decides.
struct PolicyModel
{
    std::string name;
    SelectionPolicy selection;
    /// Objective of the region choice.
    Objective objective = Objective::Latency;
    /// Grants, leases, shift windows and link budgets are in force. Without them each host limits itself to the slots of an upstream.
    bool limits = true;
    /// Requests may be relayed to another region although their own is open.
    bool spill = true;
    bool product = false;
};

/// What happens during a run.
struct CaseModel
{
    std::string name;
    /// Demand relative to the capacity of all regions.
    double load = 0.55;
    /// Factor on the load from the event on until its end.
    double surge = 1;
    bool zoneLoss = false;
    bool regionLoss = false;
    bool drain = false;
    bool restarts = false;
    bool frozenReports = false;
    bool lyingUpstream = false;
    bool hostFaults = false;
};

inline std::vector<Deployment> deployments()
{
    using std::chrono::milliseconds;
    const auto service = [](const char *name, int upstreams, int slots, int time) { return ServiceModel{name, upstreams, slots, milliseconds(time)}; };
    Deployment swim{"swim firm", Objective::Latency, {"bac", "trung", "nam"}, milliseconds(20), 280'000, {}};
    swim.services = {service("sheetdesk", 16, 3, 20), service("entrybook", 12, 3, 30), service("seedhall", 12, 3, 40)};
    Deployment cast{"cast office", Objective::Headroom, {"gulf", "plains", "hill"}, milliseconds(12), 4'000'000, {}};
    cast.services = {service("catalogue-svc", 14, 4, 20), service("bulkorder-svc", 12, 3, 40), service("moldroom-svc", 12, 4, 30)};
    return {swim, cast};
}

inline std::vector<CaseModel> cases()
{
    std::vector<CaseModel> all;
    const auto add = [&all](const char *name, double load) -> CaseModel & {
        all.push_back({name, load});
        return all.back();
    };
    constexpr double peak = 0.55;
    constexpr double usual = 0.3;
    constexpr double threefold = 3;
    add("steady", peak);
    add("surge of three times", usual).surge = threefold;
    add("loss of a zone at the peak", peak).zoneLoss = true;
    add("loss of a region at the peak", peak).regionLoss = true;
    add("planned drain of a region at the peak", peak).drain = true;
    add("upstreams restarted one by one", peak).restarts = true;
    add("measurements frozen", peak).frozenReports = true;
    add("one upstream lies about its load", peak).lyingUpstream = true;
    add("hosts killed and paused at random", peak).hostFaults = true;
    CaseModel &surgeWithFaults = add("surge, with hosts killed and paused", usual);
    surgeWithFaults.surge = threefold;
    surgeWithFaults.hostFaults = true;
    CaseModel &zoneWithLie = add("loss of a zone, measurements frozen", peak);
    zoneWithLie.zoneLoss = true;
    zoneWithLie.frozenReports = true;
    return all;
}

inline std::vector<PolicyModel> policies()
{
    return {
        {"product, latency", LatencyPolicy{}, Objective::Latency, true, true, true},
        {"product, headroom", HeadroomPolicy{}, Objective::Headroom, true, true, true},
        {"nearest only", NearestOnlyPolicy{}, Objective::Latency, false, false},
        {"round robin", RoundRobinPolicy{}, Objective::Latency, false, true},
        {"least reported load", LeastReportedLoadPolicy{}, Objective::Latency, false, true},
        {"two random choices", TwoRandomChoicesPolicy{}, Objective::Latency, false, true},
        {"nearest only, within limits", NearestOnlyPolicy{}, Objective::Latency, true, false},
        {"round robin, within limits", RoundRobinPolicy{}, Objective::Latency, true, true},
        {"least reported load, within limits", LeastReportedLoadPolicy{}, Objective::Latency, true, true},
        {"two random choices, within limits", TwoRandomChoicesPolicy{}, Objective::Latency, true, true},
    };
}

} // namespace Trefoil::Bench
