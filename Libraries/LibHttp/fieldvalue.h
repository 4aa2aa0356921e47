#pragma once

#include <string_view>

namespace Trefoil
{

/// The text without the spaces and tabs around it, which belong to no field value (RFC 9110, section 5.5).
/// Precondition: none. Thread safety: safe from any thread.
std::string_view trimmed(std::string_view text);

} // namespace Trefoil
