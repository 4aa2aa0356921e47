#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace Trefoil
{

/// Counts this host's relays to one target that have not ended. Kept over heartbeat rounds.
/// Thread safety: safe from any thread; lock-free.
class RelayCounter
{
public:
    std::int32_t open() const
    {
        return m_open.load(std::memory_order_relaxed);
    }

private:
    friend class RelayPlace;
    std::atomic<std::int32_t> m_open{0};
};

/// One relay that is under way, until it is destroyed. Thread safety: one thread at a time.
class RelayPlace
{
public:
    /// Precondition: counter is not null.
    explicit RelayPlace(std::shared_ptr<RelayCounter> counter)
        : m_counter(std::move(counter))
    {
        m_counter->m_open.fetch_add(1, std::memory_order_relaxed);
    }

    ~RelayPlace()
    {
        if (m_counter) {
            m_counter->m_open.fetch_sub(1, std::memory_order_relaxed);
        }
    }

    RelayPlace(RelayPlace &&) noexcept = default;
    RelayPlace &operator=(RelayPlace &&) = delete;
    RelayPlace(const RelayPlace &) = delete;
    RelayPlace &operator=(const RelayPlace &) = delete;

private:
    std::shared_ptr<RelayCounter> m_counter;
};

/// Free slots of a target now, as far as this host knows: those of its last report, less the relays that began since and have not ended.
/// A slot serves many requests between two reports, so relays that ended no longer count.
class ReportedSlots
{
public:
    /// Precondition: counter is not null; the report has just arrived.
    ReportedSlots(std::int32_t reported, std::shared_ptr<RelayCounter> counter)
        : m_reported(reported)
        , m_openAtReport(counter->open())
        , m_counter(std::move(counter))
    {
    }

    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    std::int32_t free() const
    {
        const std::int32_t begun = m_counter->open() - m_openAtReport;
        return m_reported - (begun > 0 ? begun : 0);
    }

    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    RelayPlace begin() const
    {
        return RelayPlace(m_counter);
    }

private:
    std::int32_t m_reported;
    std::int32_t m_openAtReport;
    std::shared_ptr<RelayCounter> m_counter;
};

} // namespace Trefoil
