#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

/// Faults and counters that all stand-ins of the platform share, set and read over /control.
namespace Trefoil::StandIns
{

enum class FaultMode {
    Normal,
    /// Connections are closed without a response; the request has no effect.
    Down,
    /// Requests take effect and are answered after the delay, even when the client has given up.
    Slow,
    /// Requests take effect, then the connection is closed without a response.
    LoseAnswers,
    /// Reads show the state at the time of the control request; writes work on the present state.
    StaleReads,
    /// Requests have no effect and are not answered while the mode lasts.
    Frozen,
    /// Connections that are open at the time of the control request are never answered again; new ones work.
    SilentConnections,
};

/// What the server does with one request.
struct FaultDecision
{
    FaultMode mode = FaultMode::Normal;
    std::chrono::milliseconds delay{0};
};

enum class Access {
    Read,
    Write,
};

/// Requests a second that a service accepts; more are answered with 429.
struct RateLimits
{
    int writesPerSecond = 400;
    int readsPerSecond = 2000;
};

/// Fault mode, rate limit and counters of one stand-in.
/// Thread safety: one thread at a time.
class Faults
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit Faults(RateLimits limits);

    /// Applies {"mode", "delayMs", "count", "writesPerSecond", "readsPerSecond", "only": "reads|writes"}, all optional;
    /// count limits the mode to that many requests. Returns an empty text, or what is wrong with the request.
    std::string control(const nlohmann::json &request);

    /// The counters: mode, reads, writes, refused, and the largest numbers of reads and writes accepted in one second.
    nlohmann::json counters() const;

    /// Counts a request; false when the rate limit refuses it.
    bool admit(Access access, Time now);

    /// The fault that applies to this request.
    FaultDecision next(Access access);

    FaultMode mode() const
    {
        return m_decision.mode;
    }

    /// Grows with each request that silences the open connections.
    std::uint64_t silencedConnections() const
    {
        return m_silencedConnections;
    }

private:
    struct Counter
    {
        std::uint64_t total = 0;
        std::uint64_t inSecond = 0;
        std::uint64_t maximum = 0;
    };

    RateLimits m_limits;
    FaultDecision m_decision;
    std::int64_t m_remaining = 0;
    bool m_readsOnly = false;
    bool m_writesOnly = false;
    Time m_secondStart;
    Counter m_reads;
    Counter m_writes;
    std::uint64_t m_refused = 0;
    std::uint64_t m_silencedConnections = 0;
};

} // namespace Trefoil::StandIns
