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

/// A request to the table service. Its reply is passed back with the same id; a request without a reply stays open.
struct StoreRequest
{
    std::uint64_t id = 0;
    std::variant<Transaction, ReadRows> operation;
    BootTime deadline;
};

using MemberAction = std::variant<SendMessage, StoreRequest>;
using StoreResponse = std::variant<Committed, ConditionFailed, Ambiguous, Unavailable, std::vector<TableRow>>;

/// Collects what a pure state machine wants to be done, and leads replies back to where they are awaited.
/// Thread safety: one thread at a time.
class MemberOutbox
{
public:
    using Continuation = std::function<void(const StoreResponse &response, BootTime now)>;
    using RowsContinuation = std::function<void(const std::vector<TableRow> &rows, BootTime now)>;
    using FailureContinuation = std::function<void(BootTime now)>;

    void send(HostId to, PeerMessage message);

    /// Requests a transaction. Precondition: done stays valid until the reply.
    void transact(Transaction transaction, BootTime deadline, Continuation done);

    /// Requests rows. Precondition: both continuations stay valid until the reply.
    void read(std::vector<std::string> keys, BootTime deadline, RowsContinuation done, FailureContinuation failed);

    /// Requests the present rows, also when the store's plain reads lag: a transaction whose conditions cannot hold
    /// returns the rows that fail it. It counts as a write. Rows that do not exist are left out.
    void readConsistently(const std::vector<std::string> &keys, BootTime deadline, RowsContinuation done, FailureContinuation failed);

    /// Passes a reply to its continuation. Unknown ids are ignored.
    void handleResponse(std::uint64_t id, const StoreResponse &response, BootTime now);

    /// The actions collected since the last call, in order.
    std::vector<MemberAction> takeActions();

private:
    void add(std::variant<Transaction, ReadRows> operation, BootTime deadline, Continuation done);

    std::vector<MemberAction> m_actions;
    std::map<std::uint64_t, Continuation> m_pendingRequests;
    std::uint64_t m_lastId = 0;
};

/// The row with this key, or null.
const TableRow *findRow(const std::vector<TableRow> &rows, const std::string &key);

} // namespace Trefoil
