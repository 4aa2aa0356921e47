#include <LibSteering/movingaverage.h>
#include <LibSteering/upstreamgroup.h>

#include <cassert>

namespace Trefoil
{

namespace
{

/// The average covers about a hundred responses, so that one slow upstream does not dominate it.
constexpr float s_latencyAlpha = 0.01F;

} // namespace

bool UpstreamGroup::tryEject()
{
    std::int32_t ejected = m_ejected.load();
    do {
        if ((ejected + 1) * 2 > m_upstreamCount.load()) {
            return false;
        }
    } while (!m_ejected.compare_exchange_weak(ejected, ejected + 1));
    return true;
}

void UpstreamGroup::readmit()
{
    [[maybe_unused]] const std::int32_t before = m_ejected.fetch_sub(1);
    assert(before > 0);
}

void UpstreamGroup::setUpstreamCount(std::int32_t count)
{
    assert(count >= 0);
    m_upstreamCount.store(count);
}

bool UpstreamGroup::hasTooManyEjected() const
{
    return m_ejected.load() * 2 > m_upstreamCount.load();
}

std::int32_t UpstreamGroup::ejected() const
{
    return m_ejected.load();
}

void UpstreamGroup::recordLatency(std::chrono::nanoseconds latency)
{
    moveAverageOrStart(m_meanLatencySeconds, std::chrono::duration<float>(latency).count(), s_latencyAlpha);
}

std::chrono::nanoseconds UpstreamGroup::meanLatency() const
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<float>(m_meanLatencySeconds.load()));
}

} // namespace Trefoil
