#include <LibHttp/memorybudget.h>

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace Trefoil
{

namespace
{

/// Part of the memory of a process that messages of others may take. The rest is for the program, its tables, the stacks of connections, and
/// bytes that the system holds. On the smallest host (160 MB) one body of 64 MiB fits, on one of 260 MB two do.
constexpr double s_messagePart = 0.6;
/// Parts of the budget that only small messages, and only these and responses, may take.
constexpr std::size_t s_smallReserveDivisor = 16;
constexpr std::size_t s_responseReserveDivisor = 16;

/// The default of the C library, which it would raise with each freed block.
constexpr int s_smallestLargeBlock = 128 * 1024;

std::size_t largePart(std::size_t bytes)
{
    return bytes - std::min(bytes, s_smallMessageBytes);
}

std::size_t indexOf(MemoryUse use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

std::string_view toText(MemoryUse use)
{
    return use == MemoryUse::Request ? "request" : "response";
}

MemoryLimits memoryLimitsFor(std::size_t processBytes)
{
    MemoryLimits limits;
    limits.total = static_cast<std::size_t>(static_cast<double>(processBytes) * s_messagePart);
    limits.large = limits.total - limits.total / s_smallReserveDivisor;
    limits.largeRequests = limits.large - limits.total / s_responseReserveDivisor;
    return limits;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits)
    : m_limits(limits)
{
}

void MemoryBudget::setRefusalObserver(std::function<void(const MemoryRefusal &refusal)> observer)
{
    m_observer = std::move(observer);
}

void MemoryBudget::recordRefusal(MemoryUse use, std::size_t wantedBytes)
{
    ++m_refusals[indexOf(use)];
    if (m_observer) {
        m_observer({use, wantedBytes, m_reserved});
    }
}

bool MemoryBudget::hasRoom(MemoryUse use, std::size_t from, std::size_t to) const
{
    if (to <= from) {
        return true;
    }
    if (m_reserved - from + to > m_limits.total) {
        return false;
    }
    const std::size_t limit = use == MemoryUse::Request ? m_limits.largeRequests : m_limits.large;
    return largePart(to) == largePart(from) || m_large - largePart(from) + largePart(to) <= limit;
}

bool MemoryBudget::isQueueAhead(MemoryUse use) const
{
    return !m_waiting[indexOf(MemoryUse::Response)].empty() || (use == MemoryUse::Request && !m_waiting[indexOf(MemoryUse::Request)].empty());
}

void MemoryBudget::apply(std::size_t from, std::size_t to)
{
    m_reserved = m_reserved - from + to;
    m_large = m_large - largePart(from) + largePart(to);
}

void MemoryBudget::grantWaiting()
{
    bool isLargeBlocked = false;
    for (const MemoryUse use : {MemoryUse::Response, MemoryUse::Request}) {
        auto &waiting = m_waiting[indexOf(use)];
        for (auto position = waiting.begin(); position != waiting.end();) {
            RoomRequest &request = **position;
            MemoryReservation &reservation = request.m_reservation;
            const bool isLarge = largePart(request.m_bytes) != largePart(reservation.m_bytes);
            if ((isLarge && isLargeBlocked) || !hasRoom(use, reservation.m_bytes, request.m_bytes)) {
                isLargeBlocked = isLargeBlocked || isLarge;
                ++position;
                continue;
            }
            apply(reservation.m_bytes, request.m_bytes);
            reservation.m_bytes = request.m_bytes;
            request.m_isGranted = true;
            position = waiting.erase(position);
            request.m_granted();
        }
    }
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
    : m_budget(std::move(budget))
    , m_use(use)
{
}

MemoryReservation::~MemoryReservation()
{
    tryResize(0);
}

bool MemoryReservation::tryResize(std::size_t bytes)
{
    const bool isLargerThanSmall = bytes > m_bytes && largePart(bytes) != largePart(m_bytes);
    if ((isLargerThanSmall && m_budget->isQueueAhead(m_use)) || !m_budget->hasRoom(m_use, m_bytes, bytes)) {
        return false;
    }
    const bool isSmaller = bytes < m_bytes;
    m_budget->apply(m_bytes, bytes);
    m_bytes = bytes;
    if (isSmaller) {
        m_budget->grantWaiting();
    }
    return true;
}

bool MemoryReservation::canEverHold(std::size_t bytes) const
{
    const MemoryLimits &limits = m_budget->limits();
    return bytes <= limits.total && largePart(bytes) <= (m_use == MemoryUse::Request ? limits.largeRequests : limits.large);
}

RoomRequest::RoomRequest(MemoryReservation &reservation, std::size_t bytes, std::function<void()> granted)
    : m_reservation(reservation)
    , m_bytes(bytes)
    , m_granted(std::move(granted))
{
    reservation.budget().m_waiting[indexOf(reservation.use())].push_back(this);
}

RoomRequest::~RoomRequest()
{
    if (m_isGranted) {
        return;
    }
    MemoryBudget &budget = m_reservation.budget();
    budget.m_waiting[indexOf(m_reservation.use())].remove(this);
    // The next in the queue may want less.
    budget.grantWaiting();
}

void returnLargeBlocksToSystem()
{
    ::mallopt(M_MMAP_THRESHOLD, s_smallestLargeBlock);
}

std::size_t grownCapacity(std::size_t size, std::size_t capacity, std::size_t step, std::size_t bodyLimit)
{
    const std::size_t needed = size + step;
    if (needed <= capacity) {
        return capacity;
    }
    return std::max(needed, std::min(2 * capacity, bodyLimit));
}

} // namespace Trefoil
