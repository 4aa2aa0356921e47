#include "upstream.h"

namespace Trefoil::Review
{

namespace
{

/// As long as upstreams of the deployment keep idle connections.
constexpr milliseconds s_idleLimit{10000};
constexpr int s_queue = 12;
constexpr std::size_t s_largestKeptBody = 4096;
constexpr milliseconds s_defaultDeadline{60000};

std::string response(const std::string &status, const Message &request, const std::string &headers, const std::string &body)
{
    const std::string head = "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.header("request-id") + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return request.startLine.rfind("HEAD ", 0) == 0 ? head : head + body;
}

} // namespace

Upstream::Upstream(const std::string &ip, std::string id, milliseconds work, Record &record)
    : m_id(std::move(id))
    , m_work(work)
    , m_record(record)
    , m_listener(ip, [this](Connection &connection) { serve(connection); })
{
}

void Upstream::end()
{
    const std::lock_guard lock(m_mutex);
    m_hasEnded = true;
    m_changed.notify_all();
}

void Upstream::startAgain()
{
    const std::lock_guard lock(m_mutex);
    m_hasEnded = false;
}

std::vector<Run> Upstream::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void Upstream::serve(Connection &connection)
{
    while (const auto request = connection.read(s_idleLimit)) {
        const std::string bytes = answer(*request);
        if (bytes.empty() || !connection.send(bytes)) {
            return;
        }
    }
}

bool Upstream::hasEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_hasEnded;
}

Upstream::Turn Upstream::awaitSlot(Clock::time_point deadline)
{
    std::unique_lock lock(m_mutex);
    if (m_running >= s_slots && m_waiting >= s_queue) {
        return Turn::QueueFull;
    }
    ++m_waiting;
    const bool hasSlot = m_changed.wait_until(lock, deadline, [this] { return m_hasEnded || m_running < s_slots; });
    --m_waiting;
    m_running += hasSlot ? 1 : 0;
    return hasSlot ? Turn::Granted : Turn::DeadlinePassed;
}

std::string Upstream::answer(const Message &request)
{
    if (hasEnded()) {
        return {};
    }
    if (request.header("expect-instance") != m_id) {
        return response("421 Misdirected Request", request, "Instance-Id: " + m_id + "\r\n", "");
    }
    const std::string timeLeft = request.header("deadline-ms");
    const auto deadline = Clock::now() + (timeLeft.empty() ? s_defaultDeadline : milliseconds(std::stoll(timeLeft)));
    if (awaitSlot(deadline) != Turn::Granted) {
        m_record.add(m_id + " rejects " + request.header("request-id"));
        return response("503 Service Unavailable", request, "Not-Executed: 1\r\n", "");
    }
    std::unique_lock lock(m_mutex);
    const std::string method = request.startLine.substr(0, request.startLine.find(' '));
    const std::string body = request.body.size() <= s_largestKeptBody ? request.body : std::string();
    m_runs.push_back({request.header("request-id"), method, request.secondWord(), body, request.body.size(), m_record.elapsed()});
    m_record.add(m_id + " runs " + request.header("request-id") + ": " + method + " " + request.secondWord() + " with " + std::to_string(request.body.size())
        + " bytes");
    const auto end = Clock::now() + m_work;
    m_changed.wait_until(lock, std::min(end, deadline), [this] { return m_hasEnded; });
    --m_running;
    m_changed.notify_all();
    if (m_hasEnded) {
        m_record.add(m_id + " ends while it works on " + request.header("request-id"));
        return {};
    }
    if (end > deadline) {
        return response("504 Gateway Timeout", request, "Server-Stamp: stamp\r\n", "");
    }
    const std::string load = "Server-Load: " + std::to_string(m_running + 1) + "," + std::to_string(m_waiting) + "," + std::to_string(s_slots) + "\r\n";
    return response("200 OK", request, "Server-Stamp: stamp\r\n" + load, "answer to " + request.header("request-id"));
}

} // namespace Trefoil::Review
