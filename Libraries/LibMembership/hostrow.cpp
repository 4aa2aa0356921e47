#include <LibMembership/hostrow.h>

namespace Trefoil
{

using nlohmann::json;

std::optional<HostRow> hostRowFromJson(const json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    for (const char *name : {"region", "zone", "caller", "peer"}) {
        if (!value.contains(name) || !value[name].is_string()) {
            return std::nullopt;
        }
    }
    for (const char *name : {"incarnation", "epoch"}) {
        if (!value.contains(name) || !value[name].is_number_unsigned()) {
            return std::nullopt;
        }
    }
    HostRow row{RegionId(value["region"].get<std::string>()),
        ZoneId(value["zone"].get<std::string>()),
        value["caller"].get<std::string>(),
        value["peer"].get<std::string>(),
        Incarnation(value["incarnation"].get<std::uint64_t>()),
        Epoch(value["epoch"].get<std::uint64_t>()),
        {},
        false};
    for (const auto &guardian : value.value("guardians", json::array())) {
        if (!guardian.is_string()) {
            return std::nullopt;
        }
        row.guardians.emplace_back(guardian.get<std::string>());
    }
    row.leaving = value.contains("leaving") && value["leaving"] == true;
    return row;
}

json toJson(const HostRow &row)
{
    json guardians = json::array();
    for (const auto &guardian : row.guardians) {
        guardians.push_back(guardian.value());
    }
    return {{"region", row.region.value()},
        {"zone", row.zone.value()},
        {"caller", row.callerAddress},
        {"peer", row.peerAddress},
        {"incarnation", row.incarnation.value()},
        {"epoch", row.epoch.value()},
        {"guardians", std::move(guardians)},
        {"leaving", row.leaving}};
}

std::string hostRowKey(const HostId &host)
{
    return "hosts/" + host.value();
}

std::string grantsRowKey(const RegionId &region)
{
    return "grants/" + region.value();
}

std::string grantsVersionRowKey(const RegionId &region)
{
    return "grants-version/" + region.value();
}

} // namespace Trefoil
