#pragma once

#include "callerclient.h"

#include <optional>

namespace Trefoil::Load
{

/// Where requests of a service from a client address go, as the system said.
struct Lookup
{
    /// Caller addresses of hosts, the best first.
    std::vector<std::string> hosts;
    std::chrono::steady_clock::time_point validUntil;
};

/// Asks for look-ups and keeps them for their lifetime.
/// Thread safety: as for CallerClient.
class LookupCache
{
public:
    /// Precondition: client outlives the cache; hosts is not empty.
    LookupCache(CallerClient &client, std::vector<std::string> hosts);

    /// The look-up of a service and client address; none when no host answers. Asks the hosts of the last look-up first.
    std::optional<Lookup> find(
        const std::string &service, const std::string &clientAddress, const std::string &sourceAddress, const boost::asio::yield_context &yield);

    /// Responses of hosts that were no look-up. Thread safety: as for the class.
    std::uint64_t malformed() const;

private:
    std::optional<Lookup> ask(const std::string &host, const std::string &target, const std::string &sourceAddress, const boost::asio::yield_context &yield);

    CallerClient &m_client;
    std::vector<std::string> m_hosts;
    std::map<std::string, Lookup> m_known;
    std::uint64_t m_malformed = 0;
};

} // namespace Trefoil::Load
