#include "store.h"

namespace Trefoil::Review
{

using Json = nlohmann::json;

namespace
{

constexpr milliseconds s_idleLimit{60000};
constexpr int s_ok = 200;
constexpr int s_preconditionFailed = 412;

std::string base64(const std::string &text)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const unsigned char c : text) {
        bits = (bits << 8U) | c;
        for (count += 8; count >= 6; count -= 6) {
            result += digits[(bits >> static_cast<unsigned>(count - 6)) & 63U];
        }
    }
    if (count > 0) {
        result += digits[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    result.append((4 - result.size() % 4) % 4, '=');
    return result;
}

std::string parameter(const std::string &target, const std::string &name)
{
    auto start = target.find("?" + name + "=");
    if (start == std::string::npos) {
        start = target.find("&" + name + "=");
    }
    if (start == std::string::npos) {
        return {};
    }
    start += name.size() + 2;
    std::string result;
    for (std::size_t i = start; i < target.size() && target[i] != '&'; ++i) {
        if (target[i] == '%') {
            result += static_cast<char>(std::stoi(target.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += target[i];
        }
    }
    return result;
}

} // namespace

Json Store::Row::toJson() const
{
    Json row = {{"table", table}, {"part", ""}, {"key", key}, {"ver", version}};
    if (isRemoved) {
        row["removed"] = true;
    } else {
        row["value"] = value;
    }
    return row;
}

Store::Store(const std::string &ip)
    : m_listener(ip, [this](Connection &connection) { serve(connection); })
{
}

void Store::set(const std::string &table, const std::string &key, const Json &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    apply({table, key, base64(value.dump()), m_version, false});
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    apply({table, key, "", m_version, true});
}

void Store::apply(Row row)
{
    const std::pair<std::string, std::string> place(row.table, row.key);
    if (row.isRemoved) {
        m_rows.erase(place);
    } else {
        m_rows[place] = row;
    }
    m_history.push_back(std::move(row));
    m_changed.notify_all();
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.read(s_idleLimit)) {
        const auto [status, body] = answer(*request);
        const std::string text = body.dump();
        if (!connection.send("HTTP/1.1 " + std::to_string(status)
                + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return;
        }
    }
}

std::pair<int, Json> Store::answer(const Message &request)
{
    const std::string target = request.secondWord();
    if (target.rfind("/api/rows-get", 0) == 0) {
        return {s_ok, readTable(target)};
    }
    if (target.rfind("/api/rows-feed", 0) == 0) {
        return {s_ok, awaitChanges(target)};
    }
    return transact(Json::parse(request.body));
}

Json Store::readTable(const std::string &target)
{
    const std::string table = parameter(target, "table");
    const std::string from = parameter(target, "from");
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    for (const auto &[place, row] : m_rows) {
        if (row.table == table && row.key >= from) {
            rows.push_back(row.toJson());
        }
    }
    return {{"rows", rows}, {"has_more", false}, {"ver", m_version}, {"now", "1ms"}};
}

Json Store::awaitChanges(const std::string &target)
{
    const std::string table = parameter(target, "table");
    const std::uint64_t after = std::stoull(parameter(target, "after"));
    const auto end = Clock::now() + milliseconds(std::stoul(parameter(target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        Json rows = Json::array();
        for (const Row &row : m_history) {
            if (row.table == table && row.version > after) {
                rows.push_back(row.toJson());
            }
        }
        if (!rows.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout) {
            return {{"rows", rows}, {"ver", m_version}, {"now", "1ms"}};
        }
    }
}

std::pair<int, Json> Store::transact(const Json &transaction)
{
    const std::lock_guard lock(m_mutex);
    for (const Json &expected : transaction.at("expected")) {
        const auto found = m_rows.find({expected.at("table"), expected.at("key")});
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (expected.at("ver") != version) {
            const Json rows = found == m_rows.end() ? Json::array() : Json::array({found->second.toJson()});
            return {s_preconditionFailed, {{"rows", rows}, {"ver", m_version}, {"now", "1ms"}}};
        }
    }
    ++m_version;
    for (const Json &row : transaction.at("set_keys")) {
        apply({row.at("table"), row.at("key"), row.at("value"), m_version, false});
    }
    for (const Json &row : transaction.at("remove")) {
        apply({row.at("table"), row.at("key"), "", m_version, true});
    }
    return {s_ok, {{"ver", m_version}, {"now", "1ms"}}};
}

} // namespace Trefoil::Review
