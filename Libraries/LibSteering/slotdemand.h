#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace Trefoil
{

/// Demand for the slots of one service: the share of requests of each rank, and how long they hold a slot.
/// Handles load beyond the slots by requests of several ranks: a request of a low rank pays for the more urgent requests that wait behind it.
/// Thread safety: one thread at a time.
class SlotDemand
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Records the arrival of a request; 0 is the most urgent rank. Precondition: none.
    void recordArrival(std::int32_t priority);

    /// Records the time for which a request held a slot. Precondition: none.
    void recordSlotTime(std::int32_t priority, Milliseconds time);

    /// Mean time for which a request holds a slot; 0 before the first sample. Precondition: none.
    Milliseconds slotTime() const
    {
        return m_slotTime;
    }

    /// Value of the requests that a typical request of a rank keeps from its slot, in fractions of the value of one of its own responses.
    /// It never decreases from a rank to the next less urgent one, however short the requests of that one are. Precondition: none.
    double displacedValue(std::int32_t priority) const;

private:
    struct Rank
    {
        /// Fraction of the arrivals.
        double share = 0;
        /// Mean time in a slot; 0 before the first sample.
        Milliseconds slotTime{0};
    };

    std::map<std::int32_t, Rank> m_ranks;
    Milliseconds m_slotTime{0};
};

} // namespace Trefoil
