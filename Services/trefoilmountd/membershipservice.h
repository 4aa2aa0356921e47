#pragma once

#include <LibCore/result.h>
#include <LibPeer/peernetwork.h>
#include <LibSettings/hostsettings.h>
#include <Services/trefoilmountd/hoststate.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace Trefoil
{

/// Functions that reach other hosts, typically PeerNetwork::send and PeerNetwork::setPeers.
struct PeerTransport
{
    std::function<void(const HostId &peer, const PeerMessage &message)> send;
    std::function<void(const std::vector<PeerEndpoint> &peers)> setPeers;
};

/// The control loop of this host's membership: joins, heartbeats, renewals, grants and reclaims. It polls the platform's
/// list of leaving hosts and upstreams, and publishes the lease, the grants, the hosts and the leaving upstreams to
/// HostState.
/// Thread safety: all members on the control thread only, which holds a SnapshotReaderThread.
class MembershipService
{
public:
    /// Preconditions: context is run by the control thread; context and state outlive the service and its coroutines.
    static Result<std::unique_ptr<MembershipService>> create(
        boost::asio::io_context &context, const HostSettings &settings, Incarnation incarnation, HostState &state, PeerTransport transport);

    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /// Starts the loops.
    void start();

    /// Handles a message of another host; message types of other services are ignored.
    void handle(const HostId &from, const PeerMessage &message);

    /// Applies a configuration that is in force. Grants above lowered totals are no longer used from then on.
    /// Precondition: the routing view already holds the configuration's upstreams.
    void onConfiguration(const Configuration &configuration);

    /// Sets the function that returns the number of open connections to an upstream; the default count is 0.
    void setConnectionUsage(std::function<ConnectionCount(const UpstreamId &upstream)> usage);

    /// Sets a condition for the lease in addition to membership; the lease ends as soon as the condition fails. Precondition: called before start().
    void setLeaseCondition(std::function<bool(BootTime now)> condition);

    /// Sets a function that is called when a read of the store returns a newer version of the configuration.
    /// Precondition: called before start().
    void setConfigurationListener(std::function<void(ConfigurationVersion version)> listener);

    /// Marks this host as leaving. All grants are released when the look-up responses that list this host have expired and no
    /// request is in flight.
    void requestStop();

    /// True when a stop was requested and all grants are released.
    bool hasLeft() const;

private:
    class Implementation;
    explicit MembershipService(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
