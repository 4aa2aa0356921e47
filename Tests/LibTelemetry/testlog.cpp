#include <LibTelemetry/log.h>

#include <chrono>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace Trefoil;

namespace
{

std::string readAvailable(int descriptor)
{
    std::string text;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::read(descriptor, buffer, sizeof buffer)) > 0) {
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
}

} // namespace

// Guards against a reader of the log that stands still and stops the process with it, and against lines that are cut.
Test(Log, readerThatStandsStill)
{
    int ends[2];
    cr_assert_eq(::pipe(ends), 0);
    const int output = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    configureLog(LogLevel::Info, HostId("h"), ZoneId("z"));
    const std::string filler(2000, 'x');
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 1000; ++i) {
        // Each event has a limit of its own, so that the flood limit doesn't answer for the buffer.
        writeLog(LogLevel::Info, "event-" + std::to_string(i % 200), {{"filler", filler}});
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    std::string text = readAvailable(ends[0]);
    for (int i = 0; i < 200; ++i) {
        writeDueLogSummaries();
        text += readAvailable(ends[0]);
    }
    ::dup2(output, STDOUT_FILENO);
    cr_assert(elapsed < std::chrono::seconds(5));
    std::istringstream lines(text);
    std::string line;
    std::int64_t count = 0;
    std::int64_t dropped = 0;
    while (std::getline(lines, line)) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        cr_assert_not(parsed.is_discarded(), "%s", line.c_str());
        ++count;
        dropped += parsed.at("event") == "log-lines-dropped" ? parsed.at("count").get<std::int64_t>() : 0;
    }
    cr_assert(dropped > 0, "the buffer never ran full");
    cr_assert(count >= 100);
}
