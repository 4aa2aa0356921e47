#pragma once

#include <LibCore/units.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Limits the concurrent requests to an upstream that has just started, so that it warms up before it gets its full share.
class ColdStartRamp
{
public:
    /// Concurrent requests that the ramp allows now. Precondition: none. Thread safety: safe from any thread; lock-free.
    SlotCount limit() const;

    /// Counts a success; the limit doubles after as many successes as it allows concurrent requests.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    void recordSuccess();

    /// Starts the current round again. Precondition: none. Thread safety: safe from any thread; lock-free.
    void recordFailure();

    /// Begins again with one request, for an upstream that started or came back.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    void restart();

private:
    /// Limit in the upper and successes of the round in the lower 32 bits.
    std::atomic<std::uint64_t> m_state{std::uint64_t{1} << 32U};
};

} // namespace Trefoil
