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

/// How the membership reaches other hosts; usually PeerNetwork::send and PeerNetwork::setPeers.
struct PeerTransport
{
    std::function<void(const HostId &peer, const PeerMessage &message)> send;
    std::function<void(const std::vector<PeerEndpoint> &peers)> setPeers;
};

/// The control loop of this host's membership: joins, heartbeats, renewals, grants and reclaims, and follows the
/// platform's list of leaving hosts and upstreams. It publishes the lease, the grants, the known hosts and the leaving
/// upstreams into HostState.
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

    /// Handles a message of another host; messages of other concerns are ignored.
    void handle(const HostId &from, const PeerMessage &message);

    /// Takes over a configuration that is in force. Grants above lowered totals stop being used at once.
    /// Precondition: the routing view holds the configuration's upstreams already.
    void onConfiguration(const Configuration &configuration);

    /// Sets how many connections to an upstream are open; without it they count as none.
    void setConnectionUsage(std::function<ConnectionCount(const UpstreamId &upstream)> usage);

    /// Sets what must hold, besides the membership, for the lease; it ends as soon as that fails. Precondition: called before start().
    void setLeaseCondition(std::function<bool(BootTime now)> condition);

    /// Sets a function that is called with each newer version of the configuration that the store is seen to hold.
    /// Precondition: called before start().
    void setConfigurationListener(std::function<void(ConfigurationVersion version)> listener);

    /// Marks this host as leaving. All grants are released when look-ups have forgotten the host and no request is in flight.
    void requestStop();

    /// True when a stop was requested and all grants are released.
    bool hasLeft() const;

private:
    class Implementation;
    explicit MembershipService(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
