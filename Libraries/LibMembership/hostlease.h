#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace Trefoil
{

/// A host dispatches requests for at most this long after it sent the last confirmed heartbeat or renewal.
constexpr BootClock::duration s_leaseDuration = std::chrono::seconds(3);
/// A guardian does not vote for this long after it acknowledged a heartbeat, and after its own start. It exceeds the lease
/// duration to allow for clocks that run at different speeds.
constexpr BootClock::duration s_guardianPromiseDuration = std::chrono::seconds(5);

/// True when votes is more than half of count. Precondition: none. Thread safety: safe from any thread.
constexpr bool isMajority(std::size_t votes, std::size_t count)
{
    return 2 * votes > count;
}

/// The lease of this host: the time until which confirmations by guardians or the store allow it to dispatch.
/// Thread safety: one thread at a time.
class HostLease
{
public:
    /// Sets the guardians that the host's row is known to name, and ends a pending change.
    void setGuardians(std::vector<HostId> guardians);

    /// Starts a change of guardians. Until setGuardians() is called, a heartbeat needs a majority of each of the two sets,
    /// because it is unknown which of them the row names.
    void proposeGuardians(std::vector<HostId> guardians);

    const std::vector<HostId> &guardians() const
    {
        return m_guardians;
    }

    /// Current and proposed guardians, without duplicates.
    std::set<HostId> heartbeatTargets() const;

    /// Records a heartbeat. Preconditions: sentAt was read before it was sent; sequence numbers increase.
    void recordSentHeartbeat(std::uint64_t sequence, BootTime sentAt);

    /// Records a guardian's acknowledgement; true when the heartbeat is confirmed by a majority with it.
    /// Precondition: the guardian confirmed this host's current epoch.
    bool recordAcknowledgement(const HostId &guardian, std::uint64_t sequence);

    /// Records a renewal that the store committed. Precondition: sentAt was read before its first attempt.
    void recordRenewal(BootTime sentAt);

    /// End of the lease; BootTime() when there was no confirmation, or none since revoke().
    BootTime validUntil() const;

    /// Time at which the last heartbeat that the guardians confirmed was sent.
    BootTime lastGuardianConfirmation() const
    {
        return m_lastGuardianConfirmation;
    }

    /// Ends the lease and discards outstanding heartbeats, for a host that was fenced or leaves.
    void revoke();

    /// Discards outstanding heartbeats, after the epoch that they carry has ended.
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
