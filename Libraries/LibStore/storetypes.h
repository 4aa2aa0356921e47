#pragma once

#include <LibCore/strongid.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

/// Clients of the platform's table service, object store and host list.
/// This header holds their plain values, which pure code uses without the network.
namespace Trefoil
{

/// Version 0 stands for a row that does not exist.
using RowVersion = std::uint64_t;

struct TableRow
{
    std::string key;
    RowVersion version = 0;
    nlohmann::json value;
};

struct RowCondition
{
    std::string key;
    RowVersion version = 0;
};

struct RowPut
{
    std::string key;
    /// A JSON object. The client adds the member "transaction" with the transaction's id.
    nlohmann::json value;
};

/// Changes that take effect together, when every condition holds, or not at all.
struct Transaction
{
    /// Unique over all hosts and time; drawn by the client when empty. Keeping the id over several calls makes them one transaction.
    std::string id{};
    /// Every put and delete needs a condition on its row; otherwise a repeated transaction could undo another host's change.
    std::vector<RowCondition> conditions{};
    std::vector<RowPut> puts{};
    std::vector<std::string> deletes{};
};

struct Committed
{
    /// New versions of the rows that were put.
    std::map<std::string, RowVersion> versions;
};

/// The service did not answer, or answered that it did nothing. The request has no effect.
struct Unavailable
{
    std::string reason;
};

/// The write may have taken effect, or may still take effect.
struct Ambiguous
{
    std::string reason;
};

/// A condition does not hold; nothing was changed. Holds the rows whose conditions failed as they are now.
struct ConditionFailed
{
    std::vector<TableRow> rows;
};

using TransactResult = std::variant<Committed, ConditionFailed, Ambiguous, Unavailable>;
/// One entry host on the platform's list.
struct ListedHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /// Peer address, IP:port.
    std::string address;
    bool leaving = false;
};

struct ListedUpstream
{
    UpstreamId id;
    bool leaving = false;
};

struct HostList
{
    std::vector<ListedHost> hosts;
    std::vector<ListedUpstream> upstreams;
};

} // namespace Trefoil
