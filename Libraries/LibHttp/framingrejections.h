#pragma once

#include <LibHttp/requestframing.h>
#include <LibTelemetry/scrapewriter.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Counts rejected requests by fault. Thread safety: safe from any thread.
class FramingRejections
{
public:
    /// Precondition: none.
    void count(FramingFault fault)
    {
        m_counts[static_cast<std::size_t>(fault)].fetch_add(1, std::memory_order_relaxed);
    }

    /// Precondition: none.
    std::uint64_t of(FramingFault fault) const
    {
        return m_counts[static_cast<std::size_t>(fault)].load(std::memory_order_relaxed);
    }

    /// Writes all counts to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer) const;

private:
    std::array<std::atomic<std::uint64_t>, s_framingFaultCount> m_counts{};
};

} // namespace Trefoil
