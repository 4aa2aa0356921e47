#include <LibMembership/reclaimer.h>

#include <algorithm>
#include <random>

namespace Trefoil
{

namespace
{

/// Maximum number of concurrent attempts of each host; a zone of 50 hosts may fail at once.
constexpr std::size_t s_maximumAttempts = 8;
constexpr BootClock::duration s_storeTimeout = std::chrono::seconds(2);
constexpr BootClock::duration s_voteTimeout = std::chrono::seconds(1);
constexpr BootClock::duration s_retryDelay = std::chrono::milliseconds(500);
/// The guardian at index n of the row starts its attempt n times this delay after the first guardian.
constexpr BootClock::duration s_guardianStagger = std::chrono::milliseconds(300);
/// A host whose last confirmed heartbeat is at most this old is responsive; this tolerates the loss of two heartbeats.
constexpr BootClock::duration s_maximumHeartbeatAge = std::chrono::milliseconds(1200);
constexpr int s_maximumFailures = 6;

} // namespace

Reclaimer::Reclaimer(HostId self, GuardianLedger &ledger, MemberOutbox &outbox, pcg32 &random, RemovalHandler removalHandler)
    : m_self(std::move(self))
    , m_ledger(ledger)
    , m_outbox(outbox)
    , m_random(random)
    , m_removalHandler(std::move(removalHandler))
{
}

BootClock::duration Reclaimer::jitter(BootClock::duration maximum)
{
    return BootClock::duration(std::uniform_int_distribution<BootClock::rep>(0, maximum.count())(m_random));
}

Reclaimer::Attempt *Reclaimer::find(const HostId &host, Stage stage)
{
    const auto position = m_attempts.find(host);
    return position == m_attempts.end() || position->second.stage != stage ? nullptr : &position->second;
}

void Reclaimer::suspect(const HostId &host, BootTime now)
{
    if (m_attempts.count(host) != 0 || m_attempts.size() >= s_maximumAttempts) {
        return;
    }
    m_attempts[host].nextStep = now;
    observe(host, now);
}

void Reclaimer::observe(const HostId &host, BootTime now)
{
    Attempt &attempt = m_attempts[host];
    attempt.stage = Stage::Observing;
    attempt.rule.reset();
    m_outbox.read(
        {hostRowKey(host)},
        now + s_storeTimeout,
        [this, host](const std::vector<TableRow> &rows, BootTime then) { rowObserved(host, rows, then); },
        [this, host](BootTime) { m_attempts.erase(host); });
}

void Reclaimer::rowObserved(const HostId &host, const std::vector<TableRow> &rows, BootTime now)
{
    const TableRow *row = findRow(rows, hostRowKey(host));
    const auto value = row == nullptr ? std::nullopt : hostRowFromJson(row->value);
    if (!value) {
        m_attempts.erase(host);
        m_removalHandler(host, now);
        return;
    }
    Attempt &attempt = m_attempts[host];
    attempt.rule.emplace(host, value->epoch, row->version, value->guardians, now);
    attempt.region = value->region;
    attempt.nextStep = now + s_guardianPromiseDuration + startDelay(*attempt.rule);
}

BootClock::duration Reclaimer::startDelay(const ReclaimAttempt &rule)
{
    const auto &guardians = rule.guardians();
    const auto position = std::find(guardians.begin(), guardians.end(), m_self) - guardians.begin();
    return rule.host() == m_self ? BootClock::duration(0) : s_guardianStagger * position + jitter(s_guardianStagger / 2);
}

void Reclaimer::tick(BootTime now)
{
    std::vector<HostId> due;
    for (auto position = m_attempts.begin(); position != m_attempts.end();) {
        const bool drop = position->second.failures > s_maximumFailures || m_ledger.hasConfirmedSince(position->first, now - s_maximumHeartbeatAge);
        if (drop && position->second.stage != Stage::Committing) {
            position = m_attempts.erase(position);
            continue;
        }
        const bool isWaiting = position->second.stage == Stage::Observing || position->second.stage == Stage::Voting;
        if (isWaiting && position->second.rule && now >= position->second.nextStep) {
            due.push_back(position->first);
        }
        ++position;
    }
    for (const HostId &host : due) {
        Attempt &attempt = m_attempts[host];
        attempt.failures += attempt.stage == Stage::Voting ? 1 : 0;
        readVotingRows(host, attempt, now);
    }
}

void Reclaimer::readVotingRows(const HostId &host, Attempt &attempt, BootTime now)
{
    attempt.stage = Stage::Reading;
    std::vector<std::string> keys = {hostRowKey(host), grantsRowKey(attempt.region), grantsVersionRowKey(attempt.region)};
    for (const HostId &guardian : attempt.rule->guardians()) {
        keys.push_back(hostRowKey(guardian));
    }
    m_outbox.read(
        std::move(keys),
        now + s_storeTimeout,
        [this, host](const std::vector<TableRow> &rows, BootTime then) { votingRowsRead(host, rows, then); },
        [this, host](BootTime) { m_attempts.erase(host); });
}

void Reclaimer::votingRowsRead(const HostId &host, const std::vector<TableRow> &rows, BootTime now)
{
    Attempt *attempt = find(host, Stage::Reading);
    if (attempt == nullptr) {
        return;
    }
    const TableRow *row = findRow(rows, hostRowKey(host));
    auto grants = parseGrantRows(rows, attempt->region);
    if (row == nullptr || row->version != attempt->rule->rowVersion() || grants.has_error()) {
        attempt->stage = Stage::Observing;
        rowObserved(host, rows, now);
        return;
    }
    attempt->grants = std::move(grants.value());
    std::map<HostId, std::uint64_t> versions;
    for (const HostId &guardian : attempt->rule->guardians()) {
        if (const TableRow *guardianRow = findRow(rows, hostRowKey(guardian))) {
            versions[guardian] = guardianRow->version;
        }
    }
    attempt->rule->setGuardianRowVersions(std::move(versions));
    requestVotes(*attempt, now);
    commitIfAllowed(host, now);
}

void Reclaimer::requestVotes(Attempt &attempt, BootTime now)
{
    attempt.stage = Stage::Voting;
    attempt.nextStep = now + s_voteTimeout + jitter(s_retryDelay);
    ReclaimAttempt &rule = *attempt.rule;
    for (const HostId &guardian : rule.guardians()) {
        if (guardian == m_self) {
            rule.recordVote(m_self, rule.epoch(), rule.rowVersion(), m_ledger.vote(rule.host(), rule.epoch(), now));
            continue;
        }
        m_outbox.send(guardian, ReclaimVoteRequest{rule.host(), rule.epoch(), rule.rowVersion()});
    }
}

void Reclaimer::voteReceived(const HostId &from, const ReclaimVote &vote, BootTime now)
{
    Attempt *attempt = find(vote.host, Stage::Voting);
    if (attempt == nullptr) {
        return;
    }
    attempt->rule->recordVote(from, vote.epoch, vote.ballot, vote.granted);
    commitIfAllowed(vote.host, now);
}

void Reclaimer::commitIfAllowed(const HostId &host, BootTime now)
{
    Attempt &attempt = m_attempts[host];
    if (!attempt.rule->canCommit(now)) {
        return;
    }
    attempt.stage = Stage::Committing;
    Transaction transaction;
    transaction.conditions.push_back({hostRowKey(host), attempt.rule->rowVersion()});
    for (const auto &[voter, version] : attempt.rule->voters()) {
        transaction.conditions.push_back({hostRowKey(voter), version});
    }
    transaction.deletes.push_back(hostRowKey(host));
    GrantTable table = attempt.grants.table;
    table.reclaim(host);
    addGrantsUpdate(transaction, attempt.region, attempt.grants, table);
    m_outbox.transact(
        std::move(transaction), now + s_storeTimeout, [this, host](const StoreResponse &response, BootTime then) { committed(host, response, then); });
}

void Reclaimer::committed(const HostId &host, const StoreResponse &response, BootTime now)
{
    if (std::holds_alternative<Committed>(response)) {
        m_attempts.erase(host);
        m_removalHandler(host, now);
        return;
    }
    retry(host, now);
}

void Reclaimer::retry(const HostId &host, BootTime now)
{
    Attempt &attempt = m_attempts[host];
    ++attempt.failures;
    // The next attempt reads all rows and requests all votes again. The time for which the row has been observed unchanged
    // still counts.
    attempt.stage = Stage::Observing;
    attempt.nextStep = now + jitter(s_retryDelay);
}

} // namespace Trefoil
