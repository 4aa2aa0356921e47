#pragma once

#include <LibCommand/command.h>
#include <LibCore/result.h>

#include <vector>

namespace Trefoil
{

/// Applies the changes among some commands, in their order, and raises the version by one. Either all of them apply or
/// the error holds all findings, each with "line:column" as its place. Queries are passed over.
/// Precondition: base is valid and commands came from parseCommands(). Thread safety: safe from any thread.
Result<Configuration> applyCommands(const Configuration &base, const std::vector<Command> &commands);

} // namespace Trefoil
