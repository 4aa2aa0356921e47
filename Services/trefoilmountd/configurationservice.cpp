#include <Services/trefoilmountd/configurationservice.h>

#include <Services/trefoilmountd/configurationstore.h>

#include <LibCommand/apply.h>
#include <LibCommand/parser.h>
#include <LibConfiguration/digest.h>
#include <LibConfiguration/json.h>
#include <LibCore/sleep.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>

namespace Trefoil
{

using boost::asio::yield_context;

namespace
{

constexpr std::chrono::milliseconds s_storeReadTimeout{1000};
constexpr std::chrono::milliseconds s_prepareTimeout{1500};
/// A prepare or commit message without a response is sent again, or to another host, after this time.
constexpr std::chrono::milliseconds s_resendInterval{500};
constexpr std::chrono::milliseconds s_commitTimeout{2500};
/// P8: after this time the response is "pending" instead of "accepted".
constexpr std::chrono::milliseconds s_publishTimeout{3000};
/// Well below 3 s, so that an outdated host stops dispatching before the limit of P8.
constexpr std::chrono::milliseconds s_maximumOutdatedTime{2000};
constexpr std::chrono::milliseconds s_fetchInterval{250};
/// How long peers have to deliver a version before it is read from the store.
constexpr std::chrono::milliseconds s_peerFetchTimeout{500};
constexpr std::chrono::milliseconds s_maximumRepairDelay{4000};
/// Finds versions that no peer reports. 1,500 hosts cause 50 of the 2,000 reads/s that the store allows.
constexpr std::chrono::seconds s_storeCheckInterval{30};
constexpr std::size_t s_maximumCandidates = 4;
constexpr std::size_t s_maximumHistoryEntries = 32;
constexpr std::size_t s_maximumAuthorLength = 64;

/// A host that is not leaving and must receive changes; includes this host.
struct LiveHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
};

/// The difference between two consecutive versions in force at this host.
struct HistoryEntry
{
    ConfigurationVersion from;
    ConfigurationVersion to;
    std::vector<ConfigurationChange> changes;
};

/// A change that passed the checks here and waits for responses of other hosts.
struct ChangeInProgress
{
    explicit ChangeInProgress(boost::asio::io_context &context)
        : responseReceived(context)
    {
    }

    std::string operation;
    std::shared_ptr<const Configuration> candidate;
    std::set<HostId> prepared;
    std::map<HostId, std::string> refused;
    std::set<HostId> inForce;
    /// Cancelled at each response, to resume the waiting coroutine.
    boost::asio::steady_timer responseReceived;
};

std::string printableAuthor(const std::string &author)
{
    std::string text = author.substr(0, s_maximumAuthorLength);
    std::replace_if(
        text.begin(), text.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
    return text;
}

bool isDrained(const Configuration &configuration, const UpstreamConfiguration &upstream)
{
    for (const auto &region : configuration.regions) {
        if (region.id != upstream.region) {
            continue;
        }
        const auto zoneIsDrained = [&upstream](const ZoneConfiguration &zone) { return zone.id == upstream.zone && zone.drained; };
        return upstream.drained || region.drained || std::any_of(region.zones.begin(), region.zones.end(), zoneIsDrained);
    }
    return true;
}

} // namespace

class ConfigurationService::Implementation : public std::enable_shared_from_this<ConfigurationService::Implementation>
{
public:
    Implementation(
        boost::asio::io_context &context, ConfigurationServiceSettings settings, HostState &state, TableClient &table, ObjectClient &objects, Sender sender)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_state(state)
        , m_store(table, objects)
        , m_sender(std::move(sender))
        , m_random(std::random_device{}())
    {
    }

    void addListener(Listener listener)
    {
        m_listeners.push_back(std::move(listener));
    }

    void start()
    {
        spawnCoroutine([](Implementation &self, const yield_context &yield) { self.checkStore(yield); });
    }

    void stop()
    {
        m_isStopped = true;
        for (const auto &change : m_changes) {
            change->responseReceived.cancel();
        }
    }

    void handle(const HostId &from, const PeerMessage &message)
    {
        if (!m_isStopped) {
            std::visit([&](const auto &value) { receive(from, value); }, message);
        }
    }

    void recordCommittedVersion(ConfigurationVersion version)
    {
        if (!m_isStopped && version > m_current->version) {
            recordNewerVersion(version, BootClock::now());
        }
    }

    void changeConfiguration(
        const std::string &text, std::optional<ConfigurationVersion> baseVersion, const std::string &author, bool dryRun, Callback callback)
    {
        spawnCoroutine([text, baseVersion, author, dryRun, callback = std::move(callback)](Implementation &self, const yield_context &yield) {
            const ChangeOutcome outcome = self.change(text, baseVersion, printableAuthor(author), dryRun, yield);
            if (!self.m_isStopped) {
                callback(outcome);
            }
        });
    }

    void setLeavingUpstreams(std::set<UpstreamId> leaving)
    {
        if (leaving == m_leavingUpstreams) {
            return;
        }
        m_leavingUpstreams = std::move(leaving);
        publishView();
    }

    std::shared_ptr<const Configuration> configuration() const
    {
        return m_current;
    }

    bool isStarted() const
    {
        return m_isStarted;
    }

    bool isCurrent(BootTime now) const
    {
        return !m_outdatedSince || now - *m_outdatedSince < s_maximumOutdatedTime;
    }

private:
    template<typename Function>
    void spawnCoroutine(Function function)
    {
        boost::asio::spawn(m_context, [self = shared_from_this(), function = std::move(function)](const yield_context &yield) mutable {
            if (!self->m_isStopped) {
                function(*self, yield);
            }
        });
    }

    // Messages

    template<typename Message>
    void receive(const HostId & /*from*/, const Message & /*message*/)
    {
    }

    void receive(const HostId &from, const Heartbeat &message)
    {
        fetchIfNewer(message.configuration, from);
    }

    void receive(const HostId &from, const HeartbeatAck &message)
    {
        fetchIfNewer(message.configuration, from);
    }

    void receive(const HostId &from, const Prepare &message)
    {
        if (message.version.value() > m_current->version.value() + 1) {
            fetchIfNewer(ConfigurationVersion(message.version.value() - 1), from);
        }
        const std::string reason = prepareCandidate(message);
        m_sender(from, PrepareAck{message.operation, message.version, reason.empty(), reason});
    }

    /// Stores the candidate of a change. Returns why it can't come into force here, or an empty text.
    std::string prepareCandidate(const Prepare &message)
    {
        if (message.version.value() != m_current->version.value() + 1) {
            return fmt::format("version {} is in force here", m_current->version.value());
        }
        const auto commands = parseCommands(message.commands);
        if (commands.has_error()) {
            return commands.error().message;
        }
        auto candidate = applyCommands(*m_current, commands.value());
        if (candidate.has_error()) {
            return candidate.error().message;
        }
        if (digest(candidate.value()) != message.digest) {
            return "the change has another result here";
        }
        addCandidate(message.digest, std::make_shared<const Configuration>(std::move(candidate.value())));
        return {};
    }

    void addCandidate(const std::string &candidateDigest, std::shared_ptr<const Configuration> candidate)
    {
        m_candidates.emplace_back(candidateDigest, std::move(candidate));
        if (m_candidates.size() > s_maximumCandidates) {
            m_candidates.pop_front();
        }
    }

    void receive(const HostId &from, const PrepareAck &message)
    {
        for (const auto &change : m_changes) {
            if (change->operation != message.operation) {
                continue;
            }
            if (message.accepted) {
                change->prepared.insert(from);
                change->refused.erase(from);
            } else {
                change->refused[from] = message.reason;
            }
            change->responseReceived.cancel();
        }
    }

    void receive(const HostId &from, const Commit &message)
    {
        // Forwards first, so that a slow host does not delay its availability zone.
        for (const auto &host : message.forwardTo) {
            if (host != m_settings.host) {
                m_sender(host, Commit{message.version, message.digest, {}});
            }
        }
        const auto candidate = std::find_if(m_candidates.begin(), m_candidates.end(), [&message](const auto &entry) { return entry.first == message.digest; });
        if (candidate != m_candidates.end() && candidate->second->version == message.version) {
            putInForce(candidate->second);
        }
        if (m_current->version >= message.version) {
            m_sender(from, CommitAck{m_current->version});
            return;
        }
        m_pendingAcknowledgements[from] = message.version;
        fetchIfNewer(message.version, from);
    }

    void receive(const HostId &from, const CommitAck &message)
    {
        for (const auto &change : m_changes) {
            if (message.version >= change->candidate->version) {
                change->inForce.insert(from);
                change->responseReceived.cancel();
            }
        }
    }

    void receive(const HostId &from, const FetchConfiguration &message)
    {
        if (m_current->version <= message.newerThan) {
            return;
        }
        m_sender(from, ConfigurationCopy{m_current->version, digest(*m_current), toJson(*m_current).dump()});
    }

    void receive(const HostId & /*from*/, const ConfigurationCopy &message)
    {
        if (message.version <= m_current->version) {
            return;
        }
        auto copy = checkedConfiguration(message.document, message.version, message.digest);
        if (!copy) {
            writeLog(LogLevel::Warning, "configuration-copy-refused", {{"version", static_cast<std::int64_t>(message.version.value())}});
            return;
        }
        m_isStarted = true;
        putInForce(std::move(copy));
    }

    // Coming into force

    /// Puts a committed configuration in force unless the current one is as new or newer: hosts never revert.
    void putInForce(std::shared_ptr<const Configuration> next)
    {
        if (next->version <= m_current->version) {
            return;
        }
        addToHistory(*next);
        m_current = std::move(next);
        m_newestVersion = std::max(m_newestVersion, m_current->version);
        if (m_current->version >= m_newestVersion) {
            m_outdatedSince.reset();
        }
        publishView();
        writeLog(LogLevel::Info, "configuration-in-force", {{"version", static_cast<std::int64_t>(m_current->version.value())}});
        sendPendingAcknowledgements();
        for (const auto &listener : m_listeners) {
            listener(m_current);
        }
    }

    void addToHistory(const Configuration &next)
    {
        // The first configuration after the start is not a change by an operator.
        if (m_current->version.value() == 0) {
            return;
        }
        m_history.push_back({m_current->version, next.version, difference(*m_current, next)});
        if (m_history.size() > s_maximumHistoryEntries) {
            m_history.pop_front();
        }
    }

    void sendPendingAcknowledgements()
    {
        for (auto position = m_pendingAcknowledgements.begin(); position != m_pendingAcknowledgements.end();) {
            if (position->second > m_current->version) {
                ++position;
                continue;
            }
            m_sender(position->first, CommitAck{m_current->version});
            position = m_pendingAcknowledgements.erase(position);
        }
    }

    void publishView()
    {
        m_state.updateRouting([this](RoutingView &view) {
            view.configuration = m_current;
            view.upstreams = upstreamStates(view.upstreams);
        });
    }

    /// The upstreams of this host's region. Slot counters are reused, so that requests in flight stay counted.
    std::vector<std::shared_ptr<const UpstreamState>> upstreamStates(const std::vector<std::shared_ptr<const UpstreamState>> &previous) const
    {
        std::map<UpstreamId, std::shared_ptr<const UpstreamState>> byId;
        for (const auto &upstream : previous) {
            byId.emplace(upstream->configuration.id, upstream);
        }
        std::vector<std::shared_ptr<const UpstreamState>> states;
        for (const auto &service : m_current->services) {
            for (const auto &upstream : service.upstreams) {
                if (upstream.region != m_settings.region) {
                    continue;
                }
                const auto match = byId.find(upstream.id);
                auto slots = match == byId.end() ? UpstreamSlots::create() : match->second->slots;
                const bool leaving = isDrained(*m_current, upstream) || m_leavingUpstreams.count(upstream.id) != 0;
                states.push_back(std::make_shared<const UpstreamState>(UpstreamState{upstream, service.id, std::move(slots), leaving}));
            }
        }
        return states;
    }

    // Catching up

    /// Fetches a version that a peer has or has reported, if it is newer than the one in force.
    void fetchIfNewer(ConfigurationVersion version, const HostId &from)
    {
        if (version <= m_current->version) {
            return;
        }
        const BootTime now = BootClock::now();
        recordNewerVersion(version, now);
        if (!m_lastFetch || now - *m_lastFetch >= s_fetchInterval) {
            m_lastFetch = now;
            m_sender(from, FetchConfiguration{m_current->version});
        }
    }

    /// Precondition: the version is newer than the one in force.
    void recordNewerVersion(ConfigurationVersion version, BootTime now)
    {
        m_newestVersion = std::max(m_newestVersion, version);
        if (!m_outdatedSince) {
            m_outdatedSince = now;
            spawnCoroutine([](Implementation &self, const yield_context &yield) { self.repair(yield); });
        }
    }

    /// Reads the store until the newest reported version is in force, unless a peer delivers it first.
    void repair(const yield_context &yield)
    {
        std::chrono::milliseconds delay = s_peerFetchTimeout;
        while (true) {
            sleepFor(m_context, delay, yield);
            if (m_isStopped || m_current->version >= m_newestVersion) {
                return;
            }
            updateFromStore(yield);
            delay = std::min(delay * 2, s_maximumRepairDelay);
        }
    }

    void checkStore(const yield_context &yield)
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        while (!m_isStopped) {
            const bool isRead = updateFromStore(yield);
            const std::chrono::milliseconds delay = isRead ? std::chrono::milliseconds(s_storeCheckInterval) : std::chrono::milliseconds(1000);
            sleepFor(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(delay * jitter(m_random)), yield);
        }
    }

    /// Reads the store until it responds, so that a commit with an unknown outcome comes into force soon if it took effect.
    void resolveAmbiguousCommit(const yield_context &yield)
    {
        while (!m_isStopped && !updateFromStore(yield)) {
            sleepFor(m_context, s_peerFetchTimeout, yield);
        }
    }

    /// Puts the store's configuration in force if it is newer. False when the store could not be read.
    bool updateFromStore(const yield_context &yield)
    {
        const HeadResult result = m_store.readHead(BootClock::now() + s_storeReadTimeout, yield);
        const auto *head = std::get_if<ConfigurationHead>(&result);
        return !m_isStopped && head != nullptr && applyHead(*head, yield);
    }

    bool applyHead(const ConfigurationHead &head, const yield_context &yield)
    {
        if (head.version > m_current->version) {
            const BodyResult body = m_store.readBody(head, BootClock::now() + s_storeReadTimeout, yield);
            const auto *configuration = std::get_if<std::shared_ptr<const Configuration>>(&body);
            if (m_isStopped || configuration == nullptr) {
                return false;
            }
            putInForce(*configuration);
        }
        m_isStarted = true;
        return true;
    }

    // Changes

    ChangeOutcome outcome(ChangeStatus status, std::string message) const
    {
        return {status, m_current->version, std::move(message)};
    }

    /// Steps 1 to 4 of design 2.5.
    ChangeOutcome change(
        const std::string &text, std::optional<ConfigurationVersion> baseVersion, const std::string &author, bool dryRun, const yield_context &yield)
    {
        const auto commands = parseCommands(text);
        if (commands.has_error()) {
            ChangeOutcome invalid = outcome(ChangeStatus::Invalid, commands.error().message);
            invalid.findings = commands.error().findings;
            return invalid;
        }
        const HeadResult headResult = m_store.readHead(BootClock::now() + s_storeReadTimeout, yield);
        const auto *head = std::get_if<ConfigurationHead>(&headResult);
        if (head == nullptr && !dryRun) {
            return outcome(ChangeStatus::Refused, std::get<Unavailable>(headResult).reason);
        }
        if (head != nullptr && !applyHead(*head, yield)) {
            return outcome(ChangeStatus::Refused, "the newest configuration cannot be read");
        }
        const auto base = m_current;
        if (baseVersion && *baseVersion != base->version) {
            return conflictSince(*baseVersion, fmt::format("version {} is not the newest", baseVersion->value()));
        }
        auto candidate = applyCommands(*base, commands.value());
        if (candidate.has_error()) {
            ChangeOutcome invalid = outcome(ChangeStatus::Invalid, candidate.error().message);
            invalid.findings = candidate.error().findings;
            return invalid;
        }
        auto changes = difference(*base, candidate.value());
        if (dryRun || changes.empty()) {
            ChangeOutcome checked = outcome(ChangeStatus::DryRun, changes.empty() ? "nothing to change" : "the change would apply");
            checked.changes = std::move(changes);
            return checked;
        }
        if (head->version != base->version) {
            // A peer delivered a version that reads of the table service do not return yet.
            return outcome(ChangeStatus::Refused, "the table service shows an old configuration");
        }
        auto result = executeChange(text, *base, *head, std::move(candidate.value()), author, yield);
        if (result.changes.empty()) {
            result.changes = std::move(changes);
        }
        return result;
    }

    ChangeOutcome executeChange(const std::string &text,
        const Configuration &base,
        const ConfigurationHead &head,
        Configuration candidate,
        const std::string &author,
        const yield_context &yield)
    {
        const auto change = std::make_shared<ChangeInProgress>(m_context);
        change->operation = m_store.newOperation();
        change->candidate = std::make_shared<const Configuration>(std::move(candidate));
        m_changes.insert(change);
        ChangeOutcome result = executeChange(text, base, head, *change, author, yield);
        m_changes.erase(change);
        return result;
    }

    ChangeOutcome executeChange(const std::string &text,
        const Configuration &base,
        const ConfigurationHead &head,
        ChangeInProgress &change,
        const std::string &author,
        const yield_context &yield)
    {
        ConfigurationHead next;
        next.version = change.candidate->version;
        next.digest = digest(*change.candidate);
        next.author = author;
        next.operation = change.operation;
        const auto refusal = prepare(text, base, next.digest, change, yield);
        if (refusal) {
            return *refusal;
        }
        const auto result = m_store.commit(head, next, toJson(*change.candidate).dump(), BootClock::now() + s_commitTimeout, yield);
        if (const auto *conflict = std::get_if<HeadConflict>(&result)) {
            applyHead(conflict->winner, yield);
            return conflictSince(base.version, fmt::format("version {} by {} came first", conflict->winner.version.value(), conflict->winner.author));
        }
        if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
            return outcome(ChangeStatus::Refused, unavailable->reason);
        }
        if (const auto *ambiguous = std::get_if<Ambiguous>(&result)) {
            spawnCoroutine([](Implementation &self, const yield_context &later) { self.resolveAmbiguousCommit(later); });
            return outcome(ChangeStatus::Unknown, ambiguous->reason);
        }
        return publish(next, change, yield);
    }

    /// This host and the hosts of the routing view that are not leaving.
    std::vector<LiveHost> liveHosts() const
    {
        std::vector<LiveHost> result{{m_settings.host, m_settings.region, m_settings.zone}};
        m_state.routing.read([&](const RoutingView &view) {
            for (const auto &host : view.hosts) {
                if (!host.leaving && host.id != m_settings.host) {
                    result.push_back({host.id, host.region, host.zone});
                }
            }
        });
        return result;
    }

    /// Regions in which the change must be prepared: those of live hosts, and those declared both before and after it.
    std::set<RegionId> regionsToPrepare(const Configuration &base, const Configuration &candidate, const std::vector<LiveHost> &hosts) const
    {
        std::set<RegionId> regions;
        for (const auto &host : hosts) {
            regions.insert(host.region);
        }
        for (const auto &region : base.regions) {
            const auto remains = [&region](const RegionConfiguration &other) { return other.id == region.id; };
            if (std::any_of(candidate.regions.begin(), candidate.regions.end(), remains)) {
                regions.insert(region.id);
            }
        }
        return regions;
    }

    static std::vector<RegionId> regionsWithoutMajority(const std::set<RegionId> &regions, const std::vector<LiveHost> &hosts, const std::set<HostId> &prepared)
    {
        std::vector<RegionId> result;
        for (const auto &region : regions) {
            const auto isMember = [&region](const LiveHost &host) { return host.region == region; };
            const auto isPrepared = [&](const LiveHost &host) { return host.region == region && prepared.count(host.id) != 0; };
            const auto live = std::count_if(hosts.begin(), hosts.end(), isMember);
            const auto ready = std::count_if(hosts.begin(), hosts.end(), isPrepared);
            if (ready * 2 <= live) {
                result.push_back(region);
            }
        }
        return result;
    }

    /// Empty when a majority of the live hosts of every region can put the candidate in force, otherwise the refused outcome.
    std::optional<ChangeOutcome> prepare(
        const std::string &text, const Configuration &base, const std::string &candidateDigest, ChangeInProgress &change, const yield_context &yield)
    {
        const auto hosts = liveHosts();
        const auto regions = regionsToPrepare(base, *change.candidate, hosts);
        change.prepared.insert(m_settings.host);
        const BootTime deadline = BootClock::now() + s_prepareTimeout;
        BootTime sendAt = BootClock::now();
        std::vector<RegionId> missing = regionsWithoutMajority(regions, hosts, change.prepared);
        while (!m_isStopped && !missing.empty() && BootClock::now() < deadline) {
            if (BootClock::now() >= sendAt) {
                sendPrepare(Prepare{change.operation, change.candidate->version, candidateDigest, text}, hosts, change);
                sendAt += s_resendInterval;
            }
            waitForResponse(change, std::min(deadline, sendAt), yield);
            missing = regionsWithoutMajority(regions, hosts, change.prepared);
        }
        if (missing.empty()) {
            return std::nullopt;
        }
        std::string message = "no majority of hosts is ready in " + toText(missing);
        for (const auto &[host, reason] : change.refused) {
            message += fmt::format("; {}: {}", host.value(), reason);
        }
        ChangeOutcome refusal = outcome(ChangeStatus::Refused, std::move(message));
        refusal.regions = std::move(missing);
        return refusal;
    }

    void sendPrepare(const Prepare &message, const std::vector<LiveHost> &hosts, const ChangeInProgress &change)
    {
        for (const auto &host : hosts) {
            if (change.prepared.count(host.id) == 0) {
                m_sender(host.id, message);
            }
        }
    }

    void waitForResponse(ChangeInProgress &change, BootTime until, const yield_context &yield)
    {
        change.responseReceived.expires_after(until - BootClock::now());
        boost::system::error_code ignored;
        change.responseReceived.async_wait(yield[ignored]);
    }

    /// Puts the committed change in force here and sends it to the other hosts until one in every region has confirmed it.
    ChangeOutcome publish(const ConfigurationHead &next, ChangeInProgress &change, const yield_context &yield)
    {
        putInForce(change.candidate);
        change.inForce.insert(m_settings.host);
        const auto hosts = liveHosts();
        const BootTime deadline = BootClock::now() + s_publishTimeout;
        BootTime sendAt = BootClock::now();
        for (std::size_t attempt = 0; !m_isStopped;) {
            const auto missing = regionsNotInForce(hosts, change.inForce);
            if (missing.empty()) {
                return {ChangeStatus::Accepted, next.version, "in force in every region"};
            }
            if (BootClock::now() >= deadline) {
                ChangeOutcome pending{ChangeStatus::Pending, next.version, "committed, pending in " + toText(missing)};
                pending.regions = missing;
                return pending;
            }
            if (BootClock::now() >= sendAt) {
                pushCommit(Commit{next.version, next.digest, {}}, hosts, change.inForce, attempt++);
                sendAt += s_resendInterval;
            }
            waitForResponse(change, std::min(deadline, sendAt), yield);
        }
        return outcome(ChangeStatus::Unknown, "the host stops");
    }

    std::vector<RegionId> regionsNotInForce(const std::vector<LiveHost> &hosts, const std::set<HostId> &inForce) const
    {
        std::map<RegionId, bool> confirmed;
        for (const auto &host : hosts) {
            confirmed[host.region] |= inForce.count(host.id) != 0;
        }
        for (const auto &region : m_current->regions) {
            confirmed[region.id] |= false;
        }
        std::vector<RegionId> result;
        for (const auto &[region, isConfirmed] : confirmed) {
            if (!isConfirmed) {
                result.push_back(region);
            }
        }
        return result;
    }

    /// Sends to one host in each other zone, which forwards to the rest of its zone, and directly to the hosts of this zone.
    /// Each attempt picks the next host of a zone, so that an unresponsive host does not cut the zone off.
    void pushCommit(const Commit &message, const std::vector<LiveHost> &hosts, const std::set<HostId> &inForce, std::size_t attempt)
    {
        std::map<std::pair<RegionId, ZoneId>, std::vector<HostId>> zones;
        for (const auto &host : hosts) {
            if (inForce.count(host.id) == 0) {
                zones[{host.region, host.zone}].push_back(host.id);
            }
        }
        for (auto &[zone, waiting] : zones) {
            if (zone.second == m_settings.zone) {
                for (const auto &host : waiting) {
                    m_sender(host, message);
                }
                continue;
            }
            std::rotate(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(attempt % waiting.size()), waiting.end());
            Commit forwarded = message;
            forwarded.forwardTo.assign(waiting.begin() + 1, waiting.end());
            m_sender(waiting.front(), forwarded);
        }
    }

    ChangeOutcome conflictSince(ConfigurationVersion base, const std::string &message) const
    {
        ChangeOutcome conflict = outcome(ChangeStatus::Conflict, message);
        for (const auto &entry : m_history) {
            if (entry.to > base) {
                conflict.changes.insert(conflict.changes.end(), entry.changes.begin(), entry.changes.end());
            }
        }
        return conflict;
    }

    static std::string toText(const std::vector<RegionId> &regions)
    {
        std::string text;
        for (const auto &region : regions) {
            text += (text.empty() ? "" : ", ") + region.value();
        }
        return text;
    }

    boost::asio::io_context &m_context;
    ConfigurationServiceSettings m_settings;
    HostState &m_state;
    ConfigurationStore m_store;
    Sender m_sender;
    std::mt19937_64 m_random;
    std::vector<Listener> m_listeners;

    std::shared_ptr<const Configuration> m_current = std::make_shared<const Configuration>();
    bool m_isStarted = false;
    bool m_isStopped = false;
    std::set<UpstreamId> m_leavingUpstreams;
    std::deque<HistoryEntry> m_history;

    /// Prepared configurations by digest, newest last.
    std::deque<std::pair<std::string, std::shared_ptr<const Configuration>>> m_candidates;
    std::set<std::shared_ptr<ChangeInProgress>> m_changes;
    /// Hosts that sent the commit of a version which is not in force here yet.
    std::map<HostId, ConfigurationVersion> m_pendingAcknowledgements;

    ConfigurationVersion m_newestVersion;
    std::optional<BootTime> m_outdatedSince;
    std::optional<BootTime> m_lastFetch;
};

const char *changeStatusName(ChangeStatus status)
{
    switch (status) {
    case ChangeStatus::Invalid:
        return "invalid";
    case ChangeStatus::DryRun:
        return "dry-run";
    case ChangeStatus::Accepted:
        return "accepted";
    case ChangeStatus::Pending:
        return "pending";
    case ChangeStatus::Refused:
        return "refused";
    case ChangeStatus::Conflict:
        return "conflict";
    case ChangeStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

ConfigurationService::ConfigurationService(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

ConfigurationService::~ConfigurationService()
{
    m_implementation->stop();
}

Result<std::unique_ptr<ConfigurationService>> ConfigurationService::create(
    boost::asio::io_context &context, ConfigurationServiceSettings settings, HostState &state, TableClient &table, ObjectClient &objects, Sender sender)
{
    if (settings.host.value().empty() || settings.region.value().empty() || settings.zone.value().empty()) {
        return Error{ErrorCode::InvalidInput, "host, region and zone must be set"};
    }
    auto implementation = std::make_shared<Implementation>(context, std::move(settings), state, table, objects, std::move(sender));
    return std::unique_ptr<ConfigurationService>(new ConfigurationService(std::move(implementation)));
}

void ConfigurationService::addListener(Listener listener)
{
    m_implementation->addListener(std::move(listener));
}

void ConfigurationService::start()
{
    m_implementation->start();
}

void ConfigurationService::handle(const HostId &from, const PeerMessage &message)
{
    m_implementation->handle(from, message);
}

void ConfigurationService::recordCommittedVersion(ConfigurationVersion version)
{
    m_implementation->recordCommittedVersion(version);
}

void ConfigurationService::changeConfiguration(
    const std::string &text, std::optional<ConfigurationVersion> baseVersion, const std::string &author, bool dryRun, Callback callback)
{
    m_implementation->changeConfiguration(text, baseVersion, author, dryRun, std::move(callback));
}

void ConfigurationService::setLeavingUpstreams(std::set<UpstreamId> leaving)
{
    m_implementation->setLeavingUpstreams(std::move(leaving));
}

std::shared_ptr<const Configuration> ConfigurationService::configuration() const
{
    return m_implementation->configuration();
}

bool ConfigurationService::isStarted() const
{
    return m_implementation->isStarted();
}

bool ConfigurationService::isCurrent(BootTime now) const
{
    return m_implementation->isCurrent(now);
}

void ConfigurationService::stop()
{
    m_implementation->stop();
}

} // namespace Trefoil
