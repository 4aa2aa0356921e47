#pragma once

#include <LibSteering/placement.h>

#include <optional>

namespace Trefoil
{

/// What is known about a request that a stopping host could send to an upstream now.
struct StopAdmissionQuery
{
    BootTime now{};
    /// Time at which the host stops waiting for upstreams.
    BootTime hostEnd{};
    /// Deadline of the caller or of the route, whichever is earlier.
    BootTime deadline{};
    /// Queueing delay at the upstream.
    Milliseconds expectedWait{0};
    /// Service time of the route on a cold cache: the upstream may not have the key that it is expected to have.
    Milliseconds uncachedWork{0};
    /// Ratio of the upstream's service time to the expected one.
    double slowness = 1;
    /// Time that few attempts of the route have exceeded on this host, with their queueing delay; zero before the first one.
    Milliseconds likelyAttemptTime{0};
    /// Whether the caller may repeat the request after it may have run.
    bool isIdempotent = true;
};

/// Whether a stopping host may still send a request to an upstream. Otherwise the caller is told at once to go to another host.
/// Handles a planned stop in which requests come late or uploads end late: their responses would come after the end of the host, and the callers of
/// non-idempotent requests could not repeat them. A request whose deadline is not after the end always fits, since its caller gets a response by then.
/// The others fit if their likely longest time does; non-idempotent requests need more room.
/// Precondition: the times are of one clock. Thread safety: safe from any thread.
bool fitsBeforeStop(const StopAdmissionQuery &query);

/// The deadline for upstreams. It is early enough for the host to pass their response on before it ends; an upstream responds then by itself that it
/// has stopped its work, or that it did not begin it. Without an end of the host it is the request's own deadline.
/// Precondition: the times are of one clock. Thread safety: safe from any thread.
BootTime deadlineForUpstream(BootTime deadline, std::optional<BootTime> hostEnd);

} // namespace Trefoil
