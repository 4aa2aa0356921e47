#pragma once

#include <LibCore/bootclock.h>

#include <chrono>
#include <cstdint>

namespace Trefoil
{

/// The pause that an upstream asked this host for, and the slow start after it.
/// Handles upstreams that reject requests and name the time after which they have room: requests sent before would only be rejected again,
/// and all requests that waited for the end of the pause, sent at once, would overload the upstream anew.
/// Thread safety: one thread at a time.
class UpstreamBackoff
{
public:
    /// Records that the upstream asked for no requests during the pause. A shorter pause doesn't end a longer one.
    /// Precondition: pause is not negative.
    void recordPause(std::chrono::milliseconds pause, BootTime now);

    /// Records that the upstream has accepted and answered a request. Precondition: none.
    void recordAccepted(BootTime now);

    /// Whether the upstream may be sent a request while it works on that many of this host. None during the pause; after it one at a time,
    /// and one more for each that it has accepted since. Precondition: inFlight is not negative.
    bool maySend(std::int32_t inFlight, BootTime now) const;

    /// Precondition: none.
    bool isPaused(BootTime now) const
    {
        return now < m_pausedUntil;
    }

    /// The end of the latest pause; the clock's epoch before the first one. Precondition: none.
    BootTime pausedUntil() const
    {
        return m_pausedUntil;
    }

private:
    BootTime m_pausedUntil{};
    /// Requests accepted since the pause.
    std::int32_t m_accepted = 0;
    bool m_isStartingSlowly = false;
};

} // namespace Trefoil
