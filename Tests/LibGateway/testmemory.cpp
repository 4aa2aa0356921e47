#include "memoryscenario.h"
#include <LibHttp/memorybudget.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t s_megabyte = 1000000;
constexpr std::size_t s_mebibyte = std::size_t{1024} * 1024;
/// Memory of a host for all but messages: 40 % of its limit. Stacks, buffers, callers and upstream of the scenario take from it; 15 MB
/// beside that are left for the program and its tables.
constexpr double s_otherPart = 0.4;
constexpr std::size_t s_programBytes = 15 * s_megabyte;

struct MemoryCase
{
    char name[40];
    MemoryScenario scenario;
    /// Of the large requests, at least this many are answered 200.
    int served;
};

MemoryScenario uploads(double memory, int callers, BodyShape shape)
{
    MemoryScenario scenario;
    scenario.memory = memory;
    scenario.callers = callers;
    scenario.requestBytes = 60 * s_mebibyte;
    scenario.requestShape = shape;
    scenario.work = 300ms;
    return scenario;
}

MemoryScenario endless(double memory, int callers)
{
    MemoryScenario scenario;
    scenario.memory = memory;
    scenario.callers = 0;
    scenario.endlessCallers = callers;
    scenario.timeout = 6000ms;
    return scenario;
}

MemoryScenario downloads(double memory, int callers, BodyShape shape, int endlessCallers)
{
    MemoryScenario scenario;
    scenario.memory = memory;
    scenario.callers = callers;
    scenario.responseBytes = 8 * s_mebibyte;
    scenario.responseShape = shape;
    scenario.readBytesPerSecond = 8 * s_mebibyte;
    scenario.endlessCallers = endlessCallers;
    scenario.arrivalInterval = 30ms;
    scenario.timeout = 6000ms;
    return scenario;
}

std::string textOf(const MemoryOutcome &outcome)
{
    std::string statuses;
    for (const auto &[status, count] : outcome.statuses) {
        statuses += fmt::format(" {}x{}", count, status);
    }
    for (const auto &[status, count] : outcome.endlessStatuses) {
        statuses += fmt::format(" endless {}x{}", count, status);
    }
    return fmt::format("peak {} MB, reserved {} MB, large{}, small {} served, {} failed, longest {} ms, {} ms in all",
        outcome.peakBytes / s_megabyte,
        outcome.peakReservedBytes / s_megabyte,
        statuses,
        outcome.smallServed,
        outcome.smallFailed,
        outcome.longestSmall.count(),
        outcome.elapsed.count());
}

} // namespace

// Guards against messages that are each within their limit and together take the process over its memory, so that it is killed with
// the requests of others: uploads at once, responses that wait for slow callers, and bodies without end.
ParameterizedTestParameters(Memory, largeMessagesStayWithinTheLimit)
{
    static MemoryCase cases[] = {
        {"3 uploads on 260 MB", uploads(260, 3, BodyShape::Declared), 2},
        {"12 uploads on 160 MB", uploads(160, 12, BodyShape::Declared), 1},
        {"3 chunked uploads on 260 MB", uploads(260, 3, BodyShape::Chunked), 1},
        {"40 slow callers on 160 MB", downloads(160, 40, BodyShape::Declared, 0), 40},
        {"40 slow callers of chunks", downloads(160, 40, BodyShape::Chunked, 0), 10},
        {"endless bodies and slow callers", downloads(160, 24, BodyShape::Declared, 12), 24},
        {"40 endless bodies on 160 MB", endless(160, 40), 0},
    };
    return cr_make_param_array(MemoryCase, cases, std::size(cases));
}

ParameterizedTest(MemoryCase *testCase, Memory, largeMessagesStayWithinTheLimit)
{
    MemoryOutcome outcome = playMemoryScenario(testCase->scenario);
    const std::string text = fmt::format("{}: {}", testCase->name, textOf(outcome));
    cr_log_info("%s", text.c_str());
    const auto limit = static_cast<std::size_t>(testCase->scenario.memory * s_megabyte) - s_programBytes;
    cr_expect(outcome.peakBytes <= limit, "%s", text.c_str());
    const auto budget = static_cast<std::size_t>(testCase->scenario.memory * (1 - s_otherPart) * s_megabyte);
    cr_expect(outcome.peakReservedBytes <= budget, "%s", text.c_str());
    cr_expect_eq(outcome.reservedBytesAtEnd, 0, "%s", text.c_str());
    cr_expect(outcome.statuses[200] >= testCase->served, "%s", text.c_str());
    cr_expect_eq(outcome.statuses[0], 0, "%s", text.c_str());
    cr_expect_eq(outcome.withoutRetryAfter, 0, "%s", text.c_str());
    // A 503 promises that the request hasn't run.
    cr_expect_eq(outcome.largeRuns, testCase->scenario.callers - outcome.statuses[503], "%s", text.c_str());
    cr_expect_eq(outcome.smallFailed, 0, "%s", text.c_str());
    cr_expect(outcome.smallServed > 0 && outcome.longestSmall < 1000ms, "%s", text.c_str());
}
