#include <LibConfiguration/digest.h>

#include <LibConfiguration/json.h>

#include <fmt/format.h>
#include <xxhash.h>

namespace Trefoil
{

std::string digest(const Configuration &configuration)
{
    const std::string text = toJson(configuration).dump();
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace Trefoil
