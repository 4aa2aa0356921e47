#pragma once

#include <LibCore/bootclock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Trefoil
{

/// How many lines of one event were left out since its last summary.
struct FloodSummary
{
    std::string event;
    std::uint64_t suppressed = 0;
};

/// Lets the first lines of each event through and counts the rest of each second.
/// Thread safety: not safe; the log guards it with a mutex.
class FloodLimiter
{
public:
    /// Lines of one event that are written in full in each second.
    static constexpr std::uint64_t linesPerSecond = 20;
    /// Event names told apart; further ones share one count, so that memory stays bounded.
    static constexpr std::size_t maximumEvents = 256;

    /// Whether a line of this event may be written now. Precondition: now does not go back.
    bool admit(std::string_view event, BootTime now);

    /// The counts since the last summary, at most once a second; empty in between. Precondition: now does not go back.
    std::vector<FloodSummary> takeSummaries(BootTime now);

private:
    struct Window
    {
        BootTime start;
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::unordered_map<std::string, Window> m_windows;
    BootTime m_nextSummary{};
};

} // namespace Trefoil
