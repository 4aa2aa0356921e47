#include <LibIdempotency/claimbatch.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>

using namespace Trefoil;

namespace
{

const ClaimKey s_key{ServiceId("seedhall"), TenantId("meet"), RequestKey("1800000000-final")};
constexpr int s_seeds = 3000;
constexpr int s_attempts = 5;
constexpr int s_steps = 200;

/// A table service that commits, refuses, loses responses, and lets lost requests take effect later.
class FakeTable
{
public:
    explicit FakeTable(pcg32 &random)
        : m_random(random)
    {
    }

    TransactResult transact(const Transaction &transaction)
    {
        switch (m_random(4)) {
        case 0:
            return Unavailable{"down"};
        case 1:
            m_delayed.push_back(transaction);
            return Ambiguous{"no response"};
        case 2:
            commit(transaction);
            return Ambiguous{"response lost"};
        default:
            return commit(transaction);
        }
    }

    /// Lets one delayed transaction take effect.
    void deliverDelayed()
    {
        if (m_delayed.empty()) {
            return;
        }
        commit(m_delayed.back());
        m_delayed.pop_back();
    }

    const TableRow *find(const std::string &key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? nullptr : &row->second;
    }

private:
    TransactResult commit(const Transaction &transaction)
    {
        ConditionFailed failed;
        for (const auto &condition : transaction.conditions) {
            const TableRow *row = find(condition.key);
            const RowVersion version = row ? row->version : 0;
            if (version != condition.version) {
                failed.rows.push_back(row ? *row : TableRow{condition.key, 0, {}});
            }
        }
        if (!failed.rows.empty()) {
            return failed;
        }
        Committed committed;
        for (const auto &put : transaction.puts) {
            m_rows[put.key] = {put.key, ++m_lastVersion, put.value};
            committed.versions[put.key] = m_lastVersion;
        }
        for (const auto &key : transaction.deletes) {
            m_rows.erase(key);
        }
        return committed;
    }

    pcg32 &m_random;
    std::map<std::string, TableRow> m_rows;
    std::vector<Transaction> m_delayed;
    RowVersion m_lastVersion = 0;
};

/// One attempt at a host: claims, sends once when granted, then records the response or deletes the claim.
struct Attempt
{
    std::unique_ptr<ClaimBatch> batch;
    ClaimDecision decision;
    bool isDecided = false;
    bool isDone = false;
};

/// Sends under a granted claim and cleans up afterwards, with a crash possible at each point. Returns how often it ran.
int finish(Attempt &attempt, FakeTable &table, pcg32 &random)
{
    attempt.isDone = true;
    const std::string rowKey = rowKeyOf(attempt.decision.claim.key);
    Transaction change;
    change.conditions.push_back({rowKey, attempt.decision.version});
    if (std::holds_alternative<ClaimUnavailable>(attempt.decision.result)) {
        const TableRow *row = table.find(rowKey);
        if (row && attempt.decision.claim.mayExist && row->value["claim"] == attempt.decision.claim.claimId && random(2) == 0) {
            change.conditions.front().version = row->version;
            change.deletes.push_back(rowKey);
            table.transact(change);
        }
        return 0;
    }
    if (!std::holds_alternative<ClaimGranted>(attempt.decision.result)) {
        return 0;
    }
    const bool ran = random(3) != 0;
    if (random(4) == 0) {
        return ran ? 1 : 0;
    }
    if (ran) {
        change.puts.push_back({rowKey, toJson(ClaimRow{attempt.decision.claim.claimId, WallTime{}, StoredResponse{200, "", "ok"}, false})});
    } else {
        change.deletes.push_back(rowKey);
    }
    table.transact(change);
    return ran ? 1 : 0;
}

int runSeed(std::uint64_t seed)
{
    pcg32 random(seed);
    FakeTable table(random);
    std::vector<Attempt> attempts(s_attempts);
    for (int i = 0; i < s_attempts; ++i) {
        const PendingClaim claim{s_key, "host/" + std::to_string(i), BootTime(std::chrono::seconds(20 + i * 10)), WallTime{}, false};
        attempts[static_cast<std::size_t>(i)].batch = std::make_unique<ClaimBatch>(std::vector<PendingClaim>{claim});
    }
    int runs = 0;
    for (int step = 0; step < s_steps; ++step) {
        Attempt &attempt = attempts[random(s_attempts)];
        if (random(3) == 0) {
            table.deliverDelayed();
        }
        if (attempt.isDone) {
            continue;
        }
        if (attempt.isDecided) {
            runs += finish(attempt, table, random);
            continue;
        }
        const auto result = table.transact(attempt.batch->transaction());
        for (auto &decision : attempt.batch->apply(result, BootTime(std::chrono::seconds(step)), WallTime{})) {
            attempt.decision = std::move(decision);
            attempt.isDecided = true;
        }
    }
    return runs;
}

} // namespace

// Guards against a second run of a request under parallel attempts, crashes, lost responses and delayed writes (P5).
Test(ClaimBatch, runsAtMostOnce)
{
    int seedsWithRun = 0;
    for (int seed = 1; seed <= s_seeds; ++seed) {
        const int runs = runSeed(static_cast<std::uint64_t>(seed));
        cr_assert_leq(runs, 1, "seed %d ran %d times", seed, runs);
        seedsWithRun += runs;
    }
    // The property is empty when nothing ever runs.
    cr_assert_gt(seedsWithRun, s_seeds / 2);
}

// Guards against one taken key that keeps the other keys of its batch from their claims.
Test(ClaimBatch, otherKeysGoOn)
{
    const PendingClaim taken{s_key, "host/1", BootTime(std::chrono::seconds(5)), WallTime{}, false};
    PendingClaim fresh = taken;
    fresh.key.key = RequestKey("1800000000-heat");
    fresh.claimId = "host/2";
    ClaimBatch batch({taken, fresh});
    const auto row = toJson(ClaimRow{"other/1", WallTime(std::chrono::seconds(1)), std::nullopt, false});
    const auto decisions = batch.apply(ConditionFailed{{{rowKeyOf(s_key), 4, row}}}, BootTime{}, WallTime{});
    cr_assert_eq(decisions.size(), 1);
    cr_assert(std::holds_alternative<ClaimRunning>(decisions.front().result));
    cr_assert_eq(batch.remaining().size(), 1);
    cr_assert_eq(batch.transaction().puts.front().key, rowKeyOf(fresh.key));
}
