#pragma once

#include <LibCore/era.h>
#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Control messages between entry hosts. Every message travels as one CBOR map over websocket.
namespace Trefoil
{

/// First message on a connection, in both directions. The secret proves that the sender is a host of the system.
struct Hello
{
    HostId host;
    Incarnation incarnation;
    std::string secret;
};

/// Asks a guardian to confirm the sender's lease and carries the sender's digest.
struct Heartbeat
{
    std::uint64_t sequence = 0;
    Incarnation incarnation;
    Epoch epoch;
    ConfigurationVersion configuration;
    SlotCount freeSlots;
    bool leaving = false;
};

/// Answers a heartbeat. A refused confirmation means that the guardian voted for the reclaim of the sender.
struct HeartbeatAck
{
    std::uint64_t sequence = 0;
    Epoch epoch;
    ConfigurationVersion configuration;
    bool confirmed = false;
};

/// Offers a candidate configuration before it is committed, as the commands that lead to it from the version before.
/// Every host applies them itself; the digest shows that it got the same result. A document of the whole configuration
/// for each change would exceed a host's 2 KB/s of control traffic.
struct Prepare
{
    std::string operation;
    ConfigurationVersion version;
    std::string digest;
    /// Text in the command language.
    std::string commands;
};

struct PrepareAck
{
    std::string operation;
    ConfigurationVersion version;
    bool accepted = false;
    std::string reason;
};

/// Tells that a version is committed. Receivers named in forwardTo get it from the receiver of this message.
struct Commit
{
    ConfigurationVersion version;
    std::string digest;
    std::vector<HostId> forwardTo;
};

/// Tells the sender of a Commit that the version is in force.
struct CommitAck
{
    ConfigurationVersion version;
};

/// Asks for the newest committed configuration when it is newer than the given one.
struct FetchConfiguration
{
    ConfigurationVersion newerThan;
};

struct ConfigurationCopy
{
    ConfigurationVersion version;
    std::string digest;
    std::string document;
};

/// Asks a guardian to vote for the reclaim of a silent host's grants.
struct ReclaimVoteRequest
{
    HostId host;
    Epoch epoch;
    std::uint64_t ballot = 0;
};

struct ReclaimVote
{
    HostId host;
    Epoch epoch;
    std::uint64_t ballot = 0;
    bool granted = false;
};

/// Asks a host that reads a table's feed for the changes after a version. It answers once there are any, or when the wait is over.
struct AwaitChanges
{
    /// Chosen by the sender and repeated in the answer.
    std::uint64_t sequence = 0;
    std::string table;
    std::uint64_t after = 0;
    std::uint64_t waitMilliseconds = 0;
    /// Era of the store that the version is from; 0 is left out of the message.
    StoreEra era{};
};

/// Answers AwaitChanges. Rows stand in the order in which they changed; entry i of each list belongs to row i.
struct ChangesSince
{
    std::uint64_t sequence = 0;
    /// False when the sender can't vouch for what it knows, or doesn't know the changes; all else is then empty.
    bool isServed = false;
    /// The rows hold all changes up to this version of the store.
    std::uint64_t version = 0;
    std::vector<std::string> keys;
    std::vector<std::string> values;
    std::vector<std::uint64_t> versions;
    /// 1 for a row that was dropped, otherwise 0.
    std::vector<std::uint64_t> removed;
    /// The rows are all rows of the table, not only changed ones.
    bool isWholeTable = false;
    /// How long ago the store confirmed the sender's copy of the table.
    std::uint64_t ageMilliseconds = 0;
    /// How long ago the sender, or the host that it has the copy from, began the call to the store that confirmed the copy.
    std::uint64_t proofAgeMilliseconds = 0;
    /// Era of the store that the sender's copy is from, also when the request isn't served; 0 is left out of the message.
    StoreEra era{};
};

using PeerMessage = std::variant<Hello,
    Heartbeat,
    HeartbeatAck,
    Prepare,
    PrepareAck,
    Commit,
    CommitAck,
    FetchConfiguration,
    ConfigurationCopy,
    ReclaimVoteRequest,
    ReclaimVote,
    AwaitChanges,
    ChangesSince>;

} // namespace Trefoil
