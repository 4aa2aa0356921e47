#pragma once

#include <string>

namespace Trefoil
{

/// Text for people, and the exit status of the tool.
struct CheckOutcome
{
    std::string text;
    int exit = 0;
};

/// Checks a configuration as the platform's store holds it, and tells what it changes when inForce isn't empty. The status is 0 without errors, 1 with some
/// and 2 when one of the texts can't be read. Precondition: none. Thread safety: safe from any thread.
CheckOutcome checkConfigurationText(const std::string &proposed, const std::string &inForce);

/// The subcommand `check FILE [--in-force FILE]`; "-" reads standard input.
/// Precondition: argv[0] is the subcommand's name. Returns the exit status, as of checkConfigurationText().
int runCheck(int argc, const char *const *argv);

} // namespace Trefoil
