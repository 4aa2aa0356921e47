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

/// Writes claims and their outcomes to the table service, batched into transactions.
/// Thread safety: control thread only.
class ClaimWriter : public std::enable_shared_from_this<ClaimWriter>
{
public:
    using Complete = std::function<void(ClaimResult)>;

    /// Precondition: the object is owned by a shared pointer; context and table outlive its coroutines.
    ClaimWriter(boost::asio::io_context &context, TableClient &table);

    /// Adds a claim to the next batch. complete is called once, at the latest when the store call in progress at the
    /// claim's deadline ends.
    void claim(PendingClaim claim, Complete complete);

    /// Writes the response into the claim's row in the background.
    /// Precondition: the claim was granted.
    void recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response);

    /// Deletes the row in the background if it still holds this claim. Precondition: nothing is sent under the claim.
    void release(const ClaimKey &key, const std::string &claimId);

    /// Deletes one page of rows whose keys have expired.
    void deleteExpired(const ServiceId &service, const TenantId &tenant);

private:
    struct Waiting
    {
        PendingClaim claim;
        Complete complete;
    };

    /// A pending write of the claim's holder to the claimed row.
    struct Outcome
    {
        std::string rowKey;
        std::string claimId;
        /// Empty to delete the row.
        std::optional<ClaimRow> row;
        /// 0 until the row's version is read.
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
    /// Completion functions of the claims in batches, by claim id.
    std::map<std::string, Complete> m_completionsByClaim;
    /// Rows that batches in progress write; another attempt with the same key waits until the batch ends.
    std::set<std::string> m_rowsInBatches;
    std::map<std::string, RowVersion> m_versions;
    std::deque<Outcome> m_outcomes;
    int m_batches = 0;
    bool m_writesOutcomes = false;
};

} // namespace Trefoil
