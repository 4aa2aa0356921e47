#include <LibSteering/remainingwork.h>

#include <LibSteering/requestcost.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Trefoil
{

namespace
{

/// Expected rest of a request that began at an unknown time, in parts of its work. Long tails would make it longer, but a rest learned from measured
/// times contains queueing delays, and lost 0.07 of the worth in overload in the replay.
constexpr double s_residualRatio = 0.5;

/// Times until the slots of an upstream become free, while requests are added in the order in which it serves them.
class SlotTimes
{
public:
    explicit SlotTimes(int slots)
        : m_slots(static_cast<std::size_t>(slots))
    {
        m_freeAt.reserve(m_slots);
    }

    int freeSlots() const
    {
        return static_cast<int>(m_slots - m_freeAt.size());
    }

    void add(double work)
    {
        if (m_freeAt.size() < m_slots) {
            m_freeAt.push_back(work);
            return;
        }
        // Slots are few, so that a search is cheaper than a heap.
        *std::min_element(m_freeAt.begin(), m_freeAt.end()) += work;
    }

    /// 0 while a slot is free.
    double firstFree() const
    {
        return freeSlots() > 0 ? 0 : *std::min_element(m_freeAt.begin(), m_freeAt.end());
    }

private:
    std::size_t m_slots;
    std::vector<double> m_freeAt;
};

} // namespace

RemainingWork::Token RemainingWork::recordStart(const RequestCost &cost, Milliseconds expectedWork, Milliseconds expectedWait, BootTime now)
{
    m_inFlight.push_back({++m_lastToken, &cost, expectedWork, now + std::chrono::duration_cast<BootClock::duration>(expectedWait)});
    return m_lastToken;
}

void RemainingWork::recordEnd(Token token)
{
    const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(), [token](const InFlight &request) { return request.token == token; });
    if (found != m_inFlight.end()) {
        m_inFlight.erase(found);
    }
}

RemainingWork::Milliseconds RemainingWork::remaining(const InFlight &request, BootTime now)
{
    const Milliseconds elapsed = std::max(Milliseconds(0), Milliseconds(now - request.beginsAt));
    return request.expectedWork * request.cost->remainingRatio(elapsed / request.expectedWork);
}

RemainingWork::Milliseconds RemainingWork::ownWork(BootTime now) const
{
    Milliseconds sum(0);
    for (const InFlight &request : m_inFlight) {
        sum += remaining(request, now);
    }
    return sum;
}

RemainingWork::Milliseconds RemainingWork::wait(int slots, const Others &others, BootTime now) const
{
    const double whole = std::floor(others.count);
    const double fraction = others.count - whole;
    if (static_cast<double>(m_inFlight.size()) + others.count <= slots - 1) {
        return Milliseconds(0);
    }
    SlotTimes times(slots);
    for (const InFlight &request : m_inFlight) {
        if (request.beginsAt <= now) {
            times.add(remaining(request, now).count());
        }
    }
    const int othersRunning = std::min(static_cast<int>(whole), times.freeSlots());
    for (int i = 0; i < static_cast<int>(whole); ++i) {
        // The starts of the running ones are unknown, so that their rests are spread evenly around the mean.
        const double spread = (2.0 * i + 1) / std::max(1, othersRunning);
        times.add(others.work.count() * (i < othersRunning ? s_residualRatio * spread : 1));
    }
    for (const InFlight &request : m_inFlight) {
        if (request.beginsAt > now) {
            times.add(remaining(request, now).count());
        }
    }
    const double low = times.firstFree();
    times.add(others.work.count() * (times.freeSlots() > 0 ? s_residualRatio : 1));
    // The number of other requests decays smoothly between two reports.
    return Milliseconds(low + (times.firstFree() - low) * fraction);
}

} // namespace Trefoil
