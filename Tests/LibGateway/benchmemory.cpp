#include "memoryscenario.h"

#include <cstdlib>
#include <fmt/format.h>
#include <string>
#include <string_view>

using namespace Trefoil::GatewayTests;

/// Prints what one scenario takes: benchmemory MEMORY_MB upload CALLERS MIB, or benchmemory MEMORY_MB download CALLERS MIB
/// MB_PER_S ARRIVAL_MS.
int main(int argumentCount, char **arguments)
{
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    constexpr std::size_t megabyte = 1000000;
    if (argumentCount < 5) {
        return EXIT_FAILURE;
    }
    MemoryScenario scenario;
    scenario.memory = std::stod(arguments[1]);
    scenario.callers = std::stoi(arguments[3]);
    const std::size_t bytes = std::stoul(arguments[4]) * mebibyte;
    const bool isUpload = std::string_view(arguments[2]) == "upload";
    (isUpload ? scenario.requestBytes : scenario.responseBytes) = bytes;
    scenario.readBytesPerSecond = argumentCount > 5 ? std::stoul(arguments[5]) * megabyte : 0;
    scenario.arrivalInterval = std::chrono::milliseconds(argumentCount > 6 ? std::stoi(arguments[6]) : 0);
    scenario.work = std::chrono::milliseconds(isUpload ? 1000 : 100);
    const MemoryOutcome outcome = playMemoryScenario(scenario);
    std::string statuses;
    for (const auto &[status, count] : outcome.statuses) {
        statuses += fmt::format(" {}x {}", count, status);
    }
    fmt::print(stderr,
        "peak {} MB, large{}, small {} served, {} failed, longest {} ms, in {} ms\n",
        outcome.peakBytes / megabyte,
        statuses,
        outcome.smallServed,
        outcome.smallFailed,
        outcome.longestSmall.count(),
        outcome.elapsed.count());
    return EXIT_SUCCESS;
}
