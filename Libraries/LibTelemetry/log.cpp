#include <LibTelemetry/log.h>

#include <LibTelemetry/floodlimiter.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Trefoil
{

namespace
{

struct LogSettings
{
    LogLevel lowest = LogLevel::Info;
    std::string host;
    std::string zone;
};

LogSettings &settings()
{
    static LogSettings instance;
    return instance;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds);
}

struct GuardedFlood
{
    std::mutex mutex;
    FloodLimiter limiter;
};

GuardedFlood &guardedFlood()
{
    static GuardedFlood instance;
    return instance;
}

/// Lines that wait for a reader of standard output. A write never blocks: what doesn't fit is counted and reported later.
class Output
{
public:
    void add(const std::string &line)
    {
        if (m_pending.size() + line.size() > s_maximumPending) {
            ++m_dropped;
        } else {
            m_pending += line;
        }
        flush();
    }

    /// Lines dropped since the last call; 0 while there is no room to report them.
    std::uint64_t takeDropped()
    {
        return m_pending.size() > s_maximumPending / 2 ? 0 : std::exchange(m_dropped, 0);
    }

    void flush()
    {
        while (!m_pending.empty()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
                return;
            }
            // A pipe that is ready takes this many bytes without blocking.
            const ssize_t written = ::write(STDOUT_FILENO, m_pending.data(), std::min<std::size_t>(m_pending.size(), PIPE_BUF));
            if (written <= 0) {
                return;
            }
            m_pending.erase(0, static_cast<std::size_t>(written));
        }
    }

private:
    /// Some seconds of lines at the highest rate.
    static constexpr std::size_t s_maximumPending = std::size_t{256} * 1024;

    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

struct GuardedOutput
{
    std::mutex mutex;
    Output output;
};

GuardedOutput &guardedOutput()
{
    static GuardedOutput instance;
    return instance;
}

void writeLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line = {{"time", timestamp()}, {"level", levelName(level)}, {"host", settings().host}, {"zone", settings().zone}, {"event", event}};
    for (const auto &field : fields) {
        std::visit([&line, &field](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    // Invalid UTF-8 from outside is replaced, so that a line is always valid JSON.
    const std::string text = fmt::format("{}\n", line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    auto &guarded = guardedOutput();
    const std::lock_guard lock(guarded.mutex);
    guarded.output.add(text);
}

} // namespace

void configureLog(LogLevel lowest, const HostId &host, const ZoneId &zone)
{
    settings() = {lowest, host.value(), zone.value()};
}

void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < settings().lowest) {
        return;
    }
    writeDueLogSummaries();
    {
        auto &flood = guardedFlood();
        const std::lock_guard lock(flood.mutex);
        if (!flood.limiter.admit(event, BootClock::now())) {
            return;
        }
    }
    writeLine(level, event, fields);
}

void writeDueLogSummaries()
{
    std::vector<FloodSummary> summaries;
    {
        auto &flood = guardedFlood();
        const std::lock_guard lock(flood.mutex);
        summaries = flood.limiter.takeSummaries(BootClock::now());
    }
    std::uint64_t dropped = 0;
    {
        auto &guarded = guardedOutput();
        const std::lock_guard lock(guarded.mutex);
        guarded.output.flush();
        dropped = guarded.output.takeDropped();
    }
    if (dropped > 0) {
        writeLine(LogLevel::Warning, "log-lines-dropped", {{"count", static_cast<std::int64_t>(dropped)}});
    }
    for (const auto &summary : summaries) {
        writeLine(LogLevel::Warning, "log-lines-suppressed", {{"suppressedEvent", summary.event}, {"count", static_cast<std::int64_t>(summary.suppressed)}});
    }
}

} // namespace Trefoil
