#pragma once

#include <LibIdempotency/claim.h>
#include <LibIdempotency/claimkey.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace Trefoil
{

/// Content of the row of a claimed key.
struct ClaimRow
{
    /// Names the attempt that holds the claim; unique over all hosts and time.
    std::string claimId;
    /// Until then the holder may still be at work on the request.
    WallTime deadline;
    /// Set once the response is known.
    std::optional<StoredResponse> response;
    /// The request was answered, but its response was too large to keep.
    bool responseTooLarge = false;
};

/// Bodies above this are not kept, since a row of the table service is small.
constexpr std::size_t s_largestStoredBody = std::size_t{64} * 1024;

/// Precondition: none. Thread safety: safe from any thread.
nlohmann::json toJson(const ClaimRow &row);

/// Nothing when the value is not the row of a claim. Precondition: none. Thread safety: safe from any thread.
std::optional<ClaimRow> claimRowFromJson(const nlohmann::json &value);

/// What a row means for an attempt under the given claim id. A damaged row reads as an unknown outcome, which blocks the
/// key but never lets a request run twice. Precondition: none. Thread safety: safe from any thread.
ClaimResult interpretClaim(const nlohmann::json &value, const std::string &ownClaimId, WallTime now);

} // namespace Trefoil
