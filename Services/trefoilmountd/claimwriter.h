#pragma once

#include <LibIdempotency/claimbatch.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Trefoil
{

/// Writes claims and their outcomes to the table service, many in one transaction.
/// Thread safety: control thread only.
class ClaimWriter : public std::enable_shared_from_this<ClaimWriter>
{
public:
    using Complete = std::function<void(ClaimResult)>;

    /// Precondition: the object is owned by a shared pointer; context and table outlive its coroutines.
    ClaimWriter(boost::asio::io_context &context, TableClient &table);

    /// Puts a claim into the next batch; complete is called once, at the claim's deadline at the latest, give or take the
    /// end of the attempt at the store that is then in progress.
    void claim(PendingClaim claim, Complete complete);

    /// Writes the response into the claim's row in the background.
    /// Precondition: the claim was granted.
    void recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response);

    /// Deletes the claim's row in the background if it holds this claim. Precondition: nothing is sent under the claim.
    void release(const ClaimKey &key, const std::string &claimId);

    /// Deletes one page of rows whose keys have expired.
    void deleteExpired(const ServiceId &service, const TenantId &tenant);

private:
    struct Waiting
    {
        PendingClaim claim;
        Complete complete;
    };

    /// A change of a claimed row that the holder of the claim makes.
    struct Outcome
    {
        std::string rowKey;
        std::string claimId;
        /// Nothing deletes the row.
        std::optional<ClaimRow> row;
        /// 0 when not known.
        RowVersion version = 0;
    };

    void startBatch();
    void runBatch(const boost::asio::yield_context &yield);
    std::vector<PendingClaim> takeBatch();
    void completeClaim(ClaimDecision decision);
    void enqueue(Outcome outcome);
    void runOutcomes(const boost::asio::yield_context &yield);
    bool writeOutcomes(std::vector<Outcome> &outcomes, const boost::asio::yield_context &yield);
    bool refreshVersions(std::vector<Outcome> &outcomes, const boost::asio::yield_context &yield);
    void deletePage(const std::string &prefix, const boost::asio::yield_context &yield);
    void wait(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    TableClient &m_table;
    std::deque<Waiting> m_waiting;
    /// Attempts in batches, by claim id.
    std::map<std::string, Complete> m_completionsByClaim;
    /// Rows that a batch writes now; a second attempt of the same key waits for its end.
    std::set<std::string> m_rowsInBatches;
    std::map<std::string, RowVersion> m_versions;
    std::deque<Outcome> m_outcomes;
    int m_batches = 0;
    bool m_writesOutcomes = false;
};

} // namespace Trefoil
