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
    /// Committed, but not yet confirmed in force in the regions named. Not an acceptance.
    Pending,
    /// Nothing has changed and nothing will.
    Refused,
    /// Another change came first; nothing was done.
    Conflict,
    /// The store did not tell whether the change was committed.
    Unknown,
};

/// The name of a status in responses, for example "accepted". Precondition: none. Thread safety: safe from any thread.
const char *changeStatusName(ChangeStatus status);

/// What became of a change.
struct ChangeOutcome
{
    ChangeStatus status = ChangeStatus::Refused;
    /// The version that the change made, or for other outcomes the one in force at this host.
    ConfigurationVersion version;
    std::string message;
    Findings findings{};
    /// The change itself; for a conflict what others changed since the base version.
    std::vector<ConfigurationChange> changes{};
    /// Regions that refused, or that have not confirmed.
    std::vector<RegionId> regions{};
};

struct ConfigurationServiceSettings
{
    HostId host;
    RegionId region;
    ZoneId zone;
};

/// Agreement on the configuration and its propagation (design 2.5). The head row in the table service decides which
/// version is committed; hosts only ever move to a higher one.
class ConfigurationService
{
public:
    using Sender = std::function<void(const HostId &to, const PeerMessage &message)>;
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &configuration)>;
    using Callback = std::function<void(const ChangeOutcome &outcome)>;

    /// Preconditions: context is run by the control thread, which holds a SnapshotReaderThread; state, table and objects
    /// outlive the context's run. Other hosts are taken from the state's routing view.
    static Result<std::unique_ptr<ConfigurationService>> create(
        boost::asio::io_context &context, ConfigurationServiceSettings settings, HostState &state, TableClient &table, ObjectClient &objects, Sender sender);

    ~ConfigurationService();
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /// Adds a function that is called with each configuration after it was published to the routing view.
    /// Thread safety: control thread only.
    void addListener(Listener listener);

    /// Starts to read the configuration from the store, and repeats that until it succeeds; peers may be faster.
    /// Thread safety: control thread only.
    void start();

    /// Handles a message of a peer. Heartbeats and their acknowledgements count as digests; types that belong to other
    /// services are passed over. Thread safety: control thread only.
    void handle(const HostId &from, const PeerMessage &message);

    /// Takes that the store holds a version, and fetches it when it is newer than the one in force.
    /// Thread safety: control thread only.
    void recordCommittedVersion(ConfigurationVersion version);

    /// Checks, prepares, commits and publishes a change. Without a base version the one in force here is taken.
    /// The callback is called once, on the control thread, at most about 8 s later.
    /// Thread safety: control thread only.
    void changeConfiguration(
        const std::string &text, std::optional<ConfigurationVersion> baseVersion, const std::string &author, bool dryRun, Callback callback);

    /// Replaces the upstreams that the platform lists as leaving and publishes the routing view when that changes it.
    /// Thread safety: control thread only.
    void setLeavingUpstreams(std::set<UpstreamId> leaving);

    /// The configuration in force here; version 0 before there is one. Thread safety: control thread only.
    std::shared_ptr<const Configuration> configuration() const;

    /// True after the store or a peer has told the configuration, also when it told that there is none yet.
    /// Thread safety: control thread only.
    bool isStarted() const;

    /// False when a newer version has been known for 2 s and could not be fetched. The lease of such a host must
    /// end, so that no host acts on an old configuration 3 s after the acceptance of a new one.
    /// Thread safety: control thread only.
    bool isCurrent(BootTime now) const;

    /// Stops timers and drops changes in progress without calling them back. Thread safety: control thread only.
    void stop();

private:
    class Implementation;
    explicit ConfigurationService(std::shared_ptr<Implementation> implementation);

    /// Shared with coroutines that wait for the store.
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
