#pragma once

#include <Services/trefoilmountd/requestmodel.h>

#include <string>

namespace Trefoil
{

/// First filter: reads target and headers. For invalid input, returns the error response that names the field.
/// Precondition: callerAddress is an IPv4 number. Thread safety: safe from any thread.
ParsedInput parseRequest(const HttpRequest &request, const std::string &callerAddress);

} // namespace Trefoil
