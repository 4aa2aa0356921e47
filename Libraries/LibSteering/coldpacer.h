#pragma once

#include <LibCore/bootclock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// Which hosts may send to a cold upstream: the first ones in the rendezvous order of all live hosts, so that hosts agree
/// without messages. Precondition: liveHosts holds this host. Thread safety: safe from any thread.
bool isWarmUpHost(std::uint64_t upstreamHash, std::uint64_t ownHash, const std::vector<std::uint64_t> &liveHosts, std::size_t owners);

/// Most requests of one host to one cold upstream in any window of that length.
struct ColdRateLimit
{
    std::size_t requests = 1;
    std::chrono::nanoseconds window{0};
};

/// Spaces this host's requests to one cold upstream evenly, and counts those that were sent: connections take different times to
/// open, so that places taken in turn may end in requests at one time.
/// Answers upstreams that start or come back while all hosts have work for them: a burst would crash them.
/// Thread safety: one thread at a time.
class ColdPacer
{
public:
    /// Takes the next place if the interval since the last one has passed. Precondition: interval is positive.
    bool tryAcquire(BootTime now, std::chrono::nanoseconds interval);

    /// Leaves no room until that time: other hosts may still send as to a warm upstream. Precondition: none.
    void pauseUntil(BootTime until);

    /// True when fewer requests than the pace allows were sent within its window, and no pause is on.
    /// Precondition: now does not go back.
    bool canSend(BootTime now, const ColdRateLimit &limit);

    /// Notes a request that is sent now, also to an upstream that isn't cold yet. Precondition: as for canSend().
    void recordSent(BootTime now, const ColdRateLimit &limit);

private:
    void removeExpired(BootTime now, const ColdRateLimit &limit);

    BootTime m_nextAcquisition{};
    BootTime m_pausedUntil{};
    /// Times of the requests of the last window.
    std::deque<BootTime> m_sentAt;
};

} // namespace Trefoil
