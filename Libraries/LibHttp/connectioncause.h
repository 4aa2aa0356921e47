#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>

namespace Trefoil
{

/// Why a connection was opened instead of using an idle one.
enum class ConnectionCause {
    /// There was no connection to the address before, or so many other addresses were used since that it was forgotten.
    FirstUse,
    /// All connections to the address carried requests.
    AllInUse,
    /// An idle connection could not carry this request: it was idle for too long, or had answered the request with a failure.
    IdleUnsuitable,
    /// The other side had closed the connection while it was idle.
    IdleClosedByPeer,
    /// This process had closed the connection after its idle time, or just before the time that the other side announced.
    IdleClosedHere,
    /// The connection had made room at a limit on connections, or was one idle connection too many.
    Limit,
    /// A call had failed on the connection, had been given up, or had left it in a state that can't be told from a failure.
    Failure,
    /// The last response had announced that the connection closes.
    CloseAnnounced,
};
constexpr std::size_t s_connectionCauseCount = 8;

/// The cause's name in logs and metrics, such as "first-use". Precondition: none. Thread safety: safe from any thread.
std::string_view toText(ConnectionCause cause);

/// The connections to one address that ended and were not replaced yet. Thread safety: one thread at a time.
class ConnectionLosses
{
public:
    /// Records that a connection to the address ended. Precondition: none.
    void recordLoss(ConnectionCause cause);

    /// Cause of a connection that is opened now, which replaces the connection that ended last.
    /// Preconditions: lossesBefore is pending() before the call looked for an idle connection; hasIdle tells whether the call left idle ones.
    ConnectionCause recordOpened(std::size_t lossesBefore, bool hasIdle);

    /// Connections that ended and were not replaced. Precondition: none.
    std::size_t pending() const
    {
        return m_losses.size();
    }

private:
    /// As many as a pool keeps idle at one address; of older ones the cause of the next connection doesn't depend.
    static constexpr std::size_t s_maximumLosses = 64;

    std::deque<ConnectionCause> m_losses;
    bool m_wasUsed = false;
};

} // namespace Trefoil
