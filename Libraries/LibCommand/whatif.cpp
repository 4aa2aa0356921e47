#include <LibCommand/whatif.h>

#include <LibCommand/apply.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

struct SlotSums
{
    std::int64_t usable = 0;
    std::int64_t inUse = 0;
};

bool isDrained(const Configuration &configuration, const UpstreamConfiguration &upstream)
{
    for (const auto &region : configuration.regions) {
        if (region.id != upstream.region) {
            continue;
        }
        const auto zone =
            std::find_if(region.zones.begin(), region.zones.end(), [&](const ZoneConfiguration &candidate) { return candidate.id == upstream.zone; });
        return upstream.drained || region.drained || (zone != region.zones.end() && zone->drained);
    }
    return true;
}

/// The slots of a service on upstreams that are not drained, region by region within the region's limit.
SlotSums sumSlots(const Configuration &configuration, const ServiceConfiguration &service, const SlotsInUse &inUse)
{
    SlotSums total;
    for (const auto &region : configuration.regions) {
        SlotSums ofRegion;
        for (const auto &upstream : service.upstreams) {
            if (upstream.region != region.id || isDrained(configuration, upstream)) {
                continue;
            }
            const auto used = inUse.find(upstream.id);
            ofRegion.usable += upstream.slots.value();
            ofRegion.inUse += used == inUse.end() ? 0 : used->second.value();
        }
        total.usable += ofRegion.usable * region.limitPercent / 100;
        total.inUse += ofRegion.inUse;
    }
    return total;
}

} // namespace

Result<std::vector<DrainForecast>> forecastDrain(const Configuration &configuration, const DrainCommand &drain, const SlotsInUse &inUse)
{
    const auto drained = applyCommands(configuration, {drain});
    if (drained.has_error()) {
        return drained.error();
    }
    std::vector<DrainForecast> forecasts;
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const SlotSums before = sumSlots(configuration, configuration.services[i], inUse);
        const SlotSums after = sumSlots(drained.value(), drained.value().services[i], inUse);
        if (before.usable == after.usable) {
            continue;
        }
        DrainForecast forecast;
        forecast.service = configuration.services[i].id;
        forecast.slotsInUse = before.inUse - after.inUse;
        forecast.slotsDrained = before.usable - after.usable;
        forecast.slotsLeft = after.usable;
        forecast.slotsFree = std::max<std::int64_t>(0, after.usable - after.inUse);
        forecast.fits = forecast.slotsInUse <= forecast.slotsFree;
        forecasts.push_back(forecast);
    }
    return forecasts;
}

nlohmann::json toJson(const std::vector<DrainForecast> &forecast)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &entry : forecast) {
        list.push_back({{"service", entry.service.value()},
            {"slotsInUse", entry.slotsInUse},
            {"slotsDrained", entry.slotsDrained},
            {"slotsLeft", entry.slotsLeft},
            {"slotsFree", entry.slotsFree},
            {"fits", entry.fits}});
    }
    return list;
}

} // namespace Trefoil
