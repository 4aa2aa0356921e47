#pragma once

#include <LibCore/result.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

/// Which links between processes are slow, cut or silent.
namespace Trefoil::LinkProxy
{

enum class LinkMode {
    Normal,
    /// Connections are reset, new ones too.
    Cut,
    /// Nothing arrives, and nothing tells either side so.
    Silent,
};

/// What happens to bytes from one endpoint to another.
struct Link
{
    LinkMode mode = LinkMode::Normal;
    std::chrono::milliseconds delay{0};
};

/// One process with its IP number and the groups it belongs to, for example its zone and region.
struct Endpoint
{
    std::string name;
    std::string ip;
    std::vector<std::string> groups;
};

using EndpointIndex = std::size_t;

/// Change of the links between two groups of endpoints.
struct LinkChange
{
    std::vector<EndpointIndex> from;
    std::vector<EndpointIndex> to;
    Link link;
    /// The opposite direction changes too.
    bool bothWays = true;
    /// Only connections that are open now fall silent, for good; links stay as they are.
    bool existingOnly = false;
};

/// Links between all pairs of endpoints. Thread safety: not safe; the proxy has one thread.
class LinkTable
{
public:
    /// Endpoint 0 is "outside": every process whose IP number is not listed.
    explicit LinkTable(std::vector<Endpoint> endpoints);

    EndpointIndex byAddress(const std::string &ip) const;

    /// All endpoints with this name or group; "*" means all.
    std::vector<EndpointIndex> named(const std::string &name) const;

    const Link &link(EndpointIndex from, EndpointIndex to) const;

    /// Reads {"from", "to", "mode": "normal|cut|silent", "delayMs", "oneWay", "existingOnly"}. Reports unknown names.
    Result<LinkChange> parse(const nlohmann::json &document) const;

    /// Precondition: change came from parse() of this table.
    void apply(const LinkChange &change);

    /// Whether a connection between these endpoints, opened by the first, is touched by a change.
    static bool touches(const LinkChange &change, EndpointIndex source, EndpointIndex destination);

private:
    std::vector<Endpoint> m_endpoints;
    std::unordered_map<std::string, EndpointIndex> m_byAddress;
    std::vector<Link> m_links;
};

} // namespace Trefoil::LinkProxy
