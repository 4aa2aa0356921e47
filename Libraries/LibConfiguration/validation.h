#pragma once

#include <LibConfiguration/configuration.h>
#include <LibCore/findings.h>

namespace Trefoil
{

/// Checks references, ranges and uniqueness; an empty list means that the configuration is sound.
/// Precondition: none. Thread safety: safe from any thread.
Findings validate(const Configuration &configuration);

/// True for a name of 1 to 64 letters, digits, '-', '_' or '.', that starts with a letter or digit.
/// Precondition: none. Thread safety: safe from any thread.
bool isValidName(const std::string &name);

/// True for an IPv4 number and a port from 1 to 65535, for example 127.0.0.1:9001.
/// Precondition: none. Thread safety: safe from any thread.
bool isValidAddress(const std::string &address);

} // namespace Trefoil
