#pragma once

#include <LibIdempotency/claimrow.h>
#include <LibStore/tableclient.h>

#include <vector>

namespace Trefoil
{

/// An attempt that waits for its claim.
struct PendingClaim
{
    ClaimKey key;
    std::string claimId;
    BootTime deadline;
    /// The same moment on the wall clock, for the row.
    WallTime wallDeadline;
    /// A transaction with this claim may have taken effect, or may still do so.
    bool mayExist = false;
};

/// How an attempt's claim ended. The version is that of a granted claim's row.
struct ClaimDecision
{
    PendingClaim claim;
    ClaimResult result;
    RowVersion version = 0;
};

/// Claims that share one transaction: the pure part of making claims.
/// Thread safety: one thread at a time.
class ClaimBatch
{
public:
    /// Precondition: the keys are distinct and there is at least one.
    explicit ClaimBatch(std::vector<PendingClaim> claims);

    /// Writes all remaining claims on the condition that none of their rows exists.
    /// Precondition: claims remain.
    Transaction transaction() const;

    /// Takes the result of transaction() and returns the attempts that it decided. The others remain, and need another
    /// transaction. Precondition: the result is that of the last transaction().
    std::vector<ClaimDecision> apply(const TransactResult &result, BootTime now, WallTime wallNow);

    const std::vector<PendingClaim> &remaining() const
    {
        return m_remaining;
    }

private:
    std::vector<ClaimDecision> applyCommitted(const Committed &committed);
    std::vector<ClaimDecision> applyConditionFailed(const ConditionFailed &failed, WallTime wallNow);
    std::vector<ClaimDecision> endLateClaims(BootTime now);

    std::vector<PendingClaim> m_remaining;
};

} // namespace Trefoil
