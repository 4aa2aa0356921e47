#pragma once

#include <LibCore/findings.h>
#include <LibRouting/routingconfiguration.h>

#include <string>
#include <vector>

namespace Trefoil
{

/// What is wrong with a configuration that can be read.
struct ConfigurationReport
{
    /// Parts that can't work as written.
    Findings errors;
    /// Parts that have no effect, and limits that contradict each other.
    Findings warnings;
};

/// Checks a configuration before it is put in force. Each finding names its place, such as "routes/r-1"; none contains a key.
/// Precondition: none. Thread safety: safe from any thread.
ConfigurationReport checkConfiguration(const RoutingConfiguration &configuration);

/// What a configuration changes, one line for each route, service, customer and limit, in the order of their names. Of keys only the number of those that
/// come and go is told. Precondition: none. Thread safety: safe from any thread.
std::vector<std::string> describeChanges(const RoutingConfiguration &inForce, const RoutingConfiguration &proposed);

} // namespace Trefoil
