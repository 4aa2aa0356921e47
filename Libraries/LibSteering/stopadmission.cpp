#include <LibSteering/stopadmission.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Likely longest service time on a cold cache, relative to the mean: 0.1% of the requests of routes with short queues exceed it.
constexpr double s_longWorkRatio = 1.5;
/// Additional room for requests that the caller can't repeat. It halves the share of late responses where long requests hold the slots.
constexpr double s_nonIdempotentRoom = 1.5;
/// Time for the response of an upstream to reach the caller, between regions too.
constexpr std::chrono::milliseconds s_responseTransit{100};

} // namespace

bool fitsBeforeStop(const StopAdmissionQuery &query)
{
    if (query.deadline <= query.hostEnd) {
        return true;
    }
    const Milliseconds longWork = query.expectedWait + query.uncachedWork * s_longWorkRatio * std::max(1.0, query.slowness);
    const Milliseconds longest = std::max(longWork, query.likelyAttemptTime) * (query.isIdempotent ? 1.0 : s_nonIdempotentRoom);
    const Milliseconds left = deadlineForUpstream(query.deadline, query.hostEnd) - query.now;
    return longest <= left;
}

BootTime deadlineForUpstream(BootTime deadline, std::optional<BootTime> hostEnd)
{
    return hostEnd ? std::min(deadline, *hostEnd - s_responseTransit) : deadline;
}

} // namespace Trefoil
