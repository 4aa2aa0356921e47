#include <LibSteering/remainingwork.h>

#include <LibSteering/requestcost.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace Trefoil
{

namespace
{

/// Expected rest of a request that began at an unknown time, in parts of its work. Long tails would make it longer, but a rest learned from measured
/// times contains queueing delays, and lost up to 0.13 of the worth in overload in the replay.
constexpr double s_residualRatio = 0.5;

} // namespace

RemainingWork::Token RemainingWork::recordStart(const RequestCost &cost, Milliseconds expectedWork, Milliseconds expectedWait, BootTime now)
{
    m_inFlight.emplace(++m_lastToken, InFlight{&cost, expectedWork, now + std::chrono::duration_cast<BootClock::duration>(expectedWait)});
    return m_lastToken;
}

void RemainingWork::recordEnd(Token token)
{
    m_inFlight.erase(token);
}

RemainingWork::Milliseconds RemainingWork::remaining(const InFlight &request, BootTime now)
{
    const Milliseconds elapsed = std::max(Milliseconds(0), Milliseconds(now - request.beginsAt));
    return request.expectedWork * request.cost->remainingRatio(elapsed / request.expectedWork);
}

RemainingWork::Milliseconds RemainingWork::ownWork(BootTime now) const
{
    Milliseconds sum(0);
    for (const auto &[token, request] : m_inFlight) {
        sum += remaining(request, now);
    }
    return sum;
}

RemainingWork::Milliseconds RemainingWork::wait(int slots, const Others &others, BootTime now) const
{
    const double whole = std::floor(others.count);
    const double fraction = others.count - whole;
    const auto count = static_cast<int>(whole);
    const Milliseconds low = waitBehind(slots, count, others, now);
    // The number of other requests decays smoothly between two reports.
    return low + (waitBehind(slots, count + 1, others, now) - low) * fraction;
}

RemainingWork::Milliseconds RemainingWork::waitBehind(int slots, int others, const Others &model, BootTime now) const
{
    const auto total = static_cast<int>(m_inFlight.size()) + others;
    if (total < slots) {
        return Milliseconds(0);
    }
    // Times at which the slots become free, the earliest one in front.
    std::vector<double> freeAt;
    freeAt.reserve(static_cast<std::size_t>(slots));
    std::vector<double> queued;
    const auto add = [&](double work) {
        if (static_cast<int>(freeAt.size()) < slots) {
            freeAt.push_back(work);
        } else {
            queued.push_back(work);
        }
    };
    std::vector<const InFlight *> ownQueued;
    for (const auto &[token, request] : m_inFlight) {
        if (request.beginsAt > now) {
            ownQueued.push_back(&request);
            continue;
        }
        add(remaining(request, now).count());
    }
    const int othersRunning = std::min(others, slots - static_cast<int>(freeAt.size()));
    for (int i = 0; i < others; ++i) {
        // The starts of the running ones are unknown, so that their rests are spread evenly around the mean.
        const double spread = (2.0 * i + 1) / std::max(1, othersRunning);
        add(model.work.count() * (i < othersRunning ? s_residualRatio * spread : 1));
    }
    for (const InFlight *request : ownQueued) {
        add(remaining(*request, now).count());
    }
    std::make_heap(freeAt.begin(), freeAt.end(), std::greater<>());
    for (const double work : queued) {
        std::pop_heap(freeAt.begin(), freeAt.end(), std::greater<>());
        freeAt.back() += work;
        std::push_heap(freeAt.begin(), freeAt.end(), std::greater<>());
    }
    return Milliseconds(freeAt.front());
}

} // namespace Trefoil
