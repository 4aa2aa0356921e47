#pragma once

#include <LibStore/storeconnection.h>
#include <LibStore/storetypes.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Trefoil
{

using RowsResult = std::variant<std::vector<TableRow>, Unavailable>;

/// Client of the table service. Repeats attempts with jitter until the deadline, at a bounded rate, and resolves a lost
/// response by reading the rows that the transaction would have written.
/// Thread safety: one thread at a time, the one that runs the io_context; several coroutines of that thread may call at once.
class TableClient
{
public:
    /// Precondition: context outlives the client.
    TableClient(boost::asio::io_context &context, const StoreSettings &settings);

    /// Runs one transaction. Ambiguous means that it may still take effect later.
    /// Preconditions: each put and delete has a condition on its key; the coroutine runs on the client's io_context.
    TransactResult transact(Transaction transaction, BootTime deadline, const boost::asio::yield_context &yield);

    /// Reads rows; rows that do not exist are left out.
    RowsResult read(const std::vector<std::string> &keys, BootTime deadline, const boost::asio::yield_context &yield);

    /// Reads rows whose keys start with the prefix and are greater than after, in key order.
    RowsResult scan(const std::string &prefix, std::size_t limit, BootTime deadline, const boost::asio::yield_context &yield, const std::string &after = {});

    /// An id for a transaction, unique over all hosts and time.
    std::string newTransactionId();

    const JsonClient &client() const
    {
        return m_connection.client();
    }

private:
    std::optional<TransactResult> resolve(const Transaction &transaction, BootTime deadline, const boost::asio::yield_context &yield);
    RowsResult rows(const JsonRequest &request, BootTime deadline, const boost::asio::yield_context &yield);

    StoreConnection m_connection;
};

} // namespace Trefoil
