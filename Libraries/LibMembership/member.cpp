#include <LibMembership/member.h>

namespace Trefoil
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootClock::duration s_heartbeatInterval = milliseconds(500);
constexpr BootClock::duration s_storeTimeout = milliseconds(2500);
/// At this interval 1,500 hosts cause 150 writes per second, which leaves most of the store's write rate to claims.
constexpr BootClock::duration s_renewalInterval = seconds(10);
/// A host without confirmations from its guardians has to renew well within the lease of 3 s.
constexpr BootClock::duration s_unconfirmedRenewalInterval = seconds(1);
constexpr BootClock::duration s_slowRenewalInterval = milliseconds(2500);
/// The guardians count as confirming while their last confirmation is younger than this: three heartbeat intervals.
constexpr BootClock::duration s_maximumConfirmationAge = milliseconds(1500);
/// At this interval 1,500 hosts cause 500 reads per second, a quarter of the store's read rate.
constexpr BootClock::duration s_maximumPollInterval = seconds(3);
constexpr BootClock::duration s_minimumPollInterval = seconds(1);
constexpr std::int64_t s_pollsPerSecond = 500;
constexpr BootClock::duration s_guardianRevisionInterval = seconds(2);
/// A host with too few guardians loses its lease when its region is cut off, so it looks for more with every heartbeat.
constexpr BootClock::duration s_incompleteRevisionInterval = s_heartbeatInterval;
/// A guardian that is unresponsive for this long is replaced.
constexpr BootClock::duration s_guardianReplacementTimeout = seconds(10);
/// Time without a heartbeat after which a guardian starts to observe the host's row.
constexpr BootClock::duration s_suspicionTimeout = milliseconds(1500);
/// Ticks come every 100 ms; a gap longer than this means that the process was paused.
constexpr BootClock::duration s_minimumPause = seconds(2);
constexpr BootClock::duration s_checkInterval = seconds(1);
/// Each host watches the row of the next host in its region, in case all guardians of that host are unavailable. Rows
/// are renewed every 10 s.
constexpr BootClock::duration s_watchInterval = seconds(10);
constexpr BootClock::duration s_watchedRowTimeout = seconds(15);
constexpr BootClock::duration s_initialBackoff = milliseconds(50);
constexpr BootClock::duration s_maximumBackoff = seconds(4);

} // namespace

Member::Member(MemberSettings settings, BootTime now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_epoch(m_random())
    , m_proposedEpoch(m_epoch)
    , m_ledger(now)
    , m_directory(m_settings.host, m_settings.region, m_outbox)
    , m_grants(m_settings.host)
    , m_reclaimer(m_settings.host,
          m_ledger,
          m_outbox,
          m_random,
          [this](const HostId &host, BootTime then) {
              m_ledger.recordRemoval(host);
              m_directory.remove(host);
              m_nextPoll = then;
          })
    , m_lastTick(now)
    , m_resumedAt(now)
    , m_joinBackoff(s_initialBackoff, s_maximumBackoff)
    , m_updateBackoff(s_initialBackoff, s_maximumBackoff)
{
    m_nextHeartbeat = now + jitter(s_heartbeatInterval);
    m_nextWatch = now + jitter(s_watchInterval);
}

BootClock::duration Member::jitter(BootClock::duration maximum)
{
    return BootClock::duration(std::uniform_int_distribution<BootClock::rep>(0, maximum.count())(m_random));
}

void Member::setConfiguration(ConfigurationVersion version, std::vector<Resource> resources, BootTime now)
{
    const bool catchesUp = m_configuration < m_headVersion && version >= m_headVersion;
    m_configuration = version;
    if (catchesUp && !isConfirmedByGuardians(now)) {
        m_lastRenewal = BootTime();
    }
    m_grants.setResources(std::move(resources), now);
    m_nextUpdate = now;
}

void Member::setHostList(const std::vector<ListedHost> &hosts, BootTime now)
{
    m_directory.setHostList(hosts, now);
}

std::map<ResourceId, std::int64_t> Member::limits(BootTime now) const
{
    std::map<ResourceId, std::int64_t> limits;
    for (const Resource &resource : m_grants.resources()) {
        limits[resource.id] = m_phase == Phase::Member ? m_grants.limit(resource, now) : 0;
    }
    return limits;
}

void Member::detectPause(BootTime now)
{
    if (now - m_lastTick > s_minimumPause) {
        m_resumedAt = now;
    }
}

bool Member::canAcknowledge() const
{
    // During a pause this process may have been replaced by a new process of the same host, which may have voted; this
    // process has no record of those votes.
    return m_phase != Phase::Absent && m_lease.validUntil() >= m_resumedAt + s_leaseDuration;
}

void Member::tick(BootTime now)
{
    detectPause(now);
    m_lastTick = now;
    m_directory.tick(now);
    checkRows(now);
    for (const HostId &host : m_ledger.unresponsiveSince(now - s_suspicionTimeout)) {
        m_reclaimer.suspect(host, now);
    }
    m_reclaimer.tick(now);
    if (m_phase == Phase::Absent) {
        tickAbsent(now);
        return;
    }
    if (m_phase == Phase::Releasing) {
        releaseAll(now);
        return;
    }
    if (m_phase != Phase::Member) {
        return;
    }
    heartbeat(now);
    reviseGuardians(now);
    renew(now);
    poll(now);
    updateGrants(now);
    watch(now);
}

// Joining

void Member::tickAbsent(BootTime now)
{
    if (m_joining || m_leaving || now < m_nextJoin) {
        return;
    }
    m_joining = true;
    m_outbox.read(
        {hostRowKey(m_settings.host), grantsRowKey(m_settings.region), grantsVersionRowKey(m_settings.region), configurationHeadKey},
        now + s_storeTimeout,
        [this](const std::vector<TableRow> &rows, BootTime then) { joinRowsRead(rows, then); },
        [this](BootTime then) { retryJoin(then); });
}

void Member::retryJoin(BootTime now)
{
    m_joining = false;
    m_nextJoin = now + m_joinBackoff.next(m_random);
}

void Member::joinRowsRead(const std::vector<TableRow> &rows, BootTime now)
{
    recordHead(rows);
    auto present = parseGrantRows(rows, m_settings.region);
    if (present.has_error()) {
        retryJoin(now);
        return;
    }
    const TableRow *own = findRow(rows, hostRowKey(m_settings.host));
    if (own == nullptr) {
        join(present.value(), now);
        return;
    }
    const auto row = hostRowFromJson(own->value);
    if (row && row->incarnation == m_settings.incarnation && row->epoch == m_epoch) {
        // An earlier attempt to join took effect, but its response was lost.
        m_grants.adopt(std::move(present.value()), now);
        becomeMember(own->version, row->guardians, now);
        return;
    }
    // An earlier process of this host may still be running. Its row is reclaimed under the same conditions as that of any
    // other host.
    m_reclaimer.suspect(m_settings.host, now);
    retryJoin(now);
    m_nextJoin = now + milliseconds(500);
}

void Member::join(const GrantRows &present, BootTime now)
{
    std::set<HostId> members = present.table.members();
    members.insert(m_settings.host);
    const GrantTable table = m_grants.joinedTable(present.table, members.size() + m_directory.expectedMemberCount(members, now));
    m_proposedGuardians = chooseGuardians({m_settings.host, m_settings.region, m_settings.zone}, m_directory.candidates());
    Transaction transaction;
    transaction.conditions.push_back({hostRowKey(m_settings.host), 0});
    transaction.puts.push_back({hostRowKey(m_settings.host), toJson(ownRow())});
    addGrantsUpdate(transaction, m_settings.region, present, table);
    m_outbox.transact(
        std::move(transaction), now + s_storeTimeout, [this, table](const StoreResponse &response, BootTime then) { joined(response, table, then); });
}

void Member::joined(const StoreResponse &response, GrantTable table, BootTime now)
{
    const auto *committed = std::get_if<Committed>(&response);
    const auto row = committed == nullptr ? std::map<std::string, RowVersion>::const_iterator() : committed->versions.find(hostRowKey(m_settings.host));
    if (committed == nullptr || row == committed->versions.end()) {
        retryJoin(now);
        return;
    }
    if (auto rows = committedRows(response, std::move(table))) {
        adoptGrants(std::move(*rows), now);
    } else {
        m_nextPoll = now;
    }
    becomeMember(row->second, *m_proposedGuardians, now);
}

void Member::becomeMember(RowVersion version, std::vector<HostId> guardians, BootTime now)
{
    m_joining = false;
    m_joinBackoff.reset();
    m_phase = Phase::Member;
    m_rowVersion = version;
    m_proposedEpoch = m_epoch;
    m_proposedGuardians.reset();
    m_lease.setGuardians(std::move(guardians));
    m_directory.setRegionMembers(m_grants.rows().table.members());
    // The join does not confirm the lease, since it does not prove that the configuration is the newest; a renewal follows
    // at once.
    m_lastRenewal = BootTime();
    m_renewSoon = true;
    m_nextUpdate = now;
    m_nextGuardianRevision = now + jitter(s_incompleteRevisionInterval);
}

void Member::fenced(BootTime now)
{
    m_lease.revoke();
    m_grants.clear();
    m_phase = m_leaving ? Phase::Left : Phase::Absent;
    m_epoch = Epoch(std::max(m_epoch, m_proposedEpoch).value() + 1);
    m_proposedEpoch = m_epoch;
    m_proposedGuardians.reset();
    m_rowVersion = 0;
    m_nextJoin = now + jitter(s_heartbeatInterval);
}

void Member::startLeaving()
{
    m_leaving = true;
    if (m_phase == Phase::Absent) {
        m_phase = Phase::Left;
    }
}

void Member::releaseAll(BootTime now)
{
    if (m_phase == Phase::Left || m_releasing || m_renewing || m_updatingGrants) {
        m_phase = m_phase == Phase::Left ? Phase::Left : Phase::Releasing;
        return;
    }
    m_phase = Phase::Releasing;
    m_lease.revoke();
    if (now < m_nextUpdate) {
        return;
    }
    m_releasing = true;
    Transaction transaction;
    transaction.conditions.push_back({hostRowKey(m_settings.host), m_rowVersion});
    transaction.deletes.push_back(hostRowKey(m_settings.host));
    GrantTable table = m_grants.rows().table;
    table.reclaim(m_settings.host);
    addGrantsUpdate(transaction, m_settings.region, m_grants.rows(), table);
    m_outbox.transact(std::move(transaction), now + s_storeTimeout, [this](const StoreResponse &response, BootTime then) {
        m_releasing = false;
        m_nextUpdate = then + m_updateBackoff.next(m_random);
        if (std::holds_alternative<Committed>(response)) {
            m_phase = Phase::Left;
        } else if (const auto *failed = std::get_if<ConditionFailed>(&response)) {
            adoptOwnRow(failed->rows, then);
            adoptFromConditions(*failed, then);
        }
    });
}

// Heartbeats

void Member::heartbeat(BootTime now)
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = std::max(m_nextHeartbeat + s_heartbeatInterval, now);
    const auto targets = m_lease.heartbeatTargets();
    if (targets.empty()) {
        return;
    }
    m_lease.recordSentHeartbeat(++m_sequence, now);
    const Heartbeat message{m_sequence, m_settings.incarnation, m_epoch, m_configuration, m_settings.freeSlots(), m_leaving};
    for (const HostId &guardian : targets) {
        m_lastGuardianResponse.emplace(guardian, now);
        m_outbox.send(guardian, message);
    }
}

void Member::receive(const HostId &from, const PeerMessage &message, BootTime now)
{
    detectPause(now);
    m_lastTick = std::max(m_lastTick, now);
    if (const auto *heartbeatMessage = std::get_if<Heartbeat>(&message)) {
        heartbeatReceived(from, *heartbeatMessage, now);
    } else if (const auto *acknowledgement = std::get_if<HeartbeatAck>(&message)) {
        acknowledgementReceived(from, *acknowledgement, now);
    } else if (const auto *request = std::get_if<ReclaimVoteRequest>(&message)) {
        const bool granted = m_ledger.vote(request->host, request->epoch, now);
        m_outbox.send(from, ReclaimVote{request->host, request->epoch, request->ballot, granted});
    } else if (const auto *vote = std::get_if<ReclaimVote>(&message)) {
        m_reclaimer.voteReceived(from, *vote, now);
    }
}

void Member::handleStoreResponse(std::uint64_t id, const StoreResponse &response, BootTime now)
{
    detectPause(now);
    m_lastTick = std::max(m_lastTick, now);
    m_outbox.handleResponse(id, response, now);
}

void Member::acknowledge(const HostId &to, const Heartbeat &heartbeat, bool confirmed)
{
    m_outbox.send(to, HeartbeatAck{heartbeat.sequence, heartbeat.epoch, m_configuration, confirmed});
}

void Member::heartbeatReceived(const HostId &from, const Heartbeat &heartbeat, BootTime now)
{
    m_directory.recordHeartbeat(from, heartbeat);
    if (!canAcknowledge()) {
        return;
    }
    switch (m_ledger.acknowledge(from, heartbeat.epoch, now)) {
    case Acknowledgement::Confirmed:
        acknowledge(from, heartbeat, true);
        return;
    case Acknowledgement::Rejected:
        acknowledge(from, heartbeat, false);
        return;
    case Acknowledgement::RowCheckRequired:
        m_uncheckedHeartbeats[from] = heartbeat;
        return;
    }
}

void Member::checkRows(BootTime now)
{
    if (m_isCheckingRows || !canAcknowledge()) {
        return;
    }
    std::map<HostId, Heartbeat> checked;
    std::vector<std::string> keys;
    for (auto position = m_uncheckedHeartbeats.begin(); position != m_uncheckedHeartbeats.end();) {
        BootTime &nextCheck = m_nextCheck[position->first];
        if (now < nextCheck) {
            ++position;
            continue;
        }
        nextCheck = now + s_checkInterval;
        keys.push_back(hostRowKey(position->first));
        checked.insert(*position);
        position = m_uncheckedHeartbeats.erase(position);
    }
    if (keys.empty()) {
        return;
    }
    m_isCheckingRows = true;
    m_outbox.readConsistently(
        keys,
        now + s_storeTimeout,
        [this, checked](const std::vector<TableRow> &rows, BootTime) {
            m_isCheckingRows = false;
            m_directory.recordRows(rows);
            for (const auto &[host, message] : checked) {
                const TableRow *row = findRow(rows, hostRowKey(host));
                const auto value = row == nullptr ? std::nullopt : hostRowFromJson(row->value);
                m_ledger.recordRowEpoch(host, value ? std::optional<Epoch>(value->epoch) : std::nullopt);
                if (!value || value->epoch != message.epoch) {
                    acknowledge(host, message, false);
                }
            }
        },
        [this](BootTime) { m_isCheckingRows = false; });
}

void Member::acknowledgementReceived(const HostId &from, const HeartbeatAck &acknowledgement, BootTime now)
{
    m_lastGuardianResponse[from] = now;
    if (m_phase != Phase::Member || acknowledgement.epoch != m_epoch) {
        return;
    }
    if (acknowledgement.confirmed) {
        m_lease.recordAcknowledgement(from, acknowledgement.sequence);
        return;
    }
    // The guardian voted against this epoch, or found no row of this host or a row with another epoch. A renewal with the
    // next epoch invalidates the votes, or fails and shows that this host was fenced.
    m_proposedEpoch = Epoch(m_epoch.value() + 1);
    m_renewSoon = true;
}

void Member::reviseGuardians(BootTime now)
{
    if (now < m_nextGuardianRevision || m_proposedGuardians) {
        return;
    }
    m_nextGuardianRevision = now + (m_lease.guardians().size() < s_targetGuardianCount ? s_incompleteRevisionInterval : s_guardianRevisionInterval);
    std::vector<HostId> responsive;
    for (const HostId &guardian : m_lease.guardians()) {
        const auto lastResponse = m_lastGuardianResponse.find(guardian);
        if (lastResponse == m_lastGuardianResponse.end() || now - lastResponse->second < s_guardianReplacementTimeout) {
            responsive.push_back(guardian);
        }
    }
    std::vector<GuardianCandidate> candidates;
    for (const GuardianCandidate &candidate : m_directory.candidates()) {
        const auto lastResponse = m_lastGuardianResponse.find(candidate.id);
        if (lastResponse == m_lastGuardianResponse.end() || now - lastResponse->second < s_guardianReplacementTimeout
            || now - lastResponse->second > 6 * s_guardianReplacementTimeout) {
            candidates.push_back(candidate);
        }
    }
    auto chosen = chooseGuardians({m_settings.host, m_settings.region, m_settings.zone}, candidates, responsive);
    const std::set<HostId> before(m_lease.guardians().begin(), m_lease.guardians().end());
    if (std::set<HostId>(chosen.begin(), chosen.end()) == before) {
        return;
    }
    m_lease.proposeGuardians(chosen);
    m_proposedGuardians = std::move(chosen);
    m_renewSoon = true;
}

// Renewal in the store

HostRow Member::ownRow() const
{
    return {m_settings.region,
        m_settings.zone,
        m_settings.callerAddress,
        m_settings.peerAddress,
        m_settings.incarnation,
        m_proposedEpoch,
        m_proposedGuardians ? *m_proposedGuardians : m_lease.guardians(),
        m_leaving};
}

bool Member::isConfirmedByGuardians(BootTime now) const
{
    return now - m_lease.lastGuardianConfirmation() < s_maximumConfirmationAge;
}

BootClock::duration Member::renewalInterval(BootTime now)
{
    if (m_renewSoon && m_proposedGuardians && m_lease.guardians().size() < s_targetGuardianCount) {
        return s_incompleteRevisionInterval;
    }
    if (isConfirmedByGuardians(now)) {
        return m_renewSoon || m_leaving != m_leavingWritten ? s_unconfirmedRenewalInterval : s_renewalInterval - m_renewalJitter;
    }
    return m_renewalIsSlow ? s_slowRenewalInterval : s_unconfirmedRenewalInterval;
}

void Member::renew(BootTime now)
{
    if (m_renewing || now < m_lastRenewal + renewalInterval(now)) {
        return;
    }
    m_renewing = true;
    m_renewSoon = false;
    m_lastRenewal = now;
    m_renewalJitter = jitter(s_renewalInterval / 10);
    const HostRow row = ownRow();
    Transaction transaction;
    transaction.conditions.push_back({hostRowKey(m_settings.host), m_rowVersion});
    transaction.puts.push_back({hostRowKey(m_settings.host), toJson(row)});
    // A host that is not confirmed by its guardians may receive no configuration changes. Its renewals extend the lease only
    // if they also prove that the configuration in force is the newest in the store. Other renewals omit this condition,
    // since with it they would fail once for each change without need.
    const bool provesConfiguration = !isConfirmedByGuardians(now) && m_headVersion <= m_configuration;
    if (provesConfiguration) {
        transaction.conditions.push_back({configurationHeadKey, m_headRowVersion});
    }
    m_outbox.transact(
        std::move(transaction), now + s_storeTimeout, [this, row, provesConfiguration, sentAt = now](const StoreResponse &response, BootTime then) {
            renewed(response, row, provesConfiguration, sentAt, then);
        });
}

void Member::renewed(const StoreResponse &response, const HostRow &row, bool provesConfiguration, BootTime sentAt, BootTime now)
{
    m_renewing = false;
    m_renewalIsSlow = now - sentAt > s_unconfirmedRenewalInterval;
    if (m_phase != Phase::Member && m_phase != Phase::Releasing) {
        return;
    }
    if (const auto *failed = std::get_if<ConditionFailed>(&response)) {
        if (recordHead(failed->rows)) {
            m_lastRenewal = BootTime();
        }
        adoptOwnRow(failed->rows, now);
        return;
    }
    const auto *committed = std::get_if<Committed>(&response);
    const auto version = committed == nullptr ? std::map<std::string, RowVersion>::const_iterator() : committed->versions.find(hostRowKey(m_settings.host));
    if (committed == nullptr || version == committed->versions.end()) {
        m_renewSoon = true;
        return;
    }
    m_rowVersion = version->second;
    if (m_phase == Phase::Member && provesConfiguration) {
        m_lease.recordRenewal(sentAt);
    }
    m_leavingWritten = row.leaving;
    if (row.epoch != m_epoch) {
        m_epoch = row.epoch;
        m_lease.discardHeartbeats();
    }
    if (m_proposedGuardians && row.guardians == *m_proposedGuardians) {
        m_lease.setGuardians(row.guardians);
        m_proposedGuardians.reset();
    }
}

bool Member::recordHead(const std::vector<TableRow> &rows)
{
    const TableRow *head = findRow(rows, configurationHeadKey);
    // Plain reads of the store may return an earlier version of the row.
    if (head == nullptr || head->version <= m_headRowVersion) {
        return false;
    }
    m_headRowVersion = head->version;
    if (head->value.is_object() && head->value.contains("version") && head->value["version"].is_number_unsigned()) {
        m_headVersion = ConfigurationVersion(head->value["version"].get<std::uint64_t>());
    }
    return true;
}

void Member::adoptOwnRow(const std::vector<TableRow> &rows, BootTime now)
{
    const TableRow *own = findRow(rows, hostRowKey(m_settings.host));
    if (own == nullptr) {
        return;
    }
    const auto row = hostRowFromJson(own->value);
    const bool isOwn = own->version != 0 && row && row->incarnation == m_settings.incarnation && (row->epoch == m_epoch || row->epoch == m_proposedEpoch);
    if (!isOwn) {
        fenced(now);
        return;
    }
    // A renewal took effect, but its response was lost. It does not confirm the lease, since its sending time is unknown.
    m_rowVersion = own->version;
    if (row->epoch != m_epoch) {
        m_epoch = row->epoch;
        m_lease.discardHeartbeats();
    }
    m_proposedEpoch = m_epoch;
    m_lease.setGuardians(row->guardians);
    m_proposedGuardians.reset();
    m_renewSoon = true;
}

// Grants

std::size_t Member::sharingHostCount(BootTime now) const
{
    const auto &members = m_grants.rows().table.members();
    return std::max<std::size_t>(1, members.size() + m_directory.expectedMemberCount(members, now));
}

std::optional<GrantRows> Member::committedRows(const StoreResponse &response, GrantTable table) const
{
    const auto *committed = std::get_if<Committed>(&response);
    if (committed == nullptr) {
        return std::nullopt;
    }
    const auto grants = committed->versions.find(grantsRowKey(m_settings.region));
    const auto version = committed->versions.find(grantsVersionRowKey(m_settings.region));
    if (grants == committed->versions.end() || version == committed->versions.end()) {
        return std::nullopt;
    }
    return GrantRows{std::move(table), grants->second, version->second};
}

void Member::poll(BootTime now)
{
    if (m_polling || now < m_nextPoll) {
        return;
    }
    m_polling = true;
    const auto hosts = static_cast<std::int64_t>(m_directory.peers().size()) + 1;
    const BootClock::duration interval = std::clamp<BootClock::duration>(seconds(hosts) / s_pollsPerSecond, s_minimumPollInterval, s_maximumPollInterval);
    m_nextPoll = now + interval - jitter(interval / 5);
    m_outbox.read(
        {grantsVersionRowKey(m_settings.region), configurationHeadKey},
        now + s_storeTimeout,
        [this](const std::vector<TableRow> &rows, BootTime then) {
            m_polling = false;
            recordHead(rows);
            const TableRow *row = findRow(rows, grantsVersionRowKey(m_settings.region));
            if (row != nullptr && row->version > m_grants.rows().versionRowVersion) {
                readGrants(then);
            }
        },
        [this](BootTime) { m_polling = false; });
}

void Member::readGrants(BootTime now)
{
    m_polling = true;
    m_outbox.read(
        {grantsRowKey(m_settings.region), grantsVersionRowKey(m_settings.region)},
        now + s_storeTimeout,
        [this](const std::vector<TableRow> &rows, BootTime then) {
            m_polling = false;
            if (auto read = parseGrantRows(rows, m_settings.region)) {
                adoptGrants(std::move(read.value()), then);
            }
        },
        [this](BootTime) { m_polling = false; });
}

void Member::adoptGrants(GrantRows rows, BootTime now)
{
    const bool isNewer = rows.grantsVersion > m_grants.rows().grantsVersion;
    m_grants.adopt(std::move(rows), now);
    if (!isNewer) {
        return;
    }
    m_directory.setRegionMembers(m_grants.rows().table.members());
    m_nextUpdate = std::min(m_nextUpdate, now + jitter(s_initialBackoff));
    if (m_phase == Phase::Member && m_grants.rows().table.members().count(m_settings.host) == 0) {
        fenced(now);
    }
}

void Member::updateGrants(BootTime now)
{
    const bool canSend = m_phase == Phase::Member && now < m_lease.validUntil() && m_grants.rows().table.members().count(m_settings.host) != 0;
    if (m_updatingGrants || m_leaving || !canSend || now < m_nextUpdate) {
        return;
    }
    auto table = m_grants.nextTable(sharingHostCount(now), m_settings.usage);
    if (!table) {
        m_nextUpdate = now + s_heartbeatInterval;
        return;
    }
    m_updatingGrants = true;
    Transaction transaction;
    addGrantsUpdate(transaction, m_settings.region, m_grants.rows(), *table);
    m_outbox.transact(std::move(transaction), now + s_storeTimeout, [this, table = *table](const StoreResponse &response, BootTime then) {
        grantsUpdated(response, table, then);
    });
}

void Member::grantsUpdated(const StoreResponse &response, GrantTable table, BootTime now)
{
    m_updatingGrants = false;
    if (m_phase != Phase::Member) {
        return;
    }
    if (auto rows = committedRows(response, std::move(table))) {
        m_updateBackoff.reset();
        m_nextUpdate = now + s_heartbeatInterval;
        adoptGrants(std::move(*rows), now);
        return;
    }
    m_nextUpdate = now + m_updateBackoff.next(m_random);
    if (std::holds_alternative<Ambiguous>(response)) {
        m_grants.recordAmbiguousUpdate();
    }
    const auto *failed = std::get_if<ConditionFailed>(&response);
    if (failed == nullptr || !adoptFromConditions(*failed, now)) {
        m_nextPoll = now;
    }
}

bool Member::adoptFromConditions(const ConditionFailed &failed, BootTime now)
{
    if (findRow(failed.rows, grantsRowKey(m_settings.region)) == nullptr) {
        return false;
    }
    auto rows = parseGrantRows(failed.rows, m_settings.region);
    if (rows.has_error()) {
        return false;
    }
    adoptGrants(std::move(rows.value()), now);
    return true;
}

// Watching the next host of the region

void Member::watch(BootTime now)
{
    const auto &members = m_grants.rows().table.members();
    if (now < m_nextWatch || members.size() < 2) {
        return;
    }
    m_nextWatch = now + s_watchInterval - jitter(s_watchInterval / 10);
    auto next = members.upper_bound(m_settings.host);
    next = next == members.end() ? members.begin() : next;
    if (*next != m_watched) {
        m_watched = *next;
        m_watchedVersion = 0;
    }
    m_outbox.read(
        {hostRowKey(m_watched)},
        now + s_storeTimeout,
        [this, host = m_watched](const std::vector<TableRow> &rows, BootTime then) { watchedRowRead(host, rows, then); },
        [](BootTime) {});
}

void Member::watchedRowRead(const HostId &host, const std::vector<TableRow> &rows, BootTime now)
{
    const TableRow *row = findRow(rows, hostRowKey(host));
    if (row == nullptr || host != m_watched) {
        return;
    }
    if (row->version != m_watchedVersion) {
        m_watchedVersion = row->version;
        m_watchedSince = now;
        return;
    }
    if (now - m_watchedSince >= s_watchedRowTimeout) {
        m_reclaimer.suspect(host, now);
    }
}

} // namespace Trefoil
