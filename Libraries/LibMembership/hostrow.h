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

/// Parses the value of a host row; std::nullopt when a field is missing or has the wrong type. Thread safety: safe from any
/// thread.
std::optional<HostRow> hostRowFromJson(const nlohmann::json &value);

nlohmann::json toJson(const HostRow &row);

std::string hostRowKey(const HostId &host);

/// Key of the row with a region's grants.
std::string grantsRowKey(const RegionId &region);

/// Key of the row that identifies the committed configuration; "version" in its value is the configuration's version.
constexpr const char *configurationHeadKey = "configuration/head";

/// Key of a small row that is written in the same transaction as the grants, so that a host detects a change without
/// reading all grants.
std::string grantsVersionRowKey(const RegionId &region);

} // namespace Trefoil
