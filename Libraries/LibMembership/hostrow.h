#pragma once

#include <LibCore/strongid.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil
{

/// Content of the row hosts/<host>.
struct HostRow
{
    RegionId region;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    Incarnation incarnation;
    Epoch epoch;
    std::vector<HostId> guardians;
    bool leaving = false;
};

/// Nothing when the value has another shape. Thread safety: safe from any thread.
std::optional<HostRow> hostRowFromJson(const nlohmann::json &value);

nlohmann::json toJson(const HostRow &row);

std::string hostRowKey(const HostId &host);

/// Key of the row with a region's grants.
std::string grantsRowKey(const RegionId &region);

/// Key of the row that names the committed configuration; its value has the configuration's number in "version".
constexpr const char *configurationHeadKey = "configuration/head";

/// Key of a small row that is written together with the grants, so that a host learns of a change without reading all grants.
std::string grantsVersionRowKey(const RegionId &region);

} // namespace Trefoil
