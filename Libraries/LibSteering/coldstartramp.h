#pragma once

#include <LibCore/units.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Limits the concurrent requests to an upstream that has just started, so that it warms up before it receives its full share.
class ColdStartRamp
{
public:
    /// Concurrent requests that the ramp allows now. Precondition: none. Thread safety: safe from any thread; lock-free.
    SlotCount limit() const;

    /// Records a success; the limit doubles after as many successes as it allows concurrent requests.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    void recordSuccess();

    /// Records a failure, which restarts the count of successes at the current limit.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    void recordFailure();

    /// Resets the limit to one request, for an upstream that started or recovered.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    void restart();

private:
    /// The limit in the upper 32 bits, and the successes at that limit in the lower 32 bits.
    std::atomic<std::uint64_t> m_state{std::uint64_t{1} << 32U};
};

} // namespace Trefoil
