#include <LibStore/hostlistclient.h>

#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

namespace
{

constexpr int s_ok = 200;
constexpr int s_notModified = 304;

std::string text(const json &object, const char *name)
{
    const auto position = object.find(name);
    return position != object.end() && position->is_string() ? position->get<std::string>() : std::string();
}

HostList hostListFromJson(const json &body)
{
    HostList list;
    for (const auto &item : body.value("hosts", json::array())) {
        if (!item.is_object() || text(item, "id").empty()) {
            continue;
        }
        list.hosts.push_back(
            {HostId(text(item, "id")), RegionId(text(item, "region")), ZoneId(text(item, "zone")), text(item, "address"), text(item, "state") == "leaving"});
    }
    for (const auto &item : body.value("upstreams", json::array())) {
        if (!item.is_object() || text(item, "id").empty()) {
            continue;
        }
        list.upstreams.push_back({UpstreamId(text(item, "id")), text(item, "state") == "leaving"});
    }
    return list;
}

} // namespace

HostListClient::HostListClient(boost::asio::io_context &context, const StoreSettings &settings)
    : m_connection(context, settings)
{
}

HostListResult HostListClient::list(BootTime deadline, const boost::asio::yield_context &yield)
{
    auto result = m_connection.requestRepeatedly({"GET", "/v1/hosts", {}, m_entityTag}, StoreAccess::Read, deadline, yield);
    if (auto *unavailable = std::get_if<Unavailable>(&result)) {
        return std::move(*unavailable);
    }
    const auto &response = std::get<JsonResponse>(result);
    if (response.status == s_notModified) {
        return HostListUnchanged{};
    }
    const json body = response.json();
    if (response.status != s_ok || !body.is_object()) {
        return Unavailable{fmt::format("the host list responded {}", response.status)};
    }
    m_entityTag = response.entityTag;
    return hostListFromJson(body);
}

} // namespace Trefoil
