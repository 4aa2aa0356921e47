#include <LibSteering/slotdemand.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

using Milliseconds = SlotDemand::Milliseconds;

/// Weight of a new arrival in the shares of the ranks.
constexpr double s_arrivalWeight = 0.02;
/// Weight of a new sample of the slot time.
constexpr double s_slotTimeWeight = 0.05;

/// Value of a response to a request of a rank, relative to the most urgent one.
double rankValue(std::int32_t priority)
{
    return 1.0 / (1 + std::max(priority, 0));
}

void moveMean(Milliseconds &average, Milliseconds sample)
{
    average += (sample - average) * (average.count() <= 0 ? 1.0 : s_slotTimeWeight);
}

} // namespace

void SlotDemand::recordArrival(std::int32_t priority)
{
    const double weight = m_ranks.empty() ? 1.0 : s_arrivalWeight;
    m_ranks.try_emplace(priority);
    for (auto &[rank, demand] : m_ranks) {
        demand.share += weight * ((rank == priority ? 1.0 : 0.0) - demand.share);
    }
}

void SlotDemand::recordSlotTime(std::int32_t priority, Milliseconds time)
{
    moveMean(m_slotTime, time);
    moveMean(m_ranks[priority].slotTime, time);
}

double SlotDemand::displacedValue(std::int32_t priority) const
{
    double ofMoreUrgent = 0;
    double ofEqual = 0;
    // The relative slot time is at least 1 and at least that of any more urgent rank, so that no rank pays less than a more urgent one.
    double relativeSlotTime = 1;
    for (const auto &[rank, demand] : m_ranks) {
        if (rank > priority) {
            continue;
        }
        if (m_slotTime.count() > 0) {
            relativeSlotTime = std::max(relativeSlotTime, demand.slotTime / m_slotTime);
        }
        (rank == priority ? ofEqual : ofMoreUrgent) += demand.share * rankValue(rank) / rankValue(priority);
    }
    return ofEqual + relativeSlotTime * ofMoreUrgent;
}

} // namespace Trefoil
