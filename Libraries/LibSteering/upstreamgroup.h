#pragma once

#include <LibCore/bootclock.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// What the upstreams of one service in one region share on this host: how many of them are ejected, and their usual latency.
class UpstreamGroup
{
public:
    /// Ejects one more upstream, unless half of the group is ejected already. One host's view may be wrong, and must not empty a region.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    bool tryEject();

    /// Takes one upstream back. Precondition: a tryEject() returned true for it. Thread safety: safe from any thread.
    void readmit();

    /// Upstreams of the region, also those on which this host holds no grant.
    /// Precondition: count is not negative. Thread safety: one control thread at a time.
    void setUpstreamCount(std::int32_t count);

    /// True when a smaller group has more than half of its upstreams ejected.
    /// Precondition: none. Thread safety: safe from any thread.
    bool hasTooManyEjected() const;

    /// Precondition: none. Thread safety: safe from any thread.
    std::int32_t ejected() const;

    /// Precondition: latency is of a successful response. Thread safety: safe from any thread; lock-free.
    void recordLatency(std::chrono::nanoseconds latency);

    /// Moving average over all upstreams; 0 before the first success. Precondition: none. Thread safety: safe from any thread.
    std::chrono::nanoseconds meanLatency() const;

private:
    std::atomic<std::int32_t> m_upstreamCount{0};
    std::atomic<std::int32_t> m_ejected{0};
    std::atomic<float> m_meanLatencySeconds{0};
};

} // namespace Trefoil
