#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace Trefoil
{

/// A host dispatches for at most this long after the confirmed heartbeat or renewal was sent.
constexpr BootClock::duration s_leaseDuration = std::chrono::seconds(3);
/// A guardian does not vote for this long after it acknowledged a heartbeat, and after its own start. The difference to
/// the lease allows for clocks that run at different speeds.
constexpr BootClock::duration s_guardianPromiseDuration = std::chrono::seconds(5);

/// True when votes are more than half of count. Precondition: none. Thread safety: safe from any thread.
constexpr bool isMajority(std::size_t votes, std::size_t count)
{
    return 2 * votes > count;
}

/// The lease of this host: until when its confirmations allow it to dispatch.
/// Thread safety: one thread at a time.
class HostLease
{
public:
    /// Sets the guardians that the row is known to name, and ends a pending change.
    void setGuardians(std::vector<HostId> guardians);

    /// Starts a change of guardians. Until setGuardians() is called, a heartbeat needs a majority of both sets, because
    /// it is not known which of them the row names.
    void proposeGuardians(std::vector<HostId> guardians);

    const std::vector<HostId> &guardians() const
    {
        return m_guardians;
    }

    /// Guardians of both sets, each once.
    std::set<HostId> heartbeatTargets() const;

    /// Notes a heartbeat. Preconditions: sentAt was read before it was sent; sequences grow.
    void recordSentHeartbeat(std::uint64_t sequence, BootTime sentAt);

    /// Counts one acknowledgement; true when it completes a confirmation.
    /// Precondition: the guardian confirmed this host's present epoch.
    bool recordAcknowledgement(const HostId &guardian, std::uint64_t sequence);

    /// Counts a renewal that the store committed. Precondition: sentAt was read before its first attempt.
    void recordRenewal(BootTime sentAt);

    /// End of the lease; the clock's epoch when it was never confirmed.
    BootTime validUntil() const;

    /// Time of the last confirmation by guardians, counted from its heartbeat.
    BootTime lastGuardianConfirmation() const
    {
        return m_lastGuardianConfirmation;
    }

    /// Ends the lease and forgets outstanding heartbeats; for a host that was reclaimed.
    void revoke();

    /// Forgets outstanding heartbeats, which carry an epoch that has ended.
    void discardHeartbeats();

private:
    struct SentHeartbeat
    {
        std::uint64_t sequence = 0;
        BootTime sentAt;
        std::set<HostId> confirmedBy;
    };

    bool isConfirmed(const SentHeartbeat &heartbeat) const;

    std::vector<HostId> m_guardians;
    std::vector<HostId> m_proposedGuardians;
    bool m_isChangingGuardians = false;
    std::deque<SentHeartbeat> m_sentHeartbeats;
    BootTime m_lastConfirmation;
    BootTime m_lastGuardianConfirmation;
};

} // namespace Trefoil
