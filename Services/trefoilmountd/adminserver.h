#pragma once

#include <LibHttp/framingrejections.h>
#include <Services/trefoilmountd/adminqueries.h>
#include <Services/trefoilmountd/configurationservice.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Trefoil
{

struct AdminServerSettings
{
    /// Listening IP:port; port 0 selects a free port.
    std::string listenAddress;
    /// Every request must carry "Authorization: Bearer <secret>".
    std::string secret;
};

/// Functions that return data of other services, called on the control thread. The server omits the data of functions that are not set.
struct AdminServerSources
{
    QuerySources queries;
    /// Text of /metrics in the Prometheus exposition format.
    std::function<std::string()> metrics;
    /// Members of /v1/status in addition to those about the configuration.
    std::function<nlohmann::json()> status;
    /// Counts the requests that are rejected for their framing; may be null.
    FramingRejections *framingRejections = nullptr;
};

/// Administration over HTTP (design 3.2): POST /v1/commands, GET /v1/configuration, GET /v1/status, GET /metrics.
/// A response to commands is {"status", "version", "message", "findings", "changes", "regions", "tables"}; its HTTP status
/// is 200 for accepted, dry-run and answered, 202 pending, 400 invalid, 409 conflict, 503 refused and 504 unknown.
class AdminServer
{
public:
    /// Binds the listening address. Preconditions: context is run by the control thread; configuration and state outlive
    /// the context's run.
    static Result<std::unique_ptr<AdminServer>> create(boost::asio::io_context &context,
        AdminServerSettings settings,
        ConfigurationService &configuration,
        const HostState &state,
        AdminServerSources sources);

    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// The listening IP:port. Thread safety: control thread only.
    std::string address() const;

    /// Stops accepting connections; requests in progress end by their timeout. Thread safety: control thread only.
    void close();

private:
    class Implementation;
    explicit AdminServer(std::shared_ptr<Implementation> implementation);

    /// Shared with the coroutines of open connections.
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
