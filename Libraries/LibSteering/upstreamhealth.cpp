#include <LibSteering/movingaverage.h>
#include <LibSteering/upstreamhealth.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

namespace
{

/// The average covers about the last ten requests. A host sends an upstream a few requests per second, so this covers a few seconds.
constexpr float s_rateAlpha = 0.1F;
constexpr float s_latencyAlpha = 0.1F;
constexpr float s_minimumQuality = 0.01F;
constexpr std::int32_t s_failuresToEject = 5;
/// Error rate from which an upstream is ejected although single requests succeed in between.
constexpr float s_errorRateToEject = 0.6F;
/// Measurements have full weight up to this age, and lose it linearly over the same time again.
constexpr std::chrono::nanoseconds s_maximumFreshAge = std::chrono::seconds(10);
constexpr std::chrono::nanoseconds s_firstProbeDelay = std::chrono::seconds(1);
constexpr std::int32_t s_maximumProbeDoublings = 3;
/// Time, from when the next probe is due, for which a probe whose end was never recorded blocks it.
constexpr std::chrono::nanoseconds s_probeTimeout = std::chrono::seconds(15);

std::int64_t nanosecondsOf(BootTime time)
{
    return time.time_since_epoch().count();
}

} // namespace

UpstreamHealth::UpstreamHealth(std::shared_ptr<UpstreamGroup> group)
    : m_group(std::move(group))
{
    assert(m_group);
}

void UpstreamHealth::record(UpstreamOutcome outcome, std::chrono::nanoseconds latency, BootTime now)
{
    if (outcome == UpstreamOutcome::Cancelled) {
        abandonProbe();
        return;
    }
    // Averages that have lost all weight must not regain it with the first new sample.
    if (freshness(now) <= 0) {
        m_errorRate.store(0);
        m_shedRate.store(0);
        m_latencySeconds.store(0);
    }
    m_measuredAtNanoseconds.store(nanosecondsOf(now));
    const bool failed = outcome != UpstreamOutcome::Success && outcome != UpstreamOutcome::Shed;
    moveAverage(m_errorRate, failed ? 1.0F : 0.0F, s_rateAlpha);
    moveAverage(m_shedRate, outcome == UpstreamOutcome::Shed ? 1.0F : 0.0F, s_rateAlpha);
    if (outcome == UpstreamOutcome::Success) {
        recordSuccess(latency);
    } else if (failed) {
        recordFailure(outcome, now);
    }
    m_probing.store(false);
}

void UpstreamHealth::recordReport(float load, BootTime measuredAt)
{
    m_reportedLoad.store(load);
    m_reportedAtNanoseconds.store(nanosecondsOf(measuredAt));
}

float UpstreamHealth::quality(BootTime now) const
{
    const float successRate = 1.0F - std::min(1.0F, m_errorRate.load(std::memory_order_relaxed));
    const float acceptanceRate = 1.0F - std::min(1.0F, m_shedRate.load(std::memory_order_relaxed));
    const float observed = std::max(s_minimumQuality, successRate * successRate * acceptanceRate);
    const float weight = freshness(now);
    return observed * weight + (1.0F - weight);
}

float UpstreamHealth::relativeLatency(BootTime now) const
{
    const float upstreamMean = m_latencySeconds.load(std::memory_order_relaxed);
    const float groupMean = std::chrono::duration<float>(m_group->meanLatency()).count();
    if (upstreamMean <= 0 || groupMean <= 0) {
        return 1.0F;
    }
    const float weight = freshness(now);
    return upstreamMean / groupMean * weight + (1.0F - weight);
}

float UpstreamHealth::reportedLoad(BootTime now) const
{
    constexpr float maximumShedRate = 0.05F;
    const bool stale = nanosecondsOf(now) - m_reportedAtNanoseconds.load() > s_maximumFreshAge.count();
    if (stale || m_shedRate.load() * freshness(now) > maximumShedRate) {
        return -1.0F;
    }
    return m_reportedLoad.load();
}

float UpstreamHealth::lastReportedLoad() const
{
    return m_reportedLoad.load(std::memory_order_relaxed);
}

bool UpstreamHealth::isEjected() const
{
    return m_ejected.load(std::memory_order_acquire);
}

bool UpstreamHealth::tryBeginProbe(BootTime now)
{
    std::int64_t due = m_nextProbeNanoseconds.load();
    if (!isEjected() || nanosecondsOf(now) < due) {
        return false;
    }
    if (m_probing.load() && nanosecondsOf(now) - due < s_probeTimeout.count()) {
        return false;
    }
    // The exchange succeeds for one thread only. A failed probe sets its own next time.
    if (!m_nextProbeNanoseconds.compare_exchange_strong(due, nanosecondsOf(now) + s_firstProbeDelay.count())) {
        return false;
    }
    m_probing.store(true);
    return true;
}

void UpstreamHealth::abandonProbe()
{
    m_probing.store(false);
}

void UpstreamHealth::readmit()
{
    if (m_ejected.exchange(false)) {
        m_consecutiveFailures.store(0);
        m_failedProbes.store(0);
        m_errorRate.store(s_errorRateToEject / 2);
        m_group->readmit();
    }
}

void UpstreamHealth::recordSuccess(std::chrono::nanoseconds latency)
{
    m_consecutiveFailures.store(0);
    moveAverageOrStart(m_latencySeconds, std::chrono::duration<float>(latency).count(), s_latencyAlpha);
    m_group->recordLatency(latency);
    if (m_probing.load()) {
        readmit();
    }
}

void UpstreamHealth::recordFailure(UpstreamOutcome outcome, BootTime now)
{
    // A failed connection shows that the upstream is unreachable, and costs the next request up to 1 s, so a single one ejects. The first probe is
    // due 1 s later.
    const std::int32_t severity = outcome == UpstreamOutcome::ConnectFailed ? s_failuresToEject : 1;
    const std::int32_t failures = m_consecutiveFailures.fetch_add(severity) + severity;
    if (isEjected()) {
        const std::int32_t doublings = m_probing.load() ? std::min(m_failedProbes.fetch_add(1) + 1, s_maximumProbeDoublings) : 0;
        if (doublings > 0) {
            m_nextProbeNanoseconds.store(nanosecondsOf(now) + (s_firstProbeDelay.count() << doublings));
        }
        return;
    }
    if (failures < s_failuresToEject && m_errorRate.load() < s_errorRateToEject) {
        return;
    }
    if (!m_group->tryEject()) {
        return;
    }
    m_nextProbeNanoseconds.store(nanosecondsOf(now) + s_firstProbeDelay.count());
    m_failedProbes.store(0);
    if (m_ejected.exchange(true)) {
        m_group->readmit();
    }
}

float UpstreamHealth::freshness(BootTime now) const
{
    const std::int64_t age = nanosecondsOf(now) - m_measuredAtNanoseconds.load(std::memory_order_relaxed);
    if (age <= s_maximumFreshAge.count()) {
        return 1.0F;
    }
    const float fading = static_cast<float>(age - s_maximumFreshAge.count()) / static_cast<float>(s_maximumFreshAge.count());
    return std::max(0.0F, 1.0F - fading);
}

} // namespace Trefoil
