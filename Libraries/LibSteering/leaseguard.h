#pragma once

#include <LibCore/bootclock.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Tells whether this host may dispatch. Membership extends it; the request path checks it before every dispatch.
class LeaseGuard
{
public:
    /// Precondition: none. Thread safety: safe from any thread; never waits.
    bool isValid(BootTime now) const;

    /// Extends the lease; an earlier time than the present end is ignored.
    /// Precondition: validUntil was computed from the time at which the confirmed heartbeat was sent.
    /// Thread safety: safe from any thread.
    void extend(BootTime validUntil);

    /// Ends the lease at once, for example when the host learns that its grants were reclaimed.
    /// Precondition: none. Thread safety: safe from any thread.
    void revoke();

private:
    std::atomic<std::int64_t> m_validUntilNanoseconds{0};
};

} // namespace Trefoil
