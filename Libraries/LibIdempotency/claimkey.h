#pragma once

#include <LibIdempotency/claim.h>

#include <chrono>
#include <optional>

namespace Trefoil
{

using WallTime = std::chrono::system_clock::time_point;

/// Claims are kept this long after the creation time of their key.
constexpr std::chrono::hours s_claimLifetime{24};
/// Clocks of callers and hosts may differ this much. Rows are deleted only this long after their key has expired.
constexpr std::chrono::minutes s_clockTolerance{10};

enum class KeyAge {
    /// Not of the form "<creation time in Unix seconds>-<text>", or created in the future.
    Invalid,
    Current,
    Expired,
};

/// Creation time that a key carries; nothing when it carries none.
/// Precondition: none. Thread safety: safe from any thread.
std::optional<WallTime> creationTime(const RequestKey &key);

/// Whether a claim may be made under the key now. Precondition: none. Thread safety: safe from any thread.
KeyAge keyAge(const RequestKey &key, WallTime now);

/// True when the key's row may be deleted: no host with a clock within the tolerance accepts the key any more.
/// Precondition: none. Thread safety: safe from any thread.
bool mayDeleteClaim(const RequestKey &key, WallTime now);

/// Row that holds the claim of a key. Precondition: no part of the key contains '/'. Thread safety: safe from any thread.
std::string rowKeyOf(const ClaimKey &key);

} // namespace Trefoil
