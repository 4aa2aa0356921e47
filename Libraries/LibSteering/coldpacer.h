#pragma once

#include <LibCore/bootclock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// Whether this host is one of the warm-up hosts of a cold upstream: the first hosts in the rendezvous order of all live hosts, as many as
/// warmUpHosts. Only they may send requests to it, and all hosts agree on them without exchanging messages.
/// Precondition: liveHosts contains this host. Thread safety: safe from any thread.
bool isWarmUpHost(std::uint64_t upstreamHash, std::uint64_t ownHash, const std::vector<std::uint64_t> &liveHosts, std::size_t warmUpHosts);

/// Maximum number of requests from one host to one cold upstream in any window of that length.
struct ColdRateLimit
{
    std::size_t requests = 1;
    std::chrono::nanoseconds window{0};
};

/// Spaces this host's requests to one cold upstream evenly, and counts requests when they are sent: connections take different times to open, so
/// requests that acquired their permits at intervals may still reach the upstream together.
/// Handles upstreams that start or recover while all hosts have requests for them: a burst would crash them.
/// Thread safety: one thread at a time.
class ColdPacer
{
public:
    /// Acquires the next permit if the interval since the last one has passed. Precondition: interval is positive.
    bool tryAcquire(BootTime now, std::chrono::nanoseconds interval);

    /// Blocks requests until that time, because other hosts may still send as to a warm upstream. An earlier time than the current one is ignored.
    /// Precondition: none.
    void pauseUntil(BootTime until);

    /// True when fewer requests than the limit were sent within its window and no pause is in effect.
    /// Precondition: now does not go backwards.
    bool canSend(BootTime now, const ColdRateLimit &limit);

    /// Records a request that is sent now, including one to an upstream that is not cold yet. Precondition: as for canSend().
    void recordSent(BootTime now, const ColdRateLimit &limit);

private:
    void removeExpired(BootTime now, const ColdRateLimit &limit);

    BootTime m_nextAcquisition{};
    BootTime m_pausedUntil{};
    /// Times at which the requests of the last window were sent.
    std::deque<BootTime> m_sentAt;
};

} // namespace Trefoil
