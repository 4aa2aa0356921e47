#pragma once

#include <LibCore/bootclock.h>

namespace Trefoil
{

/// Bounds the requests of one kind that a host sends to the store: a token bucket that holds one second's worth.
/// Thread safety: one thread at a time.
class RequestRate
{
public:
    /// Precondition: perSecond is at least 1.
    explicit RequestRate(double perSecond);

    /// Reserves the next request and returns the time at which it may be sent, which is now or later.
    BootTime reserve(BootTime now);

    /// The time at which a request reserved now could be sent.
    BootTime next(BootTime now) const;

private:
    BootClock::duration m_interval;
    BootClock::duration m_burst;
    /// Time at which the bucket is full again.
    BootTime m_fullAt;
};

} // namespace Trefoil
