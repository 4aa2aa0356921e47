#include <LibIdempotency/claimbatch.h>

#include <cassert>
#include <map>
#include <utility>

namespace Trefoil
{

ClaimBatch::ClaimBatch(std::vector<PendingClaim> claims)
    : m_remaining(std::move(claims))
{
    assert(!m_remaining.empty());
}

Transaction ClaimBatch::transaction() const
{
    Transaction transaction;
    for (const auto &claim : m_remaining) {
        const std::string rowKey = rowKeyOf(claim.key);
        transaction.conditions.push_back({rowKey, 0});
        transaction.puts.push_back({rowKey, toJson(ClaimRow{claim.claimId, claim.wallDeadline, {}, false})});
    }
    return transaction;
}

std::vector<ClaimDecision> ClaimBatch::apply(const TransactResult &result, BootTime now, WallTime wallNow)
{
    if (const auto *committed = std::get_if<Committed>(&result)) {
        return applyCommitted(*committed);
    }
    if (const auto *failed = std::get_if<ConditionFailed>(&result)) {
        return applyConditionFailed(*failed, wallNow);
    }
    if (std::holds_alternative<Ambiguous>(result)) {
        for (auto &claim : m_remaining) {
            claim.mayExist = true;
        }
    }
    return endLateClaims(now);
}

std::vector<ClaimDecision> ClaimBatch::applyCommitted(const Committed &committed)
{
    std::vector<ClaimDecision> decisions;
    for (auto &claim : m_remaining) {
        const auto version = committed.versions.find(rowKeyOf(claim.key));
        const ClaimGranted granted{claim.claimId};
        decisions.push_back({std::move(claim), granted, version == committed.versions.end() ? 0 : version->second});
    }
    m_remaining.clear();
    return decisions;
}

std::vector<ClaimDecision> ClaimBatch::applyConditionFailed(const ConditionFailed &failed, WallTime wallNow)
{
    std::map<std::string, const TableRow *> rows;
    for (const auto &row : failed.rows) {
        rows.emplace(row.key, &row);
    }
    std::vector<ClaimDecision> decisions;
    std::vector<PendingClaim> remaining;
    for (auto &claim : m_remaining) {
        const auto row = rows.find(rowKeyOf(claim.key));
        if (row == rows.end() || row->second->version == 0) {
            remaining.push_back(std::move(claim));
            continue;
        }
        // The row holds this attempt's own claim when an earlier transaction took effect and its response was lost.
        ClaimResult result = interpretClaim(row->second->value, claim.claimId, wallNow);
        decisions.push_back({std::move(claim), std::move(result), row->second->version});
    }
    m_remaining = std::move(remaining);
    return decisions;
}

std::vector<ClaimDecision> ClaimBatch::endLateClaims(BootTime now)
{
    std::vector<ClaimDecision> decisions;
    std::vector<PendingClaim> remaining;
    for (auto &claim : m_remaining) {
        if (now < claim.deadline) {
            remaining.push_back(std::move(claim));
            continue;
        }
        decisions.push_back({std::move(claim), ClaimUnavailable{}, 0});
    }
    m_remaining = std::move(remaining);
    return decisions;
}

} // namespace Trefoil
