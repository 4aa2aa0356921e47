#include <LibSteering/servicetimeestimate.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdint>

namespace Trefoil
{

namespace
{

/// Weights of a new sample, as in TCP's retransmission timeout (RFC 6298).
constexpr double s_meanGain = 1.0 / 8;
constexpr double s_deviationGain = 1.0 / 4;
/// Number of mean deviations added to the mean, also from RFC 6298.
constexpr double s_deviations = 4;
/// Maximum sample of a request without a response, in multiples of the estimate.
constexpr int s_maximumGrowth = 2;

} // namespace

void ServiceTimeEstimate::record(std::chrono::nanoseconds time)
{
    assert(time.count() >= 0);
    const auto sample = static_cast<double>(time.count());
    if (!m_hasSample) {
        m_hasSample = true;
        m_meanNanoseconds = sample;
        m_deviationNanoseconds = sample / 2;
        return;
    }
    m_deviationNanoseconds += (std::abs(sample - m_meanNanoseconds) - m_deviationNanoseconds) * s_deviationGain;
    m_meanNanoseconds += (sample - m_meanNanoseconds) * s_meanGain;
}

void ServiceTimeEstimate::recordTimeout(std::chrono::nanoseconds time)
{
    if (m_hasSample) {
        record(std::min(time, s_maximumGrowth * likelyMaximum()));
    }
}

std::chrono::nanoseconds ServiceTimeEstimate::likelyMaximum() const
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(m_meanNanoseconds + s_deviations * m_deviationNanoseconds));
}

} // namespace Trefoil
