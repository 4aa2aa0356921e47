#pragma once

namespace Trefoil
{

/// Version of both programs, as printed by --version.
constexpr const char *versionText = "0.1.0";

} // namespace Trefoil
