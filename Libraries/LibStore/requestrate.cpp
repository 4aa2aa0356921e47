#include <LibStore/requestrate.h>

#include <algorithm>
#include <cassert>

namespace Trefoil
{

RequestRate::RequestRate(double perSecond)
    : m_interval(static_cast<BootClock::rep>(1e9 / perSecond))
    , m_burst(std::chrono::seconds(1))
{
    assert(perSecond >= 1);
}

BootTime RequestRate::next(BootTime now) const
{
    const BootTime fullAfterwards = std::max(m_fullAt, now) + m_interval;
    return std::max(now, fullAfterwards - m_burst);
}

BootTime RequestRate::reserve(BootTime now)
{
    const BootTime at = next(now);
    m_fullAt = std::max(m_fullAt, now) + m_interval;
    return at;
}

} // namespace Trefoil
