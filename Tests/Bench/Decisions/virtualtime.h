#pragma once

#include <LibCore/bootclock.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Trefoil::Bench
{

/// Runs actions in the order of their virtual times. Thread safety: one thread.
class VirtualTime
{
public:
    using Action = std::function<void()>;

    explicit VirtualTime(BootTime start)
        : m_now(start)
    {
    }

    BootTime now() const
    {
        return m_now;
    }

    /// Precondition: delay is not negative.
    void after(std::chrono::nanoseconds delay, Action action)
    {
        m_events.push(Event{m_now + delay, m_sequence++, std::move(action)});
    }

    void runUntil(BootTime end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            m_now = m_events.top().time;
            const Action action = std::move(const_cast<Event &>(m_events.top()).action);
            m_events.pop();
            action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        BootTime time;
        std::uint64_t sequence = 0;
        Action action;

        friend bool operator<(const Event &a, const Event &b)
        {
            return std::make_pair(a.time, a.sequence) > std::make_pair(b.time, b.sequence);
        }
    };

    BootTime m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace Trefoil::Bench
