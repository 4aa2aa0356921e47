#include <LibIdempotency/claimkey.h>

#include <charconv>
#include <fmt/format.h>

namespace Trefoil
{

std::optional<WallTime> creationTime(const RequestKey &key)
{
    // Ten digits hold every second until the year 2286 and keep the order of rows the order of time.
    constexpr std::size_t digits = 10;
    const std::string &text = key.value();
    if (text.size() < digits + 2 || text[digits] != '-') {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + digits, seconds);
    if (error != std::errc{} || end != text.data() + digits || seconds < 0) {
        return std::nullopt;
    }
    return WallTime(std::chrono::seconds(seconds));
}

KeyAge keyAge(const RequestKey &key, WallTime now)
{
    const auto created = creationTime(key);
    if (!created || *created > now + s_clockTolerance) {
        return KeyAge::Invalid;
    }
    return now - *created >= s_claimLifetime ? KeyAge::Expired : KeyAge::Current;
}

bool mayDeleteClaim(const RequestKey &key, WallTime now)
{
    const auto created = creationTime(key);
    return created && now - *created >= s_claimLifetime + s_clockTolerance;
}

std::string rowKeyOf(const ClaimKey &key)
{
    return fmt::format("claims/{}/{}/{}", key.service.value(), key.tenant.value(), key.key.value());
}

} // namespace Trefoil
