#pragma once

#include <LibPeer/peernetwork.h>
#include <LibSettings/hostsettings.h>
#include <LibStore/objectclient.h>
#include <LibStore/tableclient.h>
#include <Services/trefoilmountd/adminserver.h>
#include <Services/trefoilmountd/claimservice.h>
#include <Services/trefoilmountd/configurationservice.h>
#include <Services/trefoilmountd/host.h>
#include <Services/trefoilmountd/membershipservice.h>

#include <memory>

namespace Trefoil
{

/// Secrets, read from the files that the settings specify.
struct HostSecrets
{
    std::string admin;
    std::string peer;
};

/// The control loops of one host, attached to its control io_context: peer network, configuration, membership, claims and
/// administration. Thread safety: control thread only, apart from what claims() returns.
class ControlPlane
{
public:
    /// Binds the peer and administration addresses. Precondition: host outlives the control plane and its io_context's run.
    static Result<std::unique_ptr<ControlPlane>> create(Host &host, const HostSettings &settings, const HostSecrets &secrets, Incarnation incarnation);

    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Starts all loops. Precondition: called once, on the control thread, which holds a SnapshotReaderThread.
    void start();

    /// Begins to leave the membership: look-up responses of other hosts leave this host out, and its grants are released at the end.
    void requestStop();

    /// True when all grants are released. Precondition: requestStop() was called.
    bool hasLeft() const;

    /// The claims of this host. Thread safety: safe from any thread.
    ClaimService &claims();

private:
    ControlPlane(Host &host, const HostSettings &settings, Incarnation incarnation);
    Result<void> connect(const HostSecrets &secrets, Incarnation incarnation);
    void handle(const HostId &from, const PeerMessage &message);
    void applyConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void deleteExpiredClaims();
    AdminServerSources adminSources();
    nlohmann::json grants(const std::optional<ServiceId> &service) const;
    std::string metricsText() const;

    Host &m_host;
    HostSettings m_settings;
    TableClient m_table;
    ObjectClient m_objects;
    ClaimService m_claims;
    std::unique_ptr<PeerNetwork> m_peers;
    std::unique_ptr<ConfigurationService> m_configuration;
    std::unique_ptr<MembershipService> m_membership;
    std::unique_ptr<AdminServer> m_admin;
    boost::asio::steady_timer m_claimTimer;
    pcg32 m_random;
};

} // namespace Trefoil
