#include <StandIns/tablestore.h>

namespace Trefoil::StandIns
{

using nlohmann::json;

namespace
{

constexpr std::size_t s_largestScan = 10000;

json list(const json &request, const char *name)
{
    return request.is_object() && request.contains(name) && request[name].is_array() ? request[name] : json::array();
}

ServiceReply badRequest(const std::string &message)
{
    return {400, json{{"error", "invalid-request"}, {"message", message}}.dump()};
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool isRowReference(const json &item, const char *secondMember)
{
    return item.is_object() && item.contains("key") && item["key"].is_string() && item.contains(secondMember);
}

/// What is wrong with a transaction; empty when it is sound.
std::string transactionFault(const json &request)
{
    for (const auto &condition : list(request, "conditions")) {
        if (!isRowReference(condition, "version") || !condition["version"].is_number_unsigned()) {
            return "a condition needs key and version";
        }
    }
    for (const auto &put : list(request, "puts")) {
        if (!isRowReference(put, "value")) {
            return "a put needs key and value";
        }
    }
    for (const auto &key : list(request, "deletes")) {
        if (!key.is_string()) {
            return "a delete must be a key";
        }
    }
    return request.is_object() ? "" : "the body must be a JSON object";
}

} // namespace

json TableStore::rowToJson(const std::string &key, const Row &row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

json TableStore::failedConditions(const json &conditions) const
{
    json failed = json::array();
    for (const auto &condition : conditions) {
        const auto key = condition["key"].get<std::string>();
        const auto position = m_rows.find(key);
        const std::uint64_t present = position == m_rows.end() ? 0 : position->second.version;
        if (present == condition["version"].get<std::uint64_t>()) {
            continue;
        }
        failed.push_back(position == m_rows.end() ? json{{"key", key}, {"version", 0U}, {"value", nullptr}} : rowToJson(key, position->second));
    }
    return failed;
}

ServiceReply TableStore::transact(const json &request)
{
    const std::string fault = transactionFault(request);
    if (!fault.empty()) {
        return badRequest(fault);
    }
    const json failed = failedConditions(list(request, "conditions"));
    if (!failed.empty()) {
        return {409, json{{"failed", failed}}.dump()};
    }
    json versions = json::object();
    for (const auto &put : list(request, "puts")) {
        const auto key = put["key"].get<std::string>();
        m_rows[key] = {++m_lastVersion, put["value"]};
        versions[key] = m_lastVersion;
    }
    for (const auto &key : list(request, "deletes")) {
        m_rows.erase(key.get<std::string>());
    }
    return {200, json{{"versions", versions}}.dump()};
}

ServiceReply TableStore::read(const json &request, bool stale) const
{
    const auto &source = stale ? m_remembered : m_rows;
    json rows = json::array();
    for (const auto &key : list(request, "keys")) {
        const auto position = key.is_string() ? source.find(key.get<std::string>()) : source.end();
        if (position != source.end()) {
            rows.push_back(rowToJson(position->first, position->second));
        }
    }
    return {200, json{{"rows", std::move(rows)}}.dump()};
}

ServiceReply TableStore::scan(const json &request, bool stale) const
{
    if (!request.is_object() || !request.contains("prefix") || !request["prefix"].is_string()) {
        return badRequest("prefix is missing");
    }
    const auto prefix = request["prefix"].get<std::string>();
    const auto after = request.value("after", std::string());
    const auto limit = std::min(request.value("limit", s_largestScan), s_largestScan);
    const auto &source = stale ? m_remembered : m_rows;
    json rows = json::array();
    auto position = after.empty() ? source.lower_bound(prefix) : source.upper_bound(std::max(after, prefix));
    for (; position != source.end() && rows.size() < limit && startsWith(position->first, prefix); ++position) {
        rows.push_back(rowToJson(position->first, position->second));
    }
    return {200, json{{"rows", std::move(rows)}}.dump()};
}

void TableStore::rememberState()
{
    m_remembered = m_rows;
}

ServiceReply TableStore::handle(const ServiceRequest &request, bool staleRead)
{
    const json body = json::parse(request.body, nullptr, false);
    if (request.method != "POST" || body.is_discarded()) {
        return badRequest("POST with a JSON body is expected");
    }
    if (request.target == "/v1/table/transact") {
        return transact(body);
    }
    if (request.target == "/v1/table/read") {
        return read(body, staleRead);
    }
    if (request.target == "/v1/table/scan") {
        return scan(body, staleRead);
    }
    return {404, R"({"error": "not-found"})"};
}

PlatformService tableService(TableStore &store)
{
    return {[](const ServiceRequest &request) { return request.target == "/v1/table/transact" ? Access::Write : Access::Read; },
        [&store](const ServiceRequest &request, bool staleRead) { return store.handle(request, staleRead); },
        [&store] { store.rememberState(); },
        {}};
}

} // namespace Trefoil::StandIns
