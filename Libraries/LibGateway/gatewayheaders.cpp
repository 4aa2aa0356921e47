#include <LibGateway/gatewayheaders.h>

#include <LibHttp/fieldvalue.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Trefoil
{

namespace
{

/// Figures of a load report without the optional work time.
constexpr std::size_t s_loadFigures = 3;
/// Reported work time of a machine that works at its usual speed.
constexpr double s_usualWorkPercent = 100;

/// Splits at commas and trims each part.
std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        parts.push_back(trimmed(text.substr(0, comma)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

} // namespace

void copyEndToEndFields(const HttpHeaders &from, HttpHeaders &to)
{
    const auto named = splitList(from.value("Connection"));
    for (const auto &field : from.all()) {
        const auto isNamed = [&field](std::string_view name) { return isSameHeaderName(field.name, name); };
        if (isConnectionHeader(field.name) || std::any_of(named.begin(), named.end(), isNamed)) {
            continue;
        }
        to.add(field.name, field.value);
    }
}

std::optional<LoadReport> parseLoadReport(std::string_view text)
{
    const auto parts = splitList(text);
    if (parts.size() != s_loadFigures && parts.size() != s_loadFigures + 1) {
        return std::nullopt;
    }
    const auto running = parseNumber<std::int32_t>(parts[0]);
    const auto waiting = parseNumber<std::int32_t>(parts[1]);
    if (!running || !waiting) {
        return std::nullopt;
    }
    if (parts.size() == s_loadFigures) {
        return LoadReport{*running, *waiting};
    }
    const auto workPercent = parseNumber<double>(parts[s_loadFigures]);
    // Written so that "nan" fails, too.
    if (!workPercent || !(*workPercent > 0) || !std::isfinite(*workPercent)) {
        return std::nullopt;
    }
    return LoadReport{*running, *waiting, *workPercent / s_usualWorkPercent};
}

RequestedPause parseRequestedPause(const HttpHeaders &headers)
{
    RequestedPause requested;
    bool isFirst = true;
    for (const HttpHeader &field : headers.all()) {
        if (!isSameHeaderName(field.name, "Retry-After")) {
            continue;
        }
        requested.isAdjusted = requested.isAdjusted || !isFirst;
        isFirst = false;
        const auto seconds = parseNumber<double>(trimmed(field.value));
        // Written so that "nan" fails, too.
        if (!seconds || !(*seconds >= 0)) {
            requested.isAdjusted = true;
            continue;
        }
        const std::chrono::duration<double> pause(*seconds);
        requested.isAdjusted = requested.isAdjusted || pause > s_maximumPause;
        const auto granted = pause > s_maximumPause ? s_maximumPause : std::chrono::ceil<std::chrono::milliseconds>(pause);
        requested.pause = std::max(requested.pause.value_or(granted), granted);
    }
    return requested;
}

std::optional<std::chrono::milliseconds> parseMilliseconds(std::string_view text)
{
    const auto number = parseNumber<std::int64_t>(trimmed(text));
    // 24 hours: longer than any caller waits, and far below an overflow of the clock's nanoseconds.
    constexpr std::int64_t maximum = 24LL * 3600 * 1000;
    if (!number || *number > maximum) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*number);
}

} // namespace Trefoil
