#pragma once

#include <LibCore/bootclock.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

namespace Trefoil
{

/// Delays between attempts: uniform between zero and a ceiling that doubles with each failure, so that hosts that failed
/// at the same moment do not come back at the same moment.
/// Thread safety: one thread at a time.
class Backoff
{
public:
    /// Precondition: first and longest are positive.
    Backoff(BootClock::duration first, BootClock::duration longest)
        : m_first(first)
        , m_longest(longest)
        , m_ceiling(first)
    {
    }

    BootClock::duration next(pcg32 &random)
    {
        const auto ceiling = m_ceiling;
        m_ceiling = std::min(m_ceiling * 2, m_longest);
        return BootClock::duration(std::uniform_int_distribution<BootClock::rep>(0, ceiling.count())(random));
    }

    void reset()
    {
        m_ceiling = m_first;
    }

private:
    BootClock::duration m_first;
    BootClock::duration m_longest;
    BootClock::duration m_ceiling;
};

} // namespace Trefoil
