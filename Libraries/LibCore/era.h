#pragma once

#include <LibCore/strongid.h>

namespace Trefoil
{

/// How often the store has come back from an older copy; 0 for a store that doesn't say. Versions of different eras can't be compared, since the store
/// assigns them again.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

} // namespace Trefoil
