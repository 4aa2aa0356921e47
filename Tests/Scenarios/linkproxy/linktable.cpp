#include "linktable.h"

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil::LinkProxy
{

namespace
{

bool contains(const std::vector<EndpointIndex> &list, EndpointIndex index)
{
    return std::find(list.begin(), list.end(), index) != list.end();
}

} // namespace

LinkTable::LinkTable(std::vector<Endpoint> endpoints)
    : m_endpoints(std::move(endpoints))
{
    m_endpoints.insert(m_endpoints.begin(), Endpoint{"outside", "", {}});
    for (EndpointIndex i = 0; i < m_endpoints.size(); ++i) {
        m_byAddress.emplace(m_endpoints[i].ip, i);
    }
    m_links.resize(m_endpoints.size() * m_endpoints.size());
}

EndpointIndex LinkTable::byAddress(const std::string &ip) const
{
    const auto position = m_byAddress.find(ip);
    return position == m_byAddress.end() ? 0 : position->second;
}

std::vector<EndpointIndex> LinkTable::named(const std::string &name) const
{
    std::vector<EndpointIndex> found;
    for (EndpointIndex i = 0; i < m_endpoints.size(); ++i) {
        const auto &endpoint = m_endpoints[i];
        const bool inGroup = std::find(endpoint.groups.begin(), endpoint.groups.end(), name) != endpoint.groups.end();
        if (name == "*" || endpoint.name == name || inGroup) {
            found.push_back(i);
        }
    }
    return found;
}

const Link &LinkTable::link(EndpointIndex from, EndpointIndex to) const
{
    return m_links.at(from * m_endpoints.size() + to);
}

Result<LinkChange> LinkTable::parse(const nlohmann::json &document) const
{
    static const std::vector<std::pair<std::string, LinkMode>> modes = {{"normal", LinkMode::Normal}, {"cut", LinkMode::Cut}, {"silent", LinkMode::Silent}};
    if (!document.is_object()) {
        return Error{ErrorCode::InvalidInput, "must be an object"};
    }
    LinkChange change;
    try {
        change.from = named(document.at("from").get<std::string>());
        change.to = named(document.at("to").get<std::string>());
        const auto name = document.value("mode", "normal");
        const auto mode = std::find_if(modes.begin(), modes.end(), [&name](const auto &entry) { return entry.first == name; });
        if (mode == modes.end()) {
            return Error{ErrorCode::InvalidInput, fmt::format("unknown mode \"{}\"", name)};
        }
        change.link = {mode->second, std::chrono::milliseconds(document.value("delayMs", 0))};
        change.bothWays = !document.value("oneWay", false);
        change.existingOnly = document.value("existingOnly", false);
    } catch (const nlohmann::json::exception &error) {
        return Error{ErrorCode::InvalidInput, error.what()};
    }
    if (change.from.empty() || change.to.empty()) {
        return Error{ErrorCode::InvalidInput, "no endpoint has the name in \"from\" or \"to\""};
    }
    return change;
}

void LinkTable::apply(const LinkChange &change)
{
    if (change.existingOnly) {
        return;
    }
    for (const auto from : change.from) {
        for (const auto to : change.to) {
            m_links.at(from * m_endpoints.size() + to) = change.link;
            if (change.bothWays) {
                m_links.at(to * m_endpoints.size() + from) = change.link;
            }
        }
    }
}

bool LinkTable::touches(const LinkChange &change, EndpointIndex source, EndpointIndex destination)
{
    return (contains(change.from, source) && contains(change.to, destination)) || (contains(change.from, destination) && contains(change.to, source));
}

} // namespace Trefoil::LinkProxy
