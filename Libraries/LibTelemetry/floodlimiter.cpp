#include <LibTelemetry/floodlimiter.h>

#include <iterator>

namespace Trefoil
{

namespace
{

constexpr std::chrono::seconds windowLength{1};
constexpr const char *sharedEvent = "other";

} // namespace

bool FloodLimiter::admit(std::string_view event, BootTime now)
{
    std::string name(event);
    if (m_windows.find(name) == m_windows.end() && m_windows.size() >= maximumEvents) {
        name = sharedEvent;
    }
    auto &window = m_windows.try_emplace(name, Window{now}).first->second;
    if (now >= window.start + windowLength) {
        window.start = now;
        window.written = 0;
    }
    if (window.written < linesPerSecond) {
        ++window.written;
        return true;
    }
    ++window.suppressed;
    return false;
}

std::vector<FloodSummary> FloodLimiter::takeSummaries(BootTime now)
{
    std::vector<FloodSummary> summaries;
    if (now < m_nextSummary) {
        return summaries;
    }
    m_nextSummary = now + windowLength;
    for (auto position = m_windows.begin(); position != m_windows.end();) {
        auto &window = position->second;
        if (window.suppressed > 0) {
            summaries.push_back({position->first, window.suppressed});
            window.suppressed = 0;
        }
        const bool isOver = now >= window.start + windowLength;
        position = isOver ? m_windows.erase(position) : std::next(position);
    }
    return summaries;
}

} // namespace Trefoil
