#include <LibSteering/affinityranking.h>

#include <cmath>
#include <xxhash.h>

namespace Trefoil
{

double affinityScore(std::uint64_t keyHash, std::uint64_t upstreamHash, double weight)
{
    const std::uint64_t pair[] = {keyHash, upstreamHash};
    // The logarithm makes the fraction of keys that prefer an upstream proportional to its weight.
    return -weight / std::log(unitInterval(XXH3_64bits(pair, sizeof pair)));
}

double unitInterval(std::uint64_t hash)
{
    // The significand of a double has 53 bits.
    return (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace Trefoil
