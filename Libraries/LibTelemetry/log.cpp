#include <LibTelemetry/log.h>

#include <LibTelemetry/floodlimiter.h>

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>

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

void writeLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line = {{"time", timestamp()}, {"level", levelName(level)}, {"host", settings().host}, {"zone", settings().zone}, {"event", event}};
    for (const auto &field : fields) {
        std::visit([&line, &field](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    // Invalid UTF-8 from outside is replaced, so that a line is always valid JSON.
    fmt::print(stdout, "{}\n", line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    std::fflush(stdout);
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
    for (const auto &summary : summaries) {
        writeLine(LogLevel::Warning, "log-lines-suppressed", {{"suppressedEvent", summary.event}, {"count", static_cast<std::int64_t>(summary.suppressed)}});
    }
}

} // namespace Trefoil
