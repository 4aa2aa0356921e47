#pragma once

#include "administrationclient.h"

#include <LibCore/findings.h>

#include <string>

namespace Trefoil
{

enum class ToolExit {
    Done = 0,
    Refused = 1,
    BadInput = 2,
    Unreachable = 3,
    /// Committed but not yet confirmed everywhere, or the outcome is unknown.
    OutcomeOpen = 4,
};

/// What is printed, and the exit code that goes with it.
struct Report
{
    std::string text;
    ToolExit exit = ToolExit::Done;
};

/// The report of one response, for people or as JSON. Precondition: none. Thread safety: safe from any thread.
Report makeReport(const AdministrationResult &result, bool asJson);

/// The report of input that was found invalid before it was sent. Precondition: none. Thread safety: safe from any thread.
Report makeReport(const Error &error, bool asJson);

/// A list of flat objects in aligned columns; names of things come first. Precondition: none. Thread safety: safe from any thread.
std::string tableText(const nlohmann::json &rows);

} // namespace Trefoil
