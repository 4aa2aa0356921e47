#pragma once

#include <chrono>

namespace Trefoil
{

/// How long requests take from their dispatch to their response, for requests that are dispatched as late as their deadline allows.
/// Under overload all are: a limit at the mean would lose the slots of about half of them.
/// Thread safety: one thread at a time.
class ServiceTimeEstimate
{
public:
    /// Takes the time of a request that was answered. Precondition: time is not negative.
    void record(std::chrono::nanoseconds time);

    /// Takes the time after which a request had no response yet, so that the estimate follows upstreams that slow down. Counts for twice
    /// the estimate at most, since the upstream may be gone. Precondition: time is not negative.
    void recordTimeout(std::chrono::nanoseconds time);

    /// A time that few requests exceed; zero before the first record. Precondition: none.
    std::chrono::nanoseconds likelyMaximum() const;

private:
    double m_meanNanoseconds = 0;
    double m_deviationNanoseconds = 0;
    bool m_hasSample = false;
};

} // namespace Trefoil
