#pragma once

#include <LibCore/bootclock.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Trefoil
{

class RequestCost;

/// Work that an upstream still has to do: the requests that this host has in flight there, each by its expected work and the time that it has run, and
/// those of other hosts, of which only the number is known.
/// Handles long requests that hold a slot for much longer than the mean: a request that has run for longer than expected probably runs on for long.
/// Thread safety: one thread at a time.
class RemainingWork
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Identifies a request in flight; 0 is none.
    using Token = std::uint64_t;

    /// Records a request that is about to be sent. cost must outlive the request.
    /// Precondition: recordEnd() follows once; expectedWork is positive.
    Token recordStart(const RequestCost &cost, Milliseconds expectedWork, Milliseconds expectedWait, BootTime now);

    /// Precondition: none; an unknown token is ignored.
    void recordEnd(Token token);

    /// What is known of the requests that other hosts have at the upstream.
    struct Others
    {
        /// Number of requests, running and queued.
        double count = 0;
        /// Expected work of one that has not begun.
        Milliseconds work{0};
    };

    /// Time until a slot is free for a further request. Precondition: slots is positive.
    Milliseconds wait(int slots, const Others &others, BootTime now) const;

    /// Sum of the expected rests of this host's requests. Precondition: none.
    Milliseconds ownWork(BootTime now) const;

private:
    struct InFlight
    {
        Token token = 0;
        const RequestCost *cost = nullptr;
        Milliseconds expectedWork{0};
        /// Time at which the upstream probably begins.
        BootTime beginsAt{};
    };

    static Milliseconds remaining(const InFlight &request, BootTime now);

    /// In the order of their starts; a host has few requests at one upstream.
    std::vector<InFlight> m_inFlight;
    Token m_lastToken = 0;
};

} // namespace Trefoil
