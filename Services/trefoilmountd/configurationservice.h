#pragma once

#include <Services/trefoilmountd/hoststate.h>

#include <LibConfiguration/difference.h>
#include <LibCore/result.h>
#include <LibPeer/messages.h>
#include <LibStore/objectclient.h>
#include <LibStore/tableclient.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Trefoil
{

enum class ChangeStatus {
    /// The text has findings; nothing was done.
    Invalid,
    /// The change would apply; nothing was done.
    DryRun,
    /// In force at a host of every region.
    Accepted,
    /// Committed, but not yet confirmed in force in the regions listed. Not an acceptance.
    Pending,
    /// The change did not and will not take effect.
    Refused,
    /// Another change was committed first; nothing was done.
    Conflict,
    /// The store did not report whether the change was committed.
    Unknown,
};

/// The name of a status in responses, for example "accepted". Precondition: none. Thread safety: safe from any thread.
const char *changeStatusName(ChangeStatus status);

/// The result of a change.
struct ChangeOutcome
{
    ChangeStatus status = ChangeStatus::Refused;
    /// The version that the change created; for other outcomes the version in force at this host.
    ConfigurationVersion version;
    std::string message;
    Findings findings{};
    /// The changes of this request; for a conflict those of others since the base version.
    std::vector<ConfigurationChange> changes{};
    /// Regions that rejected the change or have not confirmed it.
    std::vector<RegionId> regions{};
};

struct ConfigurationServiceSettings
{
    HostId host;
    RegionId region;
    ZoneId zone;
};

/// Commits changes of the configuration and propagates them (design 2.5). The head row in the table service decides which
/// version is committed; hosts only move to higher versions.
class ConfigurationService
{
public:
    using Sender = std::function<void(const HostId &to, const PeerMessage &message)>;
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &configuration)>;
    using Callback = std::function<void(const ChangeOutcome &outcome)>;

    /// Preconditions: context is run by the control thread, which holds a SnapshotReaderThread; state, table and objects
    /// outlive the context's run. The other hosts are those of the state's routing view.
    static Result<std::unique_ptr<ConfigurationService>> create(
        boost::asio::io_context &context, ConfigurationServiceSettings settings, HostState &state, TableClient &table, ObjectClient &objects, Sender sender);

    ~ConfigurationService();
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /// Adds a function that is called with each configuration after its publication to the routing view.
    /// Thread safety: control thread only.
    void addListener(Listener listener);

    /// Starts reading the configuration from the store, with retries until it succeeds or a peer delivers the configuration.
    /// Thread safety: control thread only.
    void start();

    /// Handles a message of a peer. Heartbeats and their acknowledgements carry the peer's version; message types of other
    /// services are ignored. Thread safety: control thread only.
    void handle(const HostId &from, const PeerMessage &message);

    /// Records that the store holds a version, and fetches the version if it is newer than the one in force.
    /// Thread safety: control thread only.
    void recordCommittedVersion(ConfigurationVersion version);

    /// Checks, prepares, commits and publishes a change. The default base version is the one in force here.
    /// The callback is called once, on the control thread, after at most about 8 s.
    /// Thread safety: control thread only.
    void changeConfiguration(
        const std::string &text, std::optional<ConfigurationVersion> baseVersion, const std::string &author, bool dryRun, Callback callback);

    /// Replaces the set of upstreams that the platform lists as leaving, and publishes the routing view when the set changes.
    /// Thread safety: control thread only.
    void setLeavingUpstreams(std::set<UpstreamId> leaving);

    /// The configuration in force here; version 0 before there is one. Thread safety: control thread only.
    std::shared_ptr<const Configuration> configuration() const;

    /// True once the store or a peer has delivered the configuration, or the store has reported that there is none yet.
    /// Thread safety: control thread only.
    bool isStarted() const;

    /// False when a newer version was reported 2 s ago and could not be fetched since. The lease of such a host must
    /// end, so that no host uses an old configuration 3 s after the acceptance of a new one.
    /// Thread safety: control thread only.
    bool isCurrent(BootTime now) const;

    /// Stops timers and drops changes in progress without calling their callbacks. Thread safety: control thread only.
    void stop();

private:
    class Implementation;
    explicit ConfigurationService(std::shared_ptr<Implementation> implementation);

    /// Shared with coroutines that wait for the store.
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
