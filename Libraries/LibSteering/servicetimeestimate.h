#pragma once

#include <chrono>

namespace Trefoil
{

/// Estimates the time from dispatch to response, for requests that are dispatched as late as their deadline allows. Under overload all requests are:
/// with the mean as the limit, about half of them would miss their deadline and waste their slots.
/// Thread safety: one thread at a time.
class ServiceTimeEstimate
{
public:
    /// Records the time of a request that received a response. Precondition: time is not negative.
    void record(std::chrono::nanoseconds time);

    /// Records the time after which a request without a response ended, so that the estimate follows upstreams that slow down. The sample is limited
    /// to twice the estimate, since the upstream may be unreachable; it is ignored before the first response.
    /// Precondition: time is not negative.
    void recordTimeout(std::chrono::nanoseconds time);

    /// A time that few requests exceed; zero before the first sample. Precondition: none.
    std::chrono::nanoseconds likelyMaximum() const;

private:
    double m_meanNanoseconds = 0;
    double m_deviationNanoseconds = 0;
    bool m_hasSample = false;
};

} // namespace Trefoil
