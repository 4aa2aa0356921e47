#include <LibSettings/gatewaysettings.h>

#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Trefoil
{

namespace
{

using Json = nlohmann::json;

/// In megabytes. An idle host with its tables takes about 20; the largest machines have less than a million.
constexpr int s_smallestMemory = 40;
constexpr int s_largestMemory = 1000000;

/// Reads values by JSON pointer and collects what is wrong with them.
class Reader
{
public:
    explicit Reader(const Json &document)
        : m_document(document)
    {
    }

    std::string text(const std::string &place)
    {
        const Json *value = find(place);
        if (!value || !value->is_string() || value->get_ref<const std::string &>().empty()) {
            m_findings.push_back({place, "a text is required", ""});
            return {};
        }
        return value->get<std::string>();
    }

    double number(const std::string &place, double fallback)
    {
        const Json *value = find(place);
        if (!value) {
            return fallback;
        }
        if (!value->is_number() || value->get<double>() < 0) {
            m_findings.push_back({place, "a number of at least 0 is required", ""});
            return fallback;
        }
        return value->get<double>();
    }

    /// Memory in megabytes.
    double memory(const std::string &place, double fallback)
    {
        const Json *value = find(place);
        if (!value) {
            return fallback;
        }
        const double number = value->is_number() ? value->get<double>() : 0;
        if (number < s_smallestMemory || number > s_largestMemory) {
            m_findings.push_back({place, fmt::format("a number of megabytes from {} to {} is required", s_smallestMemory, s_largestMemory), ""});
            return fallback;
        }
        return number;
    }

    bool boolean(const std::string &place, bool fallback)
    {
        const Json *value = find(place);
        if (!value) {
            return fallback;
        }
        if (!value->is_boolean()) {
            m_findings.push_back({place, "true or false is required", ""});
            return fallback;
        }
        return value->get<bool>();
    }

    std::optional<EntryHostChoice> entryHostChoice(const std::string &place)
    {
        const Json *value = find(place);
        if (!value) {
            return std::nullopt;
        }
        if (*value != "even" && *value != "capacity") {
            m_findings.push_back({place, "\"even\" or \"capacity\" is required", ""});
        }
        return *value == "capacity" ? EntryHostChoice::Capacity : EntryHostChoice::Even;
    }

    std::vector<std::string> texts(const std::string &place)
    {
        std::vector<std::string> result;
        const Json *value = find(place);
        if (value && !value->is_array()) {
            m_findings.push_back({place, "a list of texts is required", ""});
            return result;
        }
        for (const Json &entry : value ? *value : Json::array()) {
            if (entry.is_string()) {
                result.push_back(entry.get<std::string>());
            }
        }
        return result;
    }

    std::chrono::milliseconds duration(const std::string &place, std::chrono::milliseconds fallback)
    {
        const Json *value = find(place);
        if (!value) {
            return fallback;
        }
        const auto time = value->is_string() ? parseDuration(value->get_ref<const std::string &>()) : std::nullopt;
        if (!time) {
            m_findings.push_back({place, "a time such as \"1500ms\" or \"2.5s\" is required", ""});
            return fallback;
        }
        return *time;
    }

    std::map<ZoneId, RegionId> regionsOfZones(const std::string &place)
    {
        std::map<ZoneId, RegionId> regions;
        const Json *value = find(place);
        if (!value || !value->is_object() || value->empty()) {
            m_findings.push_back({place, "an object with the region of each availability zone is required", ""});
            return regions;
        }
        for (const auto &[zone, region] : value->items()) {
            if (!region.is_string()) {
                std::string placeOfZone = place;
                m_findings.push_back({placeOfZone.append("/").append(zone), "the name of a region is required", ""});
                continue;
            }
            regions.emplace(ZoneId(zone), RegionId(region.get<std::string>()));
        }
        return regions;
    }

    Findings takeFindings()
    {
        return std::move(m_findings);
    }

private:
    /// Null for a value that is absent or null.
    const Json *find(const std::string &place) const
    {
        const Json::json_pointer pointer(place);
        if (!m_document.contains(pointer) || m_document.at(pointer).is_null()) {
            return nullptr;
        }
        return &m_document.at(pointer);
    }

    const Json &m_document;
    Findings m_findings;
};

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const auto unit = text.find_first_not_of("0123456789.");
    if (unit == std::string_view::npos || unit == 0) {
        return std::nullopt;
    }
    const std::string digits(text.substr(0, unit));
    char *end = nullptr;
    const double number = std::strtod(digits.c_str(), &end);
    const double factor = text.substr(unit) == "ms" ? 1 : text.substr(unit) == "s" ? 1000 : 0;
    constexpr double longest = 1e12;
    if (*end != '\0' || factor <= 0 || number * factor > longest) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(number * factor));
}

Result<PlatformHostSettings> parseGatewaySettings(const std::string &text)
{
    const Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded() || !document.is_object()) {
        return Error{ErrorCode::InvalidInput, "invalid settings", {{"/", "the settings are not a JSON object", ""}}};
    }
    Reader reader(document);
    PlatformHostSettings settings;
    settings.host = HostId(reader.text("/host"));
    settings.zone = ZoneId(reader.text("/zone"));
    settings.region = RegionId(reader.text("/region"));
    settings.sourceAddress = reader.text("/sourceAddress");
    settings.callerAddress = reader.text("/callerAddress");
    settings.readinessAddress = reader.text("/readinessAddress");
    settings.lookupAddress = reader.text("/lookupAddress");
    settings.peerAddress = reader.text("/peerAddress");
    settings.metricsAddress = reader.text("/metricsAddress");
    settings.zones = reader.regionsOfZones("/zones");
    settings.storeAddress = reader.text("/store/address");
    settings.terms = reader.texts("/terms");
    settings.isFirstStart = reader.boolean("/firstStart", settings.isFirstStart);
    GatewayLimits &limits = settings.limits;
    limits.stopGrace = reader.duration("/limits/stopGrace", limits.stopGrace);
    limits.lookupLifetime = reader.duration("/limits/lookupLifetime", limits.lookupLifetime);
    limits.retryRatio = reader.number("/limits/retryRatio", limits.retryRatio);
    limits.retryWindow = reader.duration("/limits/retryWindow", limits.retryWindow);
    limits.retrySlack = reader.number("/limits/retrySlack", limits.retrySlack);
    limits.coldFactor = reader.number("/limits/coldFactor", limits.coldFactor);
    limits.coldSlack = reader.number("/limits/coldSlack", limits.coldSlack);
    limits.maximumShift = reader.number("/limits/largestShift", limits.maximumShift);
    limits.drainNotice = reader.duration("/limits/drainNotice", limits.drainNotice);
    limits.configurationApply = reader.duration("/limits/configurationApply", limits.configurationApply);
    limits.memory = reader.memory("/limits/memory", limits.memory);
    limits.isRevocationStrict = reader.boolean("/limits/strictRevocation", limits.isRevocationStrict);
    limits.revocationTime = reader.duration("/limits/revocationTime", limits.revocationTime);
    limits.quotaWindow = reader.duration("/limits/quotaWindow", limits.quotaWindow);
    limits.quotaOverage = reader.number("/limits/quotaOverage", limits.quotaOverage);
    limits.quotaSlack = reader.number("/limits/quotaSlack", limits.quotaSlack);
    limits.cores = reader.number("/limits/cores", limits.cores);
    limits.linkMegabits = reader.number("/limits/linkMegabits", limits.linkMegabits);
    limits.descriptors = reader.number("/limits/descriptors", limits.descriptors);
    limits.entryHostChoice = reader.entryHostChoice("/limits/entryHostChoice");
    Findings findings = reader.takeFindings();
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "invalid settings", std::move(findings)};
    }
    return settings;
}

} // namespace Trefoil
