#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace Trefoil
{

/// What the requests for one service want its slots for: how many there are of each rank, and how long they hold a slot.
/// Answers load beyond the slots by requests of several ranks: work of a low rank pays for the more urgent work that waits behind it.
/// Thread safety: one thread at a time.
class SlotDemand
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Counts a request that came in; 0 is the most urgent rank. Precondition: none.
    void recordArrival(std::int32_t priority);

    /// Takes the time for which a request held a slot. Precondition: none.
    void recordSlotTime(std::int32_t priority, Milliseconds time);

    /// Usual time that any request holds a slot; 0 before the first one. Precondition: none.
    Milliseconds slotTime() const
    {
        return m_slotTime;
    }

    /// Value of the requests that usual work of a rank keeps from its slot, in parts of the value of one of its own responses.
    /// It never falls from a rank to the next less urgent one, however short the work of that one is. Precondition: none.
    double displacedValue(std::int32_t priority) const;

private:
    struct Rank
    {
        /// Part of the arrivals.
        double share = 0;
        /// Usual time in a slot; 0 before the first one.
        Milliseconds slotTime{0};
    };

    std::map<std::int32_t, Rank> m_ranks;
    Milliseconds m_slotTime{0};
};

} // namespace Trefoil
