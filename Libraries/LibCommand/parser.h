#pragma once

#include <LibCommand/command.h>
#include <LibCore/result.h>

#include <string_view>
#include <vector>

namespace Trefoil
{

/// Reads all commands of a text. The error holds every finding with "line:column" as its place; no command is returned
/// beside findings. At most 100 findings are kept.
/// Precondition: none; any bytes are accepted as input. Thread safety: safe from any thread.
Result<std::vector<Command>> parseCommands(std::string_view text);

/// "line:column". Precondition: none. Thread safety: safe from any thread.
std::string toText(const SourcePlace &place);

/// A hint that offers the nearest of some names, or an empty string. Precondition: none. Thread safety: safe from any thread.
std::string nearestNameHint(const std::string &word, const std::vector<std::string> &names);

} // namespace Trefoil
