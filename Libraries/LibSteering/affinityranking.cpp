#include <LibSteering/affinityranking.h>

#include <cmath>
#include <xxhash.h>

namespace Trefoil
{

double affinityScore(std::uint64_t keyHash, std::uint64_t upstreamHash, double weight)
{
    const std::uint64_t pair[] = {keyHash, upstreamHash};
    const std::uint64_t hash = XXH3_64bits(pair, sizeof pair);
    // 53 random bits as a number in (0, 1); the logarithm makes the share of first places proportional to the weights.
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
    return -weight / std::log(uniform);
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace Trefoil
