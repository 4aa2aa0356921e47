#pragma once

#include <LibTelemetry/scrapewriter.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace Trefoil
{

/// What happens to connections of callers around a planned stop and at the connection limit, and to responses that don't reach their callers.
enum class ConnectionEvent {
    /// A response could not be written as a whole: the caller had left, or this host had closed the connection.
    ResponseNotWritten,
    /// A connection without a request was closed by a planned stop.
    ClosedIdle,
    /// A connection was accepted after a planned stop had begun to close the listening socket.
    AcceptedLate,
    /// A connection with a slow caller was ended, since few were left.
    EndedForRoom,
    /// A new connection was rejected, since none was left.
    RejectedAtLimit,
};
constexpr std::size_t s_connectionEventCount = 5;

/// Name of an event in metrics, such as "closed-idle". Precondition: none. Thread safety: safe from any thread.
std::string_view toText(ConnectionEvent event);

/// Counts the events of one or several servers. Thread safety: safe from any thread.
class ConnectionEvents
{
public:
    /// Precondition: none.
    void count(ConnectionEvent event)
    {
        m_counts[static_cast<std::size_t>(event)].fetch_add(1, std::memory_order_relaxed);
    }

    /// Precondition: none.
    std::uint64_t of(ConnectionEvent event) const
    {
        return m_counts[static_cast<std::size_t>(event)].load(std::memory_order_relaxed);
    }

    /// Writes all counts to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer) const;

private:
    std::array<std::atomic<std::uint64_t>, s_connectionEventCount> m_counts{};
};

} // namespace Trefoil
