#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

namespace Trefoil
{

/// What the bytes of a reservation are held for.
enum class MemoryUse {
    Request,
    Response,
};

/// The use's name in logs and metrics. Precondition: none. Thread safety: safe from any thread.
std::string_view toText(MemoryUse use);

/// The first bytes of each message, with its head. They count against the whole budget only, so that small messages never wait for large ones.
constexpr std::size_t s_smallMessageBytes = std::size_t{64} * 1024;

/// Bounds on the bytes that a host holds for others; each bound includes the ones below it.
struct MemoryLimits
{
    /// All messages.
    std::size_t total = std::size_t{68} * 1024 * 1024;
    /// What messages have beyond their first s_smallMessageBytes; the rest of the total is left to small messages.
    std::size_t large = std::size_t{64} * 1024 * 1024;
    /// As large, when a request asks for more; the rest is left to responses, since these complete requests whose bodies are held.
    std::size_t largeRequests = std::size_t{60} * 1024 * 1024;
};

/// The limits of a process that may use that many bytes. Precondition: none. Thread safety: safe from any thread.
MemoryLimits memoryLimitsFor(std::size_t processBytes);

class MemoryReservation;

/// A message for which there was no room.
struct MemoryRefusal
{
    MemoryUse use = MemoryUse::Request;
    std::size_t wantedBytes = 0;
    std::size_t reservedBytes = 0;
};

/// The bytes that a host holds for others: bodies and heads that are read, wait or are sent. Large messages get their room in the order in
/// which they asked for it, responses before requests.
/// Thread safety: one thread at a time.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits);
    ~MemoryBudget() = default;
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Precondition: none.
    const MemoryLimits &limits() const
    {
        return m_limits;
    }

    /// Bytes of all reservations. Precondition: none.
    std::size_t reservedBytes() const
    {
        return m_reserved;
    }

    /// Messages that were given up because there was no room for them. Precondition: none.
    std::uint64_t refusals(MemoryUse use) const
    {
        return m_refusals[static_cast<std::size_t>(use)];
    }

    /// Sets what is called for each refusal; may be empty. Precondition: the observer outlives the budget.
    void setRefusalObserver(std::function<void(const MemoryRefusal &refusal)> observer);

    /// Counts a message that is given up. Precondition: none.
    void recordRefusal(MemoryUse use, std::size_t wantedBytes);

private:
    friend class MemoryReservation;
    friend class RoomRequest;

    /// Whether a reservation of that use may change its size; a smaller size is always allowed.
    bool hasRoom(MemoryUse use, std::size_t from, std::size_t to) const;
    bool isQueueAhead(MemoryUse use) const;
    void apply(std::size_t from, std::size_t to);
    /// Grants what fits, in order. Small messages pass large ones that wait.
    void grantWaiting();

    MemoryLimits m_limits;
    std::size_t m_reserved = 0;
    std::size_t m_large = 0;
    std::array<std::uint64_t, 2> m_refusals{};
    std::function<void(const MemoryRefusal &refusal)> m_observer;
    std::array<std::list<class RoomRequest *>, 2> m_waiting;
};

/// The part of one message in the budget; given back at the end of its lifetime. Thread safety: as the budget.
class MemoryReservation
{
public:
    /// Precondition: budget is not null.
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse use);
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Changes the size. False, with the size as before, when there is no room or others wait for it. Precondition: none.
    bool tryResize(std::size_t bytes);

    /// Whether there would be room for that many bytes if no other message was held. Precondition: none.
    bool canEverHold(std::size_t bytes) const;

    /// Precondition: none.
    std::size_t bytes() const
    {
        return m_bytes;
    }

    /// Precondition: none.
    MemoryUse use() const
    {
        return m_use;
    }

    /// Precondition: none.
    MemoryBudget &budget() const
    {
        return *m_budget;
    }

private:
    friend class MemoryBudget;
    friend class RoomRequest;

    std::shared_ptr<MemoryBudget> m_budget;
    MemoryUse m_use;
    std::size_t m_bytes = 0;
};

/// A place in the queue for room; given up at the end of its lifetime. Thread safety: as the budget.
class RoomRequest
{
public:
    /// Calls granted once, from within a change of another reservation, after reservation got that many bytes.
    /// Preconditions: reservation.tryResize(bytes) failed; reservation outlives the request.
    RoomRequest(MemoryReservation &reservation, std::size_t bytes, std::function<void()> granted);
    ~RoomRequest();
    RoomRequest(const RoomRequest &) = delete;
    RoomRequest &operator=(const RoomRequest &) = delete;

    /// Precondition: none.
    bool isGranted() const
    {
        return m_isGranted;
    }

private:
    friend class MemoryBudget;

    MemoryReservation &m_reservation;
    std::size_t m_bytes;
    std::function<void()> m_granted;
    bool m_isGranted = false;
};

/// Makes the memory of large messages return to the system when they end. The allocator would otherwise keep blocks of up to 32 MB for later ones,
/// and the memory of the process would exceed what is reserved. Precondition: the process has no other threads yet.
void returnLargeBlocksToSystem();

/// Capacity of a body without a declared length before up to step more bytes are added: doubled, and at most the limit of the body.
/// Precondition: none. Thread safety: safe from any thread.
std::size_t grownCapacity(std::size_t size, std::size_t capacity, std::size_t step, std::size_t bodyLimit);

} // namespace Trefoil
