#pragma once

#include <LibStore/storeconnection.h>

#include <string>
#include <variant>

namespace Trefoil
{

/// The list has not changed since this client last read it.
struct HostListUnchanged
{
};

using HostListResult = std::variant<HostList, HostListUnchanged, Unavailable>;

/// Client of the platform's list of hosts, which lags behind the truth.
/// Thread safety: one thread at a time, the one that runs the io_context.
class HostListClient
{
public:
    /// Precondition: context outlives the client.
    HostListClient(boost::asio::io_context &context, const StoreSettings &settings);

    /// Reads the list. An unchanged list costs only headers when the service sends an entity tag: the list of 1,500
    /// hosts is about 150 KB, which would exceed a host's control traffic within a few reads.
    HostListResult list(BootTime deadline, const boost::asio::yield_context &yield);

    const JsonClient &client() const
    {
        return m_connection.client();
    }

private:
    StoreConnection m_connection;
    std::string m_entityTag;
};

} // namespace Trefoil
