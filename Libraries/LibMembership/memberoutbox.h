#pragma once

#include <LibCore/bootclock.h>
#include <LibPeer/messages.h>
#include <LibStore/storetypes.h>

#include <functional>
#include <map>
#include <optional>

namespace Trefoil
{

struct SendMessage
{
    HostId to;
    PeerMessage message;
};

struct ReadRows
{
    std::vector<std::string> keys;
};

/// A request to the table service. Its response is passed back with the same id; without a response the request stays
/// pending.
struct StoreRequest
{
    std::uint64_t id = 0;
    std::variant<Transaction, ReadRows> operation;
    BootTime deadline;
};

using MemberAction = std::variant<SendMessage, StoreRequest>;
using StoreResponse = std::variant<Committed, ConditionFailed, Ambiguous, Unavailable, std::vector<TableRow>>;

/// Collects the actions that a pure state machine requests, and dispatches responses to their continuations.
/// Thread safety: one thread at a time.
class MemberOutbox
{
public:
    using Continuation = std::function<void(const StoreResponse &response, BootTime now)>;
    using RowsContinuation = std::function<void(const std::vector<TableRow> &rows, BootTime now)>;
    using FailureContinuation = std::function<void(BootTime now)>;

    void send(HostId to, PeerMessage message);

    /// Requests a transaction. Precondition: done stays valid until the response.
    void transact(Transaction transaction, BootTime deadline, Continuation done);

    /// Requests rows. Precondition: both continuations stay valid until the response.
    void read(std::vector<std::string> keys, BootTime deadline, RowsContinuation done, FailureContinuation failed);

    /// Requests the current rows even when plain reads of the store lag: a transaction whose conditions cannot hold returns
    /// the current rows with its failure. It counts as a write. Rows that do not exist are left out.
    /// Precondition: both continuations stay valid until the response.
    void readConsistently(const std::vector<std::string> &keys, BootTime deadline, RowsContinuation done, FailureContinuation failed);

    /// Passes a response to the continuation of its request. Unknown ids are ignored.
    void handleResponse(std::uint64_t id, const StoreResponse &response, BootTime now);

    /// Removes and returns the actions collected since the last call, in order.
    std::vector<MemberAction> takeActions();

private:
    void add(std::variant<Transaction, ReadRows> operation, BootTime deadline, Continuation done);

    std::vector<MemberAction> m_actions;
    std::map<std::uint64_t, Continuation> m_pendingRequests;
    std::uint64_t m_lastId = 0;
};

/// Returns the row with this key, or nullptr.
const TableRow *findRow(const std::vector<TableRow> &rows, const std::string &key);

} // namespace Trefoil
