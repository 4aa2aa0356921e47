#include <LibConfiguration/json.h>

#include <LibConfiguration/validation.h>

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace Trefoil
{

using nlohmann::json;

namespace
{

const char *objectiveName(Objective objective)
{
    return objective == Objective::Latency ? "latency" : "headroom";
}

/// Reads the members of one JSON object; collects a finding for each fault and for each member that nobody asked for.
class ObjectReader
{
public:
    ObjectReader(const json &object, std::string place, Findings &findings)
        : m_object(object.is_object() ? object : s_emptyObject)
        , m_place(std::move(place))
        , m_findings(findings)
    {
        if (!object.is_object()) {
            m_findings.push_back({m_place.empty() ? "/" : m_place, "must be an object", {}});
        }
    }

    ~ObjectReader()
    {
        for (const auto &member : m_object.items()) {
            if (std::find(m_known.begin(), m_known.end(), member.key()) != m_known.end()) {
                continue;
            }
            const std::string nearest = nearestName(member.key(), m_known);
            m_findings.push_back({m_place + "/" + member.key(), "unknown member", nearest.empty() ? "" : fmt::format("did you mean \"{}\"?", nearest)});
        }
    }

    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;

    template<typename Tag>
    void readId(const char *name, StrongId<Tag, std::string> &target)
    {
        std::string text;
        readText(name, text);
        target = StrongId<Tag, std::string>(std::move(text));
    }

    void readText(const char *name, std::string &target)
    {
        const json *value = find(name, true);
        if (value == nullptr) {
            return;
        }
        if (!value->is_string()) {
            fault(name, "must be a string");
            return;
        }
        target = value->get<std::string>();
    }

    void readBoolean(const char *name, bool &target)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_boolean()) {
            fault(name, "must be true or false");
            return;
        }
        target = value->get<bool>();
    }

    template<typename Integer>
    void readInteger(const char *name, Integer &target, bool required = false)
    {
        const json *value = find(name, required);
        if (value == nullptr) {
            return;
        }
        const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<Integer>::max());
        const bool outside = value->is_number_integer() && !value->is_number_unsigned()
            && (value->get<std::int64_t>() < 0
                && (std::is_unsigned_v<Integer> || value->get<std::int64_t>() < static_cast<std::int64_t>(std::numeric_limits<Integer>::min())));
        if (!value->is_number_integer() || tooLarge || outside) {
            fault(name, "must be an integer in range");
            return;
        }
        target = value->get<Integer>();
    }

    template<typename Tag, typename Rep>
    void readQuantity(const char *name, Quantity<Tag, Rep> &target)
    {
        Rep number = target.value();
        readInteger(name, number, true);
        target = Quantity<Tag, Rep>(number);
    }

    void readMilliseconds(const char *name, Milliseconds &target)
    {
        std::int64_t number = target.count();
        readInteger(name, number);
        target = Milliseconds(number);
    }

    void readObjective(const char *name, Objective &target)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        if (*value == "latency") {
            target = Objective::Latency;
        } else if (*value == "headroom") {
            target = Objective::Headroom;
        } else {
            fault(name, "must be \"latency\" or \"headroom\"");
        }
    }

    template<typename Item, typename ReadItem>
    void readList(const char *name, std::vector<Item> &target, ReadItem readItem)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            fault(name, "must be a list");
            return;
        }
        target.reserve(value->size());
        for (std::size_t i = 0; i < value->size(); ++i) {
            ObjectReader reader((*value)[i], fmt::format("{}/{}/{}", m_place, name, i), m_findings);
            target.push_back(readItem(reader));
        }
    }

    template<typename ReadItem>
    void readObject(const char *name, ReadItem readItem)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        ObjectReader reader(*value, m_place + "/" + name, m_findings);
        readItem(reader);
    }

private:
    const json *find(const char *name, bool required)
    {
        m_known.emplace_back(name);
        const auto position = m_object.find(name);
        if (position != m_object.end()) {
            return &*position;
        }
        if (required) {
            fault(name, "is missing");
        }
        return nullptr;
    }

    void fault(const char *name, std::string message)
    {
        m_findings.push_back({m_place + "/" + name, std::move(message), {}});
    }

    static const json s_emptyObject;

    const json &m_object;
    std::string m_place;
    Findings &m_findings;
    std::vector<std::string> m_known;
};

const json ObjectReader::s_emptyObject = json::object();

json toJson(const RegionConfiguration &region)
{
    json zones = json::array();
    for (const auto &zone : region.zones) {
        zones.push_back({{"id", zone.id.value()}, {"drained", zone.drained}});
    }
    return {{"id", region.id.value()}, {"zones", std::move(zones)}, {"limitPercent", region.limitPercent}, {"drained", region.drained}};
}

json toJson(const LinkConfiguration &link)
{
    return {{"from", link.from.value()}, {"to", link.to.value()}, {"delayMs", link.delay.count()}, {"capacityKbps", link.capacity.value()}};
}

json toJson(const UpstreamConfiguration &upstream)
{
    return {{"id", upstream.id.value()},
        {"region", upstream.region.value()},
        {"zone", upstream.zone.value()},
        {"address", upstream.address},
        {"slots", upstream.slots.value()},
        {"connections", upstream.connections.value()},
        {"weight", upstream.weight},
        {"drained", upstream.drained}};
}

json toJson(const ServiceConfiguration &service)
{
    json upstreams = json::array();
    for (const auto &upstream : service.upstreams) {
        upstreams.push_back(toJson(upstream));
    }
    return {{"id", service.id.value()},
        {"objective", objectiveName(service.objective)},
        {"shiftCap", {{"requests", service.shiftCap.requests.value()}, {"intervalMs", service.shiftCap.interval.count()}}},
        {"upstreams", std::move(upstreams)}};
}

json toJson(const ClassConfiguration &requestClass)
{
    return {{"id", requestClass.id.value()},
        {"mayWait", requestClass.mayWait},
        {"mayRepeat", requestClass.mayRepeat},
        {"defaultDeadlineMs", requestClass.defaultDeadline.count()},
        {"progressTimeoutMs", requestClass.progressTimeout.count()}};
}

json toJson(const TenantConfiguration &tenant)
{
    return {{"id", tenant.id.value()}, {"weight", tenant.weight}};
}

json toJson(const ClientBlockConfiguration &block)
{
    return {{"block", block.block}, {"region", block.region.value()}};
}

template<typename Item>
json listToJson(const std::vector<Item> &items)
{
    json list = json::array();
    for (const auto &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

RegionConfiguration readRegion(ObjectReader &reader)
{
    RegionConfiguration region;
    reader.readId("id", region.id);
    reader.readList("zones", region.zones, [](ObjectReader &zoneReader) {
        ZoneConfiguration zone;
        zoneReader.readId("id", zone.id);
        zoneReader.readBoolean("drained", zone.drained);
        return zone;
    });
    reader.readInteger("limitPercent", region.limitPercent);
    reader.readBoolean("drained", region.drained);
    return region;
}

LinkConfiguration readLink(ObjectReader &reader)
{
    LinkConfiguration link;
    reader.readId("from", link.from);
    reader.readId("to", link.to);
    reader.readMilliseconds("delayMs", link.delay);
    reader.readQuantity("capacityKbps", link.capacity);
    return link;
}

UpstreamConfiguration readUpstream(ObjectReader &reader)
{
    UpstreamConfiguration upstream;
    reader.readId("id", upstream.id);
    reader.readId("region", upstream.region);
    reader.readId("zone", upstream.zone);
    reader.readText("address", upstream.address);
    reader.readQuantity("slots", upstream.slots);
    reader.readQuantity("connections", upstream.connections);
    reader.readInteger("weight", upstream.weight);
    reader.readBoolean("drained", upstream.drained);
    return upstream;
}

ServiceConfiguration readService(ObjectReader &reader)
{
    ServiceConfiguration service;
    reader.readId("id", service.id);
    reader.readObjective("objective", service.objective);
    reader.readObject("shiftCap", [&service](ObjectReader &capReader) {
        capReader.readQuantity("requests", service.shiftCap.requests);
        capReader.readMilliseconds("intervalMs", service.shiftCap.interval);
    });
    reader.readList("upstreams", service.upstreams, readUpstream);
    return service;
}

ClassConfiguration readClass(ObjectReader &reader)
{
    ClassConfiguration requestClass;
    reader.readId("id", requestClass.id);
    reader.readBoolean("mayWait", requestClass.mayWait);
    reader.readBoolean("mayRepeat", requestClass.mayRepeat);
    reader.readMilliseconds("defaultDeadlineMs", requestClass.defaultDeadline);
    reader.readMilliseconds("progressTimeoutMs", requestClass.progressTimeout);
    return requestClass;
}

TenantConfiguration readTenant(ObjectReader &reader)
{
    TenantConfiguration tenant;
    reader.readId("id", tenant.id);
    reader.readInteger("weight", tenant.weight);
    return tenant;
}

ClientBlockConfiguration readClientBlock(ObjectReader &reader)
{
    ClientBlockConfiguration block;
    reader.readText("block", block.block);
    reader.readId("region", block.region);
    return block;
}

Configuration readConfiguration(const json &document, Findings &findings)
{
    ObjectReader reader(document, "", findings);
    Configuration configuration;
    std::uint64_t version = 0;
    reader.readInteger("version", version, true);
    configuration.version = ConfigurationVersion(version);
    reader.readList("regions", configuration.regions, readRegion);
    reader.readList("links", configuration.links, readLink);
    reader.readList("services", configuration.services, readService);
    reader.readList("classes", configuration.classes, readClass);
    reader.readList("tenants", configuration.tenants, readTenant);
    reader.readList("clientBlocks", configuration.clientBlocks, readClientBlock);
    return configuration;
}

} // namespace

json toJson(const Configuration &configuration)
{
    return {{"version", configuration.version.value()},
        {"regions", listToJson(configuration.regions)},
        {"links", listToJson(configuration.links)},
        {"services", listToJson(configuration.services)},
        {"classes", listToJson(configuration.classes)},
        {"tenants", listToJson(configuration.tenants)},
        {"clientBlocks", listToJson(configuration.clientBlocks)}};
}

Result<Configuration> configurationFromJson(const json &document)
{
    Findings findings;
    Configuration configuration = readConfiguration(document, findings);
    if (findings.empty()) {
        findings = validate(configuration);
    }
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "the configuration is invalid", std::move(findings)};
    }
    return configuration;
}

} // namespace Trefoil
