#include <LibSteering/upstreammodel.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Half-life of the requests that other hosts had at an upstream at the last report; about the time of one request of the slower kinds.
constexpr Seconds s_otherRequestsHalfLife{1.0};
/// Half-life of the failure rate; a failed upstream is tried again within seconds.
constexpr Seconds s_failureHalfLife{4.0};
/// Half-life of the slowness; a slow phase lasts for seconds.
constexpr Seconds s_slownessHalfLife{4.0};
/// Half-life of the mean of the reported work factors.
constexpr Seconds s_workFactorHalfLife{4.0};
/// Bounds of a reported work factor, so that one absurd report cannot attract or exclude all requests.
constexpr double s_minimumWorkFactor = 0.1;
constexpr double s_maximumWorkFactor = 12;
/// Weights of a new sample.
constexpr double s_failureWeight = 0.25;
constexpr double s_unreachableWeight = 0.6;
constexpr double s_slownessWeight = 0.25;
constexpr double s_reportWeight = 0.6;
/// Low, so that the mean covers several speeds of the machine: in the replay, following the last report lost up to 0.07 of the worth in overload.
constexpr double s_workFactorWeight = 0.1;
/// Bounds of one sample of slowness, so that a single outlier cannot exclude an upstream.
constexpr double s_minimumSlowness = 0.3;
constexpr double s_maximumSlowness = 12;

double decay(BootTime since, BootTime now, Seconds halfLife)
{
    const double age = std::max(0.0, Seconds(now - since).count());
    return std::exp2(-age / halfLife.count());
}

} // namespace

UpstreamModel::UpstreamModel(UpstreamIdentity identity)
    : m_identity(std::move(identity))
    , m_hash(stableHash(m_identity.id.value()))
{
}

void UpstreamModel::recordStart()
{
    ++m_inFlight;
}

void UpstreamModel::recordEnd(AttemptOutcome outcome, std::optional<double> slownessOfRequest, const std::optional<LoadReport> &report, BootTime now)
{
    --m_inFlight;
    if (report) {
        const double otherRequests = std::max(0, report->running + report->waiting - m_inFlight - 1);
        const double weight = 1 - (1 - s_reportWeight) * decay(m_otherRequestsAt, now, s_otherRequestsHalfLife);
        m_otherRequests += weight * (otherRequests - m_otherRequests);
        m_otherRequestsAt = now;
    }
    if (report && report->workFactor) {
        const double mean = workFactor(now);
        m_workFactor = mean + s_workFactorWeight * (std::clamp(*report->workFactor, s_minimumWorkFactor, s_maximumWorkFactor) - mean);
        m_workFactorAt = now;
        if (slownessOfRequest) {
            // Slowness is what the reported speed does not explain; placement multiplies the two.
            slownessOfRequest = *slownessOfRequest / m_workFactor;
        }
    }
    const double current = slowness(now);
    switch (outcome) {
    case AttemptOutcome::Success:
        m_failureRate = failureRate(now) * (1 - s_failureWeight);
        m_failureRateAt = now;
        if (slownessOfRequest) {
            m_slowness = current + s_slownessWeight * (std::clamp(*slownessOfRequest, s_minimumSlowness, s_maximumSlowness) - current);
            m_slownessAt = now;
        }
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
        raiseFailureRate(s_failureWeight, now);
        break;
    case AttemptOutcome::Unreachable:
        raiseFailureRate(s_unreachableWeight, now);
        break;
    case AttemptOutcome::Shed:
        raiseFailureRate(s_failureWeight, now);
        if (!report) {
            // An upstream that sheds has all of its slots in use, whichever hosts use them.
            m_otherRequests = std::max(m_otherRequests, static_cast<double>(m_identity.slots.value() - m_inFlight));
            m_otherRequestsAt = now;
        }
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void UpstreamModel::raiseFailureRate(double weight, BootTime now)
{
    const double rate = failureRate(now);
    m_failureRate = rate + weight * (1 - rate);
    m_failureRateAt = now;
}

void UpstreamModel::recordKey(std::uint64_t keyHash, BootTime now)
{
    if (m_keys.size() >= s_maximumKeys && m_keys.count(keyHash) == 0) {
        const auto oldest = std::min_element(m_keys.begin(), m_keys.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        m_keys.erase(oldest);
    }
    m_keys[keyHash] = now;
}

double UpstreamModel::occupancy(BootTime now, double meanLoadPerSlot) const
{
    const double freshness = decay(m_otherRequestsAt, now, s_otherRequestsHalfLife);
    return m_inFlight + m_otherRequests * freshness + meanLoadPerSlot * m_identity.slots.value() * (1 - freshness);
}

double UpstreamModel::failureRate(BootTime now) const
{
    return m_failureRate * decay(m_failureRateAt, now, s_failureHalfLife);
}

double UpstreamModel::slowness(BootTime now) const
{
    return 1 + (m_slowness - 1) * decay(m_slownessAt, now, s_slownessHalfLife);
}

double UpstreamModel::workFactor(BootTime now) const
{
    return m_workFactorAt ? 1 + (m_workFactor - 1) * decay(*m_workFactorAt, now, s_workFactorHalfLife) : 1;
}

bool UpstreamModel::hasServedKey(std::uint64_t keyHash) const
{
    return m_keys.count(keyHash) > 0;
}

void UpstreamModel::setColdUntil(BootTime until)
{
    m_coldUntil = std::max(m_coldUntil, until);
}

} // namespace Trefoil
