#include <Services/trefoilmountd/configurationstore.h>

#include <LibConfiguration/digest.h>
#include <LibConfiguration/json.h>
#include <LibMembership/hostrow.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

namespace
{

const char *const s_headKey = configurationHeadKey;
/// Far more than the changes that are committed while one change waits for the store.
constexpr std::size_t s_maximumEarlierOperations = 16;

std::string objectName(const ConfigurationHead &head)
{
    return fmt::format("configuration/{}-{}", head.version.value(), head.digest);
}

json headToJson(const ConfigurationHead &head)
{
    return {{"version", head.version.value()}, {"digest", head.digest}, {"author", head.author}, {"operation", head.operation}, {"earlier", head.earlier}};
}

std::string textMember(const json &object, const char *name)
{
    const auto position = object.find(name);
    return position != object.end() && position->is_string() ? position->get<std::string>() : std::string();
}

std::vector<std::string> textsMember(const json &object, const char *name)
{
    std::vector<std::string> texts;
    const auto position = object.find(name);
    if (position == object.end() || !position->is_array()) {
        return texts;
    }
    for (const auto &item : *position) {
        if (item.is_string()) {
            texts.push_back(item.get<std::string>());
        }
    }
    return texts;
}

/// Empty when the row is not a valid head.
std::optional<ConfigurationHead> headFromRow(const TableRow &row)
{
    if (row.version == 0) {
        return ConfigurationHead{};
    }
    if (!row.value.is_object() || !row.value.contains("version") || !row.value["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    ConfigurationHead head;
    head.version = ConfigurationVersion(row.value["version"].get<std::uint64_t>());
    head.digest = textMember(row.value, "digest");
    head.author = textMember(row.value, "author");
    head.operation = textMember(row.value, "operation");
    head.earlier = textsMember(row.value, "earlier");
    head.row = row.version;
    return head;
}

std::optional<ConfigurationHead> headFromRows(const std::vector<TableRow> &rows)
{
    for (const auto &row : rows) {
        if (row.key == s_headKey) {
            return headFromRow(row);
        }
    }
    return ConfigurationHead{};
}

/// The earlier operations for the head that follows this one.
std::vector<std::string> earlierOperations(const ConfigurationHead &head)
{
    std::vector<std::string> operations = head.earlier;
    operations.insert(operations.begin(), head.operation);
    operations.resize(std::min(operations.size(), s_maximumEarlierOperations));
    return operations;
}

Transaction headTransaction(const ConfigurationHead &base, const ConfigurationHead &next)
{
    Transaction transaction;
    transaction.conditions.push_back({s_headKey, base.row});
    transaction.puts.push_back({s_headKey, headToJson(next)});
    return transaction;
}

const Unavailable s_damagedHead{"the row configuration/head is damaged"};

} // namespace

bool ConfigurationHead::includes(const std::string &id) const
{
    return operation == id || std::find(earlier.begin(), earlier.end(), id) != earlier.end();
}

ConfigurationStore::ConfigurationStore(TableClient &table, ObjectClient &objects)
    : m_table(table)
    , m_objects(objects)
{
}

HeadResult ConfigurationStore::readHead(BootTime deadline, const boost::asio::yield_context &yield)
{
    const RowsResult result = m_table.read({s_headKey}, deadline, yield);
    if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
        return *unavailable;
    }
    const auto head = headFromRows(std::get<std::vector<TableRow>>(result));
    if (!head) {
        return s_damagedHead;
    }
    return *head;
}

BodyResult ConfigurationStore::readBody(const ConfigurationHead &head, BootTime deadline, const boost::asio::yield_context &yield)
{
    const ObjectGetResult result = m_objects.get(objectName(head), deadline, yield);
    if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
        return *unavailable;
    }
    const auto *body = std::get_if<ObjectBody>(&result);
    auto configuration = body == nullptr ? nullptr : checkedConfiguration(body->body, head.version, head.digest);
    if (!configuration) {
        return Unavailable{fmt::format("object {} is {}", objectName(head), body == nullptr ? "missing" : "damaged")};
    }
    return configuration;
}

HeadCommitResult ConfigurationStore::commit(
    ConfigurationHead base, ConfigurationHead next, const std::string &body, BootTime deadline, const boost::asio::yield_context &yield)
{
    const ObjectPutResult stored = m_objects.put(objectName(next), body, deadline, yield);
    if (const auto *unavailable = std::get_if<Unavailable>(&stored)) {
        return *unavailable;
    }
    next.earlier = earlierOperations(base);
    while (BootClock::now() < deadline) {
        const TransactResult result = m_table.transact(headTransaction(base, next), deadline, yield);
        if (std::holds_alternative<Committed>(result)) {
            return HeadCommitted{};
        }
        if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
            return *unavailable;
        }
        if (std::holds_alternative<Ambiguous>(result)) {
            return fence(base, next.operation, deadline + std::chrono::seconds(1), yield);
        }
        const auto head = headFromRows(std::get<ConditionFailed>(result).rows);
        if (!head) {
            return s_damagedHead;
        }
        if (head->includes(next.operation)) {
            return HeadCommitted{};
        }
        if (head->version != base.version) {
            return HeadConflict{*head};
        }
        // Only the row's version increased, because another host fenced a lost transaction of its own.
        base.row = head->row;
    }
    return Unavailable{"the head kept changing"};
}

HeadCommitResult ConfigurationStore::fence(
    const ConfigurationHead &base, const std::string &operation, BootTime deadline, const boost::asio::yield_context &yield)
{
    const TransactResult result = m_table.transact(headTransaction(base, base), deadline, yield);
    if (std::holds_alternative<Committed>(result)) {
        return Unavailable{"the table service lost the transaction"};
    }
    const auto *failed = std::get_if<ConditionFailed>(&result);
    if (failed == nullptr) {
        return Ambiguous{"the table service does not tell whether the change was committed"};
    }
    const auto head = headFromRows(failed->rows);
    if (!head) {
        return s_damagedHead;
    }
    if (head->includes(operation)) {
        return HeadCommitted{};
    }
    if (head->version == base.version) {
        return Unavailable{"the table service lost the transaction"};
    }
    return HeadConflict{*head};
}

std::string ConfigurationStore::newOperation()
{
    return m_table.newTransactionId();
}

std::shared_ptr<const Configuration> checkedConfiguration(const std::string &document, ConfigurationVersion version, const std::string &digest)
{
    const json parsed = json::parse(document, nullptr, false);
    if (parsed.is_discarded()) {
        return nullptr;
    }
    auto configuration = configurationFromJson(parsed);
    if (configuration.has_error() || configuration.value().version != version || Trefoil::digest(configuration.value()) != digest) {
        return nullptr;
    }
    return std::make_shared<const Configuration>(std::move(configuration.value()));
}

} // namespace Trefoil
