#include <Services/trefoilmountd/claimwriter.h>

#include <LibTelemetry/log.h>
#include <Services/trefoilmountd/coroutine.h>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t s_claimsPerBatch = 64;
/// A claim waits for earlier batches, each of which waits for the host's write rate limit; with a single batch in flight, one
/// lost response would delay all claims.
constexpr int s_concurrentBatches = 2;
/// Claims that arrive within this time share a transaction.
constexpr std::chrono::milliseconds s_batchDelay{2};
/// Outcomes wait longer to share a transaction: no caller waits for them, and claims need the host's write rate more.
constexpr std::chrono::milliseconds s_outcomeBatchDelay{250};
/// Further claims end as unavailable immediately.
constexpr std::size_t s_maximumWaitingClaims = 10000;
/// Beyond this the oldest outcome is dropped; its claim then reads "unknown".
constexpr std::size_t s_maximumPendingOutcomes = 10000;
constexpr std::size_t s_outcomesPerWrite = 64;
constexpr std::chrono::milliseconds s_outcomeRetryDelay{500};
constexpr std::chrono::seconds s_outcomeTimeout{5};
constexpr std::size_t s_expiredPageSize = 100;

} // namespace

ClaimWriter::ClaimWriter(asio::io_context &context, TableClient &table)
    : m_context(context)
    , m_table(table)
{
}

void ClaimWriter::claim(PendingClaim claim, Complete complete)
{
    if (m_waiting.size() >= s_maximumWaitingClaims) {
        complete(ClaimUnavailable{});
        return;
    }
    m_waiting.push_back({std::move(claim), std::move(complete)});
    startBatch();
}

void ClaimWriter::startBatch()
{
    if (m_waiting.empty() || m_batches >= s_concurrentBatches) {
        return;
    }
    ++m_batches;
    startCoroutine(m_context, [self = shared_from_this()](const asio::yield_context &yield) {
        self->wait(s_batchDelay, yield);
        self->runBatch(yield);
        --self->m_batches;
        self->startBatch();
    });
}

std::vector<PendingClaim> ClaimWriter::takeBatch()
{
    std::vector<PendingClaim> claims;
    std::deque<Waiting> postponed;
    while (!m_waiting.empty() && claims.size() < s_claimsPerBatch) {
        Waiting waiting = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (BootClock::now() >= waiting.claim.deadline) {
            waiting.complete(ClaimUnavailable{});
            continue;
        }
        if (!m_rowsInBatches.insert(rowKeyOf(waiting.claim.key)).second) {
            postponed.push_back(std::move(waiting));
            continue;
        }
        m_completionsByClaim.emplace(waiting.claim.claimId, std::move(waiting.complete));
        claims.push_back(std::move(waiting.claim));
    }
    std::move(postponed.begin(), postponed.end(), std::back_inserter(m_waiting));
    return claims;
}

void ClaimWriter::runBatch(const asio::yield_context &yield)
{
    std::vector<PendingClaim> claims = takeBatch();
    if (claims.empty()) {
        return;
    }
    ClaimBatch batch(std::move(claims));
    while (!batch.remaining().empty()) {
        const auto &remaining = batch.remaining();
        const auto earliest =
            std::min_element(remaining.begin(), remaining.end(), [](const PendingClaim &a, const PendingClaim &b) { return a.deadline < b.deadline; });
        const TransactResult result = m_table.transact(batch.transaction(), earliest->deadline, yield);
        for (auto &decision : batch.apply(result, BootClock::now(), std::chrono::system_clock::now())) {
            completeClaim(std::move(decision));
        }
    }
}

void ClaimWriter::completeClaim(ClaimDecision decision)
{
    const std::string rowKey = rowKeyOf(decision.claim.key);
    m_rowsInBatches.erase(rowKey);
    auto node = m_completionsByClaim.extract(decision.claim.claimId);
    if (std::holds_alternative<ClaimGranted>(decision.result)) {
        if (BootClock::now() >= decision.claim.deadline) {
            // The claim was confirmed too late to be used; the request ends as not-run, so the claim's row is deleted.
            decision.result = ClaimUnavailable{};
            enqueue({rowKey, decision.claim.claimId, std::nullopt, decision.version});
        } else {
            m_versions[decision.claim.claimId] = decision.version;
        }
    } else if (std::holds_alternative<ClaimUnavailable>(decision.result) && decision.claim.mayExist) {
        enqueue({rowKey, decision.claim.claimId, std::nullopt, 0});
    }
    node.mapped()(std::move(decision.result));
}

void ClaimWriter::recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response)
{
    ClaimRow row{claimId, std::chrono::system_clock::now(), std::nullopt, false};
    if (response.body.size() <= s_largestStoredBody) {
        row.response = std::move(response);
    } else {
        row.responseTooLarge = true;
    }
    const auto version = m_versions.extract(claimId);
    enqueue({rowKeyOf(key), claimId, std::move(row), version.empty() ? 0 : version.mapped()});
}

void ClaimWriter::release(const ClaimKey &key, const std::string &claimId)
{
    const auto version = m_versions.extract(claimId);
    enqueue({rowKeyOf(key), claimId, std::nullopt, version.empty() ? 0 : version.mapped()});
}

void ClaimWriter::enqueue(Outcome outcome)
{
    if (m_outcomes.size() >= s_maximumPendingOutcomes) {
        writeLog(LogLevel::Warning, "claim-outcome-dropped", {{"claim", m_outcomes.front().claimId}});
        m_outcomes.pop_front();
    }
    m_outcomes.push_back(std::move(outcome));
    if (m_writesOutcomes) {
        return;
    }
    m_writesOutcomes = true;
    startCoroutine(m_context, [self = shared_from_this()](const asio::yield_context &yield) {
        self->runOutcomes(yield);
        self->m_writesOutcomes = false;
    });
}

void ClaimWriter::runOutcomes(const asio::yield_context &yield)
{
    while (!m_outcomes.empty()) {
        wait(s_outcomeBatchDelay, yield);
        std::vector<Outcome> outcomes;
        while (!m_outcomes.empty() && outcomes.size() < s_outcomesPerWrite) {
            outcomes.push_back(std::move(m_outcomes.front()));
            m_outcomes.pop_front();
        }
        while (!writeOutcomes(outcomes, yield)) {
            wait(s_outcomeRetryDelay, yield);
        }
    }
}

bool ClaimWriter::writeOutcomes(std::vector<Outcome> &outcomes, const asio::yield_context &yield)
{
    if (!refreshVersions(outcomes, yield)) {
        return false;
    }
    if (outcomes.empty()) {
        return true;
    }
    Transaction transaction;
    for (const auto &outcome : outcomes) {
        transaction.conditions.push_back({outcome.rowKey, outcome.version});
        if (outcome.row) {
            transaction.puts.push_back({outcome.rowKey, toJson(*outcome.row)});
        } else {
            transaction.deletes.push_back(outcome.rowKey);
        }
    }
    const TransactResult result = m_table.transact(transaction, BootClock::now() + s_outcomeTimeout, yield);
    if (std::holds_alternative<Committed>(result)) {
        return true;
    }
    // Versions are read again, because an attempt without a response may have taken effect.
    for (auto &outcome : outcomes) {
        outcome.version = 0;
    }
    return false;
}

bool ClaimWriter::refreshVersions(std::vector<Outcome> &outcomes, const asio::yield_context &yield)
{
    std::vector<std::string> unknown;
    for (const auto &outcome : outcomes) {
        if (outcome.version == 0) {
            unknown.push_back(outcome.rowKey);
        }
    }
    if (unknown.empty()) {
        return true;
    }
    const RowsResult result = m_table.read(unknown, BootClock::now() + s_outcomeTimeout, yield);
    const auto *rows = std::get_if<std::vector<TableRow>>(&result);
    if (!rows) {
        return false;
    }
    for (auto &outcome : outcomes) {
        for (const auto &row : *rows) {
            const auto claim = claimRowFromJson(row.value);
            const bool isOpenAndOwn = claim && claim->claimId == outcome.claimId && !claim->response && !claim->responseTooLarge;
            if (outcome.version == 0 && row.key == outcome.rowKey && isOpenAndOwn) {
                outcome.version = row.version;
            }
        }
    }
    // Rows that were deleted, already hold their outcome or belong to another attempt need no write.
    const auto isDone = [](const Outcome &outcome) { return outcome.version == 0; };
    outcomes.erase(std::remove_if(outcomes.begin(), outcomes.end(), isDone), outcomes.end());
    return true;
}

void ClaimWriter::deleteExpired(const ServiceId &service, const TenantId &tenant)
{
    const std::string prefix = fmt::format("claims/{}/{}/", service.value(), tenant.value());
    startCoroutine(m_context, [self = shared_from_this(), prefix](const asio::yield_context &yield) { self->deletePage(prefix, yield); });
}

void ClaimWriter::deletePage(const std::string &prefix, const asio::yield_context &yield)
{
    const BootTime deadline = BootClock::now() + s_outcomeTimeout;
    const RowsResult result = m_table.scan(prefix, s_expiredPageSize, deadline, yield);
    const auto *rows = std::get_if<std::vector<TableRow>>(&result);
    if (!rows) {
        return;
    }
    const WallTime now = std::chrono::system_clock::now();
    Transaction transaction;
    for (const auto &row : *rows) {
        if (!mayDeleteClaim(RequestKey(row.key.substr(prefix.size())), now)) {
            continue;
        }
        transaction.conditions.push_back({row.key, row.version});
        transaction.deletes.push_back(row.key);
    }
    if (!transaction.deletes.empty()) {
        m_table.transact(transaction, deadline, yield);
    }
}

void ClaimWriter::wait(std::chrono::milliseconds time, const asio::yield_context &yield)
{
    asio::steady_timer timer(m_context, time);
    timer.async_wait(yield);
}

} // namespace Trefoil
