#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil::Soak
{

/// What goes wrong.
enum class FaultKind {
    HostPaused,
    HostKilled,
    AllHostsKilled,
    HostStopped,
    HostHangup,
    StoreDown,
    StoreSilent,
    StoreSlow,
    StoreAnswersLost,
    StoreHistoryLost,
    StoreReadsOld,
    /// Takes calls and never answers them, not even after its return. Comes in series only.
    StoreHangs,
    StoreCutFromHost,
    UpstreamReset,
    UpstreamSilent,
    /// Only what the upstream sends is held back.
    UpstreamMute,
    UpstreamConnectionsForgotten,
    UpstreamDelayed,
    UpstreamFails,
    UpstreamSheds,
    UpstreamSlow,
    /// The process dies; another upstream takes its address.
    UpstreamReplaced,
    UpstreamLeaves,
    Configuration,
    ConfigurationUnreadable,
    ZoneEvacuated,
    /// Changes of customers; they come in series of their own, with PlanSettings::hasCustomers only.
    KeyRemoved,
    KeyAdded,
    LimitLowered,
    LimitRestored,
};

/// All kinds in the order of their names. Thread safety: safe from any thread.
const std::vector<FaultKind> &allFaultKinds();

/// Name of a kind in reports, such as "host-paused". Thread safety: safe from any thread.
std::string_view toText(FaultKind kind);

struct Fault
{
    FaultKind kind = FaultKind::HostPaused;
    /// From the start of the callers.
    std::chrono::milliseconds at{0};
    /// How long it lasts; for kills, the time until the restart.
    std::chrono::milliseconds duration{0};
    /// Which host, upstream or zone, modulo their number.
    std::size_t target = 0;
};

struct PlanSettings
{
    std::uint64_t seed = 1;
    /// Time with faults.
    std::chrono::milliseconds length{20000};
    /// Mean time between the starts of two faults.
    std::chrono::milliseconds meanGap{700};
    /// Mean time between a series and the next one; 0 for none.
    std::chrono::milliseconds meanSeriesGap{8000};
    /// Keys and limits of customers change in series that overlap with the other faults, which stay as they are.
    bool hasCustomers = false;
    /// Mean time between a series of such changes and the next one.
    std::chrono::milliseconds meanCustomerGap{1500};
    /// Plays planStops() instead.
    bool isPlanned = false;
};

/// Draws the faults of one run, in the order of their times. Faults overlap; one in four repeats its predecessor's target.
/// In a series the store hangs while configurations change and hosts restart one after the other; nothing else happens to the store
/// until what hosts then know was seen. With customers, a series of changes often meets a third of the hosts without the store.
/// Precondition: length, meanGap and meanCustomerGap are positive, meanSeriesGap is not negative. Thread safety: safe from any thread.
std::vector<Fault> planFaults(const PlanSettings &settings);

/// Draws series of planned work that overlap over several hosts: stops with further signals, configurations and, beside them, the kill of another
/// host. The mean time between two series is four times meanGap. Precondition: length and meanGap are positive. Thread safety: safe from any thread.
std::vector<Fault> planStops(const PlanSettings &settings);

} // namespace Trefoil::Soak
