#pragma once

#include <LibCommand/command.h>
#include <LibCore/result.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Trefoil
{

/// What a drain would leave of one service.
struct DrainForecast
{
    ServiceId service;
    /// Slots in use now on the upstreams that would be drained; zero when nothing is known about them.
    std::int64_t slotsInUse = 0;
    /// Slots that would be drained.
    std::int64_t slotsDrained = 0;
    /// Slots that would be left within the limits of their regions, and how many of them are free now.
    std::int64_t slotsLeft = 0;
    std::int64_t slotsFree = 0;
    /// True when the free slots of the rest hold the work in use.
    bool fits = false;
};

using SlotsInUse = std::map<UpstreamId, SlotCount>;

/// Forecasts a drain for each service that would lose slots. Upstreams without an entry in inUse count as idle.
/// Precondition: the configuration is valid. Thread safety: safe from any thread.
Result<std::vector<DrainForecast>> forecastDrain(const Configuration &configuration, const DrainCommand &drain, const SlotsInUse &inUse);

/// The forecast as a list of objects with the members service, slotsInUse, slotsDrained, slotsLeft, slotsFree and fits.
/// Precondition: none. Thread safety: safe from any thread.
nlohmann::json toJson(const std::vector<DrainForecast> &forecast);

} // namespace Trefoil
