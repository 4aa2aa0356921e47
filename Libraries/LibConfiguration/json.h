#pragma once

#include <LibConfiguration/configuration.h>
#include <LibCore/result.h>

#include <nlohmann/json.hpp>

namespace Trefoil
{

/// The document's JSON form. Precondition: none. Thread safety: safe from any thread.
nlohmann::json toJson(const Configuration &configuration);

/// Reads and validates a document. All findings are collected, each with the JSON pointer of its place.
/// Precondition: none; any JSON value is accepted as input. Thread safety: safe from any thread.
Result<Configuration> configurationFromJson(const nlohmann::json &document);

} // namespace Trefoil
