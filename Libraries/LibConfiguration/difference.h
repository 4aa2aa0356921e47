#pragma once

#include <LibConfiguration/configuration.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Trefoil
{

enum class ChangeAction {
    Added,
    Removed,
    Changed,
};

/// One row of the table of differences.
struct ConfigurationChange
{
    ChangeAction action = ChangeAction::Changed;
    /// Kind and name, for example "upstream cat-1" or "link gulf to plains".
    std::string subject;
    /// The changed member; empty when the whole subject was added or removed.
    std::string field;
    /// Values as text; for an added or removed subject all its members on the one side.
    std::string before;
    std::string after;
};

/// What changed from one configuration to another, without the version; sorted by subject and member.
/// Precondition: both are valid. Thread safety: safe from any thread.
std::vector<ConfigurationChange> difference(const Configuration &before, const Configuration &after);

/// The table as a list of objects with the members action, subject, field, before and after.
/// Precondition: none. Thread safety: safe from any thread.
nlohmann::json toJson(const std::vector<ConfigurationChange> &changes);

/// The table in aligned columns for people. Precondition: none. Thread safety: safe from any thread.
std::string toText(const std::vector<ConfigurationChange> &changes);

} // namespace Trefoil
