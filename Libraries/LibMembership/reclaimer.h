#pragma once

#include <LibMembership/grantholder.h>
#include <LibMembership/guardianledger.h>
#include <LibMembership/hostrow.h>
#include <LibMembership/peerdirectory.h>
#include <LibMembership/reclaimattempt.h>

#include <functional>
#include <pcg_random.hpp>

namespace Trefoil
{

/// Reclaims the grants of unresponsive hosts under the conditions of ReclaimAttempt. The guardians of a host start at
/// staggered times, so that in most cases only one of them performs the reclaim.
/// Thread safety: one thread at a time.
class Reclaimer
{
public:
    /// Called with a host whose row was removed, because this or another host reclaimed it or because it left.
    using RemovalHandler = std::function<void(const HostId &host, BootTime now)>;

    /// Precondition: the references outlive the reclaimer.
    Reclaimer(HostId self, GuardianLedger &ledger, MemberOutbox &outbox, pcg32 &random, RemovalHandler removalHandler);

    /// Starts to observe the row of a host that may have terminated. A repeated call for the same host has no effect.
    /// Ignored while the maximum number of attempts is in progress.
    void suspect(const HostId &host, BootTime now);

    /// Advances all attempts whose next step is due, and discards those that failed too often or whose host is
    /// responsive again, except while their transaction is pending.
    void tick(BootTime now);

    void voteReceived(const HostId &from, const ReclaimVote &vote, BootTime now);

    std::size_t attemptCount() const
    {
        return m_attempts.size();
    }

private:
    enum class Stage {
        /// The host's row is being read, or its version is being observed.
        Observing,
        /// The rows of the guardians and the grants are being read.
        Reading,
        Voting,
        Committing,
    };

    struct Attempt
    {
        std::optional<ReclaimAttempt> rule;
        RegionId region;
        GrantRows grants;
        Stage stage = Stage::Observing;
        BootTime nextStep;
        int failures = 0;
    };

    Attempt *find(const HostId &host, Stage stage);
    void observe(const HostId &host, BootTime now);
    void rowObserved(const HostId &host, const std::vector<TableRow> &rows, BootTime now);
    void readVotingRows(const HostId &host, Attempt &attempt, BootTime now);
    void votingRowsRead(const HostId &host, const std::vector<TableRow> &rows, BootTime now);
    void requestVotes(Attempt &attempt, BootTime now);
    void commitIfAllowed(const HostId &host, BootTime now);
    void committed(const HostId &host, const StoreResponse &response, BootTime now);
    void retry(const HostId &host, BootTime now);
    BootClock::duration startDelay(const ReclaimAttempt &rule);
    BootClock::duration jitter(BootClock::duration maximum);

    HostId m_self;
    GuardianLedger &m_ledger;
    MemberOutbox &m_outbox;
    pcg32 &m_random;
    RemovalHandler m_removalHandler;
    std::map<HostId, Attempt> m_attempts;
};

} // namespace Trefoil
