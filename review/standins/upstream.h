#pragma once

#include "connection.h"

#include <condition_variable>
#include <vector>

namespace Trefoil::Review
{

/// One request that an upstream began to work on.
struct Run
{
    std::string id;
    std::string method;
    std::string target;
    /// Left out when it is large.
    std::string body;
    std::size_t bodyBytes = 0;
    milliseconds begunAt{0};
};

/// Stand-in for a sound upstream: works on a few requests at a time, queues some more and rejects the rest, refuses requests for another
/// upstream, and stops work at the deadline. Thread safety: safe from any thread.
class Upstream
{
public:
    /// Precondition: the record lives until the process ends.
    Upstream(const std::string &ip, std::string id, milliseconds work, Record &record);

    /// The process ends: connections are closed without a response, also those to come. Precondition: none.
    void end();

    /// The process starts again at its address. Precondition: it has ended.
    void startAgain();

    /// Requests that ran. Precondition: none.
    std::vector<Run> runs() const;

    const std::string &id() const
    {
        return m_id;
    }
    const std::string &address() const
    {
        return m_listener.address();
    }

    static constexpr int s_slots = 4;

private:
    enum class Turn {
        Granted,
        QueueFull,
        DeadlinePassed,
    };

    bool hasEnded() const;
    void serve(Connection &connection);
    std::string answer(const Message &request);
    Turn awaitSlot(Clock::time_point deadline);

    std::string m_id;
    milliseconds m_work;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hasEnded = false;
    int m_running = 0;
    int m_waiting = 0;
    std::vector<Run> m_runs;
    /// Last, since it serves connections at once.
    Listener m_listener;
};

} // namespace Trefoil::Review
