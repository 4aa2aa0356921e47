#pragma once

#include <LibConfiguration/configuration.h>

#include <string>

namespace Trefoil
{

/// Hexadecimal XXH3-128 digest of the document's canonical JSON text; equal documents have equal digests.
/// It detects damage and mix-ups, not forgery. Precondition: none. Thread safety: safe from any thread.
std::string digest(const Configuration &configuration);

} // namespace Trefoil
