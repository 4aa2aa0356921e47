#pragma once

#include <LibCore/result.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace Trefoil
{

/// Collects the log lines of one request from the logs of any number of hosts and tells in sentences what happened, in the order
/// of the lines' times. Lines that are no JSON objects are passed over. An error when no line names the request.
/// Precondition: the streams can be read. Thread safety: safe from any thread.
Result<std::string> explainRequest(const std::string &requestId, const std::vector<std::istream *> &logs);

/// The subcommand `explain REQUEST-ID [FILE ...]`; without files it reads standard input.
/// Precondition: argv[0] is the subcommand's name. Returns the exit status: 0, 1 when nothing is known of the request, 2 for bad input.
int runExplain(int argc, const char *const *argv);

} // namespace Trefoil
