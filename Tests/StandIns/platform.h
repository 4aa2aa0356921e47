#pragma once

/// The subcommands of the platform's stand-ins: `table`, `objects` and `hostlist`, each with `--listen IP:port`.
namespace Trefoil
{

/// Precondition: argv[0] is the subcommand's name. Returns the exit status.
int runPlatformStandIn(int argc, const char *const *argv);

} // namespace Trefoil
