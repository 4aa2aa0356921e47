#include <LibMembership/memberoutbox.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// No row reaches this version. It is the largest integer that every JSON parser represents exactly.
constexpr RowVersion s_impossibleVersion = (RowVersion{1} << 53U) - 1;

} // namespace

void MemberOutbox::send(HostId to, PeerMessage message)
{
    m_actions.emplace_back(SendMessage{std::move(to), std::move(message)});
}

void MemberOutbox::add(std::variant<Transaction, ReadRows> operation, BootTime deadline, Continuation done)
{
    const std::uint64_t id = ++m_lastId;
    m_pendingRequests[id] = std::move(done);
    m_actions.emplace_back(StoreRequest{id, std::move(operation), deadline});
}

void MemberOutbox::transact(Transaction transaction, BootTime deadline, Continuation done)
{
    add(std::move(transaction), deadline, std::move(done));
}

void MemberOutbox::read(std::vector<std::string> keys, BootTime deadline, RowsContinuation done, FailureContinuation failed)
{
    add(ReadRows{std::move(keys)}, deadline, [done = std::move(done), failed = std::move(failed)](const StoreResponse &response, BootTime now) {
        if (const auto *rows = std::get_if<std::vector<TableRow>>(&response)) {
            done(*rows, now);
            return;
        }
        failed(now);
    });
}

void MemberOutbox::readConsistently(const std::vector<std::string> &keys, BootTime deadline, RowsContinuation done, FailureContinuation failed)
{
    Transaction transaction;
    for (const auto &key : keys) {
        transaction.conditions.push_back({key, s_impossibleVersion});
    }
    transact(std::move(transaction), deadline, [done = std::move(done), failed = std::move(failed)](const StoreResponse &response, BootTime now) {
        const auto *present = std::get_if<ConditionFailed>(&response);
        if (present == nullptr) {
            failed(now);
            return;
        }
        std::vector<TableRow> rows;
        std::copy_if(present->rows.begin(), present->rows.end(), std::back_inserter(rows), [](const TableRow &row) { return row.version != 0; });
        done(rows, now);
    });
}

void MemberOutbox::handleResponse(std::uint64_t id, const StoreResponse &response, BootTime now)
{
    const auto position = m_pendingRequests.find(id);
    if (position == m_pendingRequests.end()) {
        return;
    }
    const Continuation done = std::move(position->second);
    m_pendingRequests.erase(position);
    done(response, now);
}

std::vector<MemberAction> MemberOutbox::takeActions()
{
    return std::exchange(m_actions, {});
}

const TableRow *findRow(const std::vector<TableRow> &rows, const std::string &key)
{
    const auto position = std::find_if(rows.begin(), rows.end(), [&key](const TableRow &row) { return row.key == key; });
    return position == rows.end() ? nullptr : &*position;
}

} // namespace Trefoil
