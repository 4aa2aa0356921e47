#pragma once

#include <LibCore/bootclock.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// Which hosts may send to a cold upstream: the first ones in the rendezvous order of all live hosts, so that hosts agree
/// without messages. Precondition: liveHosts holds this host. Thread safety: safe from any thread.
bool mayWarmUp(std::uint64_t upstreamHash, std::uint64_t ownHash, const std::vector<std::uint64_t> &liveHosts, std::size_t owners);

/// Most requests of one host to one cold upstream in any window of that length.
struct ColdPace
{
    std::size_t requests = 1;
    std::chrono::nanoseconds window{0};
};

/// Spaces this host's requests to one cold upstream evenly.
/// Answers upstreams that start or come back while all hosts have work for them: a burst would crash them.
/// Thread safety: one thread at a time.
class ColdPacer
{
public:
    /// Takes the next place if the interval since the last one has passed. Precondition: interval is positive.
    bool tryTake(BootTime now, std::chrono::nanoseconds interval);

private:
    BootTime m_next{};
};

} // namespace Trefoil
