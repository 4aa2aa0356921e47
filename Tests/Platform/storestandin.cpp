#include "storestandin.h"

#include <LibCore/sleep.h>

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace Trefoil::Platform
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds s_feedPollInterval{5};
/// Changes that one answer of a feed holds at most, as on the platform.
constexpr std::size_t s_rowsPerAnswer = 500;
/// Bytes that one answer of a feed holds at most, as on the platform; a single change may exceed them.
constexpr std::size_t s_bytesPerAnswer = 1000000;
constexpr std::chrono::milliseconds s_droppedResponseDelay{60000};

std::string parameter(const std::string &target, const std::string &name)
{
    const auto start = target.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    std::string value = target.substr(start + name.size() + 1);
    value = value.substr(0, value.find('&'));
    std::string decoded;
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (value[i] == '%') {
            decoded += static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += value[i];
        }
    }
    return decoded;
}

Json entryOf(const FeedRow &row)
{
    Json entry = {{"key", row.key}, {"ver", row.version}, {"part", ""}};
    if (row.removed) {
        entry["removed"] = true;
    } else {
        entry["value"] = websocketpp::base64_encode(row.value);
    }
    return entry;
}

} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context &context)
    : m_context(context)
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    auto server = HttpServer::create(context, settings, [this](HttpRequest &request, CallerConnection &caller, const boost::asio::yield_context &yield) {
        return handle(request, caller.address(), yield);
    });
    m_server = std::move(server.value());
}

void StoreStandIn::set(const std::string &table, const std::string &key, const std::string &value)
{
    const FeedRow row{key, value, ++m_version, false};
    m_tables[table][key] = row;
    m_changes.push_back({table, row});
}

void StoreStandIn::remove(const std::string &table, const std::string &key)
{
    m_tables[table].erase(key);
    m_changes.push_back({table, {key, "", ++m_version, true}});
}

void StoreStandIn::truncateHistory()
{
    m_historyStart = m_version;
}

void StoreStandIn::freezeReads(bool isFrozen)
{
    m_isFrozen = isFrozen;
    m_frozen = m_tables;
    m_frozenVersion = m_version;
}

void StoreStandIn::setUnresponsive(bool isUnresponsive)
{
    m_unresponsivePeriods += isUnresponsive && !m_isUnresponsive ? 1 : 0;
    m_isUnresponsive = isUnresponsive;
}

void StoreStandIn::keepCopy()
{
    m_copy = m_tables;
    m_copiedChanges = m_changes;
    m_copiedVersion = m_version;
}

void StoreStandIn::restoreCopy()
{
    m_tables = m_copy;
    m_changes = m_copiedChanges;
    m_version = m_copiedVersion;
    ++m_restorations;
    if (era) {
        ++*era;
    }
}

void StoreStandIn::stateEra(HttpResponse &response, const std::string &caller) const
{
    const auto stale = staleEras.find(caller);
    if (eraText) {
        response.headers.add("Store-Era", *eraText);
    } else if (stale != staleEras.end()) {
        response.headers.add("Store-Era", std::to_string(stale->second));
    } else if (era) {
        response.headers.add("Store-Era", std::to_string(*era));
    }
}

HttpResponse StoreStandIn::handle(const HttpRequest &request, const std::string &caller, const boost::asio::yield_context &yield)
{
    if (isDown) {
        HttpResponse response = errorResponse(503, "down", "", "");
        stateEra(response, caller);
        return response;
    }
    if (const auto rejected = rejects.find(caller); rejected != rejects.end()) {
        return errorResponse(rejected->second, "rejected", "", "");
    }
    const bool isFeed = request.target.find("rows-feed") != std::string::npos;
    bool isDroppedFeedCall = false;
    if (isFeed) {
        const HostTable call(caller, parameter(request.target, "table"));
        ++receivedFeedCalls[call];
        droppedFeedCalls[call.second] += m_isUnresponsive ? 1 : 0;
        isDroppedFeedCall = feedCallsToDrop[call] > 0;
        feedCallsToDrop[call] -= isDroppedFeedCall ? 1 : 0;
    }
    if (m_isUnresponsive || isDroppedFeedCall) {
        sleepFor(m_context, s_droppedResponseDelay, yield);
    }
    const int unresponsivePeriods = m_unresponsivePeriods;
    const bool isDroppedOnArrival = dropsResponses;
    sleepFor(m_context, delay, yield);
    HttpResponse response = dispatch(request, caller, yield);
    stateEra(response, caller);
    if (pageRead && request.target.find("rows-get") != std::string::npos) {
        const auto hook = pageRead;
        hook();
    }
    if (isDroppedOnArrival || dropsResponses || unresponsiveTo.count(caller) > 0 || unresponsivePeriods != m_unresponsivePeriods) {
        // Longer than the timeout of any client.
        sleepFor(m_context, s_droppedResponseDelay, yield);
    }
    if (isFeed) {
        ++answeredFeedCalls[parameter(request.target, "table")];
    }
    return response;
}

HttpResponse StoreStandIn::dispatch(const HttpRequest &request, const std::string &caller, const boost::asio::yield_context &yield)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string table = parameter(request.target, "table");
    if (path == "/api/rows-get") {
        ++readCalls;
        if (dropsReads) {
            ++droppedReads[table];
            sleepFor(m_context, s_droppedResponseDelay, yield);
        }
        return handleRead(table, parameter(request.target, "from"), std::stoul(parameter(request.target, "limit")));
    }
    if (path == "/api/rows-feed") {
        ++feedCalls;
        ++heldFeedCalls[table];
        HttpResponse response = handleFeed(
            caller, table, std::stoull(parameter(request.target, "after")), std::chrono::milliseconds(std::stoul(parameter(request.target, "wait_ms"))), yield);
        --heldFeedCalls[table];
        return response;
    }
    return handleTransaction(request.body);
}

HttpResponse StoreStandIn::handleRead(const std::string &table, const std::string &from, std::size_t limit)
{
    Json rows = Json::array();
    const bool isFrozen = m_isFrozen && !(firstPageIsFresh && from.empty());
    const auto &all = (isFrozen ? m_frozen : m_tables)[table];
    auto it = all.lower_bound(from);
    for (; it != all.end() && rows.size() < limit; ++it) {
        rows.push_back(entryOf(it->second));
    }
    const FeedVersion version = isFrozen ? m_frozenVersion : m_version;
    return jsonResponse(200, Json{{"rows", rows}, {"has_more", it != all.end()}, {"ver", version}, {"now", "1ms"}}.dump());
}

HttpResponse StoreStandIn::handleFeed(
    const std::string &caller, const std::string &table, FeedVersion after, std::chrono::milliseconds wait, const boost::asio::yield_context &yield)
{
    const BootTime end = BootClock::now() + wait;
    const int restorations = m_restorations;
    while (!isDown && restorations == m_restorations) {
        const bool isUnknownVersion = era && after > m_version;
        if (after < m_historyStart || isUnknownVersion) {
            return errorResponse(410, "history-lost", "", "");
        }
        Json rows = Json::array();
        const auto stale = staleFeeds.find(caller);
        const FeedVersion newest = stale != staleFeeds.end() ? stale->second : m_version;
        FeedVersion version = newest;
        std::size_t bytes = 0;
        for (const Change &change : m_changes) {
            if (change.table != table || change.row.version <= after || change.row.version > newest) {
                continue;
            }
            Json entry = entryOf(change.row);
            const std::size_t entryBytes = entry.dump().size();
            if (rows.size() == s_rowsPerAnswer || (!rows.empty() && bytes + entryBytes > s_bytesPerAnswer)) {
                version = rows.back().at("ver");
                break;
            }
            bytes += entryBytes;
            rows.push_back(std::move(entry));
        }
        if (!rows.empty() || BootClock::now() >= end) {
            return jsonResponse(200, Json{{"rows", rows}, {"ver", version}, {"now", "1ms"}}.dump());
        }
        sleepFor(m_context, s_feedPollInterval, yield);
    }
    return errorResponse(503, "down", "", "");
}

HttpResponse StoreStandIn::handleTransaction(const std::string &body)
{
    const Json transaction = Json::parse(body);
    for (const Json &row : transaction.at("expected")) {
        const auto &table = m_tables[row.at("table")];
        const auto found = table.find(row.at("key"));
        if (row.at("ver") != (found == table.end() ? FeedVersion{0} : found->second.version)) {
            return errorResponse(412, "changed", "", "");
        }
    }
    for (const Json &row : transaction.at("set_keys")) {
        set(row.at("table"), row.at("key"), websocketpp::base64_decode(row.at("value").get<std::string>()));
    }
    for (const Json &row : transaction.at("remove")) {
        remove(row.at("table"), row.at("key"));
    }
    return jsonResponse(200, Json{{"ver", m_version}, {"now", "1ms"}}.dump());
}

} // namespace Trefoil::Platform
