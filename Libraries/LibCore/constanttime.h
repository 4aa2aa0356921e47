#pragma once

#include <string_view>

namespace Trefoil
{

/// Compares a given secret with the expected one. The time taken depends on the length of the given text only, so that
/// an attacker cannot find the secret byte by byte. An empty expected secret equals nothing.
/// Precondition: none. Thread safety: safe from any thread.
bool equalInConstantTime(std::string_view given, std::string_view expected);

} // namespace Trefoil
