#include <StandIns/hostlist.h>

#include <algorithm>
#include <functional>

namespace Trefoil::StandIns
{

using nlohmann::json;

namespace
{

void putEntry(json &entries, const json &entry)
{
    const auto position = std::find_if(entries.begin(), entries.end(), [&entry](const json &present) { return present["id"] == entry["id"]; });
    if (position == entries.end()) {
        entries.push_back(entry);
        return;
    }
    position->update(entry);
}

void removeEntry(json &entries, const json &id)
{
    json kept = json::array();
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(kept), [&id](const json &entry) { return entry["id"] != id; });
    entries = std::move(kept);
}

std::string entityTagOf(const std::string &body)
{
    return '"' + std::to_string(std::hash<std::string>{}(body)) + '"';
}

} // namespace

void HostList::showDueChanges(Time now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
        m_visible = std::move(m_pending.front().list);
        m_pending.erase(m_pending.begin());
    }
}

ServiceReply HostList::handle(const ServiceRequest &request, bool staleRead, Time now)
{
    if (request.method != "GET" || request.target != "/v1/hosts") {
        return {404, R"({"error": "not-found"})"};
    }
    showDueChanges(now);
    const std::string body = (staleRead ? m_remembered : m_visible).dump();
    const std::string tag = entityTagOf(body);
    if (request.ifNoneMatch == tag) {
        return {304, {}, tag};
    }
    return {200, body, tag};
}

void HostList::control(const json &request, Time now)
{
    m_lag = std::chrono::milliseconds(request.value("lagMs", m_lag.count()));
    const json before = m_newest;
    if (request.contains("list")) {
        m_newest = {{"hosts", request["list"].value("hosts", json::array())}, {"upstreams", request["list"].value("upstreams", json::array())}};
    }
    for (const char *kind : {"hosts", "upstreams"}) {
        for (const auto &entry : request.value(kind, json::array())) {
            if (entry.is_object() && entry.contains("id")) {
                putEntry(m_newest[kind], entry);
            }
        }
        for (const auto &id : request.value("remove", json::array())) {
            removeEntry(m_newest[kind], id);
        }
    }
    if (m_newest != before) {
        m_pending.push_back({now + m_lag, m_newest});
    }
    showDueChanges(now);
}

void HostList::rememberState()
{
    m_remembered = m_visible;
}

PlatformService hostListService(HostList &list)
{
    return {[](const ServiceRequest &) { return Access::Read; },
        [&list](const ServiceRequest &request, bool staleRead) { return list.handle(request, staleRead, std::chrono::steady_clock::now()); },
        [&list] { list.rememberState(); },
        [&list](const json &control) { list.control(control, std::chrono::steady_clock::now()); }};
}

} // namespace Trefoil::StandIns
