#pragma once

#include <cstdint>
#include <string_view>

namespace Trefoil
{

/// Score of an upstream for a key by rendezvous hashing; the upstream with the highest score is preferred. All hosts compute the same order without
/// exchanging messages, and an upstream that joins or leaves moves only its own keys.
/// Handles many small caches under one load: each key warms few upstreams, not all of them.
/// Precondition: weight is positive. Thread safety: safe from any thread.
double affinityScore(std::uint64_t keyHash, std::uint64_t upstreamHash, double weight);

/// Maps the upper bits of a hash to a number in (0, 1). Precondition: none. Thread safety: safe from any thread.
double unitInterval(std::uint64_t hash);

/// Hash of a key or id, the same on all hosts. Precondition: none. Thread safety: safe from any thread.
std::uint64_t stableHash(std::string_view text);

} // namespace Trefoil
