#pragma once

#include <LibCore/result.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoil
{

/// What one run of trefoilctl does.
struct ToolSettings
{
    /// Administration addresses, IP:port, tried in turn.
    std::vector<std::string> hosts;
    std::string secret;
    /// Local IP of the connections; empty leaves the choice to the system.
    std::string sourceAddress;
    std::string author;
    /// One command from the command line; empty for a file or prompt.
    std::string command;
    /// A file of commands, "-" for standard input.
    std::string file;
    std::optional<std::uint64_t> baseVersion;
    bool dryRun = false;
    bool json = false;
    std::chrono::seconds timeout{20};
};

/// Help text that was asked for.
struct ToolHelp
{
    std::string text;
};

/// Reads flags and environment variables. All findings are reported together; each names its flag.
/// The secret comes from a file or from TREFOIL_ADMIN_SECRET, since other users of a machine can read command lines.
/// Precondition: argv holds argc strings. Thread safety: not safe beside changes of the environment.
Result<std::variant<ToolSettings, ToolHelp>> parseToolSettings(int argc, const char *const *argv);

} // namespace Trefoil
