#pragma once

#include <LibCore/bootclock.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// The lease under which this host may dispatch requests. Membership extends it; the request path checks it before every dispatch.
class LeaseGuard
{
public:
    /// True while the lease has not expired. Precondition: none. Thread safety: safe from any thread; wait-free.
    bool isValid(BootTime now) const;

    /// Extends the lease; a time before its current end is ignored.
    /// Precondition: validUntil was computed from the time at which the confirmed heartbeat was sent.
    /// Thread safety: safe from any thread.
    void extend(BootTime validUntil);

    /// Ends the lease immediately, for example when the host finds that its grants were reclaimed.
    /// Precondition: none. Thread safety: safe from any thread.
    void revoke();

private:
    std::atomic<std::int64_t> m_validUntilNanoseconds{0};
};

} // namespace Trefoil
