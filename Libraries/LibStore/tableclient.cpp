#include <LibStore/tableclient.h>

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

namespace
{

constexpr int s_ok = 200;
constexpr int s_conflict = 409;

bool hasCondition(const Transaction &transaction, const std::string &key)
{
    return std::any_of(transaction.conditions.begin(), transaction.conditions.end(), [&key](const auto &condition) { return condition.key == key; });
}

[[maybe_unused]] bool isFullyConditional(const Transaction &transaction)
{
    const auto putIsConditional = [&](const RowPut &put) { return hasCondition(transaction, put.key); };
    const auto deleteIsConditional = [&](const std::string &key) { return hasCondition(transaction, key); };
    return std::all_of(transaction.puts.begin(), transaction.puts.end(), putIsConditional)
        && std::all_of(transaction.deletes.begin(), transaction.deletes.end(), deleteIsConditional);
}

json toJson(const Transaction &transaction)
{
    json conditions = json::array();
    for (const auto &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    json puts = json::array();
    for (const auto &put : transaction.puts) {
        json value = put.value;
        value["transaction"] = transaction.id;
        puts.push_back({{"key", put.key}, {"value", std::move(value)}});
    }
    return {{"transaction", transaction.id}, {"conditions", std::move(conditions)}, {"puts", std::move(puts)}, {"deletes", transaction.deletes}};
}

std::optional<std::vector<TableRow>> rowsFromJson(const json &list)
{
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<TableRow> rows;
    rows.reserve(list.size());
    for (const auto &item : list) {
        if (!item.is_object() || !item.contains("key") || !item["key"].is_string() || !item.contains("version") || !item["version"].is_number_unsigned()) {
            return std::nullopt;
        }
        rows.push_back({item["key"].get<std::string>(), item["version"].get<RowVersion>(), item.value("value", json())});
    }
    return rows;
}

const TableRow *find(const std::vector<TableRow> &rows, const std::string &key)
{
    const auto position = std::find_if(rows.begin(), rows.end(), [&key](const TableRow &row) { return row.key == key; });
    return position == rows.end() ? nullptr : &*position;
}

bool carriesTransaction(const TableRow &row, const std::string &id)
{
    return row.value.is_object() && row.value.contains("transaction") && row.value["transaction"] == id;
}

/// Committed when one of the rows carries the transaction's id.
std::optional<TransactResult> outcomeFromPuts(const Transaction &transaction, const std::vector<TableRow> &rows)
{
    Committed committed;
    for (const auto &put : transaction.puts) {
        const TableRow *row = find(rows, put.key);
        if (row != nullptr && carriesTransaction(*row, transaction.id)) {
            committed.versions[put.key] = row->version;
        }
    }
    // One row is enough, because all puts take effect together; the others may have been overwritten since.
    if (!committed.versions.empty()) {
        return committed;
    }
    return std::nullopt;
}

/// What the present rows tell about a transaction; rows holds all that exist of those that it writes.
std::optional<TransactResult> outcomeFromRows(const Transaction &transaction, const std::vector<TableRow> &rows)
{
    if (auto outcome = outcomeFromPuts(transaction, rows)) {
        return outcome;
    }
    const bool allDeleted =
        std::none_of(transaction.deletes.begin(), transaction.deletes.end(), [&rows](const auto &key) { return find(rows, key) != nullptr; });
    if (transaction.puts.empty() && !transaction.deletes.empty() && allDeleted) {
        return Committed{};
    }
    return std::nullopt;
}

std::optional<TransactResult> outcomeFromResponse(const JsonResponse &response)
{
    const json body = response.json();
    if (response.status == s_ok && body.is_object() && body.contains("versions") && body["versions"].is_object()) {
        Committed committed;
        for (const auto &[key, version] : body["versions"].items()) {
            committed.versions[key] = version.is_number_unsigned() ? version.get<RowVersion>() : 0;
        }
        return committed;
    }
    if (response.status == s_conflict && body.is_object()) {
        auto rows = rowsFromJson(body.value("failed", json()));
        if (rows) {
            return ConditionFailed{std::move(*rows)};
        }
    }
    return std::nullopt;
}

} // namespace

TableClient::TableClient(boost::asio::io_context &context, const StoreSettings &settings)
    : m_connection(context, settings)
{
}

std::string TableClient::newTransactionId()
{
    auto &random = m_connection.random();
    return fmt::format("{:08x}{:08x}{:08x}", random(), random(), random());
}

std::optional<TransactResult> TableClient::resolve(const Transaction &transaction, BootTime deadline, const boost::asio::yield_context &yield)
{
    std::vector<std::string> keys = transaction.deletes;
    for (const auto &put : transaction.puts) {
        keys.push_back(put.key);
    }
    const auto result = read(keys, deadline, yield);
    const auto *found = std::get_if<std::vector<TableRow>>(&result);
    return found == nullptr ? std::nullopt : outcomeFromRows(transaction, *found);
}

TransactResult TableClient::transact(Transaction transaction, BootTime deadline, const boost::asio::yield_context &yield)
{
    assert(isFullyConditional(transaction));
    if (transaction.id.empty()) {
        transaction.id = newTransactionId();
    }
    const JsonRequest request{"POST", "/v1/table/transact", toJson(transaction).dump()};
    RetryDelay delay(m_connection.random());
    bool mayHaveTakenEffect = false;
    std::string reason;
    do {
        const auto result = m_connection.attempt(request, StoreAccess::Write, deadline, yield);
        if (const auto *notSent = std::get_if<RequestNotSent>(&result)) {
            reason = notSent->reason;
            continue;
        }
        const auto *response = std::get_if<JsonResponse>(&result);
        auto outcome = response != nullptr ? outcomeFromResponse(*response) : std::nullopt;
        if (outcome && (!std::holds_alternative<ConditionFailed>(*outcome) || !mayHaveTakenEffect)) {
            return *outcome;
        }
        // An earlier attempt may be the cause of the failed condition, so the rows are checked for its id.
        const bool conditionFailed = outcome.has_value();
        if (conditionFailed) {
            if (auto ownWrite = outcomeFromPuts(transaction, std::get<ConditionFailed>(*outcome).rows)) {
                return *ownWrite;
            }
        }
        mayHaveTakenEffect = true;
        reason = response != nullptr ? fmt::format("the table service responded {}", response->status) : std::get<RequestAmbiguous>(result).reason;
        if (auto resolved = resolve(transaction, deadline, yield)) {
            return *resolved;
        }
        if (conditionFailed) {
            return Ambiguous{"a condition failed after a lost response, and the rows were written again since"};
        }
    } while (m_connection.pause(delay, deadline, yield));
    if (mayHaveTakenEffect) {
        return Ambiguous{reason};
    }
    return Unavailable{reason};
}

RowsResult TableClient::rows(const JsonRequest &request, BootTime deadline, const boost::asio::yield_context &yield)
{
    auto result = m_connection.requestRepeatedly(request, StoreAccess::Read, deadline, yield);
    if (auto *unavailable = std::get_if<Unavailable>(&result)) {
        return std::move(*unavailable);
    }
    const auto &response = std::get<JsonResponse>(result);
    const json body = response.json();
    auto found = response.status == s_ok && body.is_object() ? rowsFromJson(body.value("rows", json())) : std::nullopt;
    if (!found) {
        return Unavailable{fmt::format("the table service responded {} without rows", response.status)};
    }
    return std::move(*found);
}

RowsResult TableClient::read(const std::vector<std::string> &keys, BootTime deadline, const boost::asio::yield_context &yield)
{
    return rows({"POST", "/v1/table/read", json{{"keys", keys}}.dump()}, deadline, yield);
}

RowsResult TableClient::scan(const std::string &prefix, std::size_t limit, BootTime deadline, const boost::asio::yield_context &yield, const std::string &after)
{
    return rows({"POST", "/v1/table/scan", json{{"prefix", prefix}, {"limit", limit}, {"after", after}}.dump()}, deadline, yield);
}

} // namespace Trefoil
