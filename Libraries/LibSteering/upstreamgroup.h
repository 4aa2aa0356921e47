#pragma once

#include <LibCore/bootclock.h>

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// State that the upstreams of one service in one region share on this host: how many of them are ejected, and their mean latency.
class UpstreamGroup
{
public:
    /// Ejects one more upstream, unless half of the group is ejected already: one host's observations may be wrong, and must not empty a region.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    bool tryEject();

    /// Ends the ejection of one upstream. Precondition: tryEject() returned true for it. Thread safety: safe from any thread.
    void readmit();

    /// Sets the number of upstreams of the region, including those on which this host holds no grant.
    /// Precondition: count is not negative. Thread safety: one control thread at a time.
    void setUpstreamCount(std::int32_t count);

    /// True when more than half of the upstreams are ejected, which happens when the group shrinks.
    /// Precondition: none. Thread safety: safe from any thread.
    bool hasTooManyEjected() const;

    /// Number of ejected upstreams. Precondition: none. Thread safety: safe from any thread.
    std::int32_t ejected() const;

    /// Records the latency of a response. Precondition: latency is of a successful response. Thread safety: safe from any thread; lock-free.
    void recordLatency(std::chrono::nanoseconds latency);

    /// Moving average of the latency over all upstreams; 0 before the first success. Precondition: none. Thread safety: safe from any thread.
    std::chrono::nanoseconds meanLatency() const;

private:
    std::atomic<std::int32_t> m_upstreamCount{0};
    std::atomic<std::int32_t> m_ejected{0};
    std::atomic<float> m_meanLatencySeconds{0};
};

} // namespace Trefoil
