#pragma once

#include <LibCore/strongid.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// Structured log: one JSON object a line on standard output.
namespace Trefoil
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line. Never a secret, never a caller's body.
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Sets the lowest level that is written and what every line carries.
/// Precondition: called before other threads log. Thread safety: not safe beside writeLog().
void configureLog(LogLevel lowest, const HostId &host, const ZoneId &zone);

/// Writes one line: time, level, host, availability zone, event name, then the fields. Of one event 20 lines are
/// written in a second; the rest is counted and reported by one line "log-lines-suppressed" after that second. It never
/// blocks: while nobody reads standard output, lines wait in a bounded buffer, and those that don't fit are counted and
/// reported by "log-lines-dropped".
/// Precondition: event is a constant name such as "lease-expired". Thread safety: safe from any thread.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes the summaries that are due. Every writeLog() does so too; a timer that calls this once a second also
/// reports a flood that has ended. Precondition: none. Thread safety: safe from any thread.
void writeDueLogSummaries();

} // namespace Trefoil
