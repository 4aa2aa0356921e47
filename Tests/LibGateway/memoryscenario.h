#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

/// Large requests and responses through a gateway and its server, with the memory that the process takes.
namespace Trefoil::GatewayTests
{

enum class BodyShape {
    /// With a declared length.
    Declared,
    Chunked,
    /// A response of chunks without end.
    Endless,
};

struct MemoryScenario
{
    /// Memory of the process, in megabytes, as in the settings of a host.
    double memory = 260;
    /// Callers that each send one request.
    int callers = 3;
    /// From one caller to the next; without it they come at the same moment.
    std::chrono::milliseconds arrivalInterval{0};
    /// Further callers, half of them before the others and half after them, whose responses have no end.
    int endlessCallers = 0;
    std::size_t requestBytes = 0;
    BodyShape requestShape = BodyShape::Declared;
    std::size_t responseBytes = 0;
    BodyShape responseShape = BodyShape::Declared;
    /// At which each caller reads its response; 0 is as fast as it comes.
    std::size_t readBytesPerSecond = 0;
    /// From the end of a request to its response.
    std::chrono::milliseconds work{100};
    /// Responses that upstreams have made are passed on for this long at most.
    std::chrono::milliseconds timeout{20000};
};

struct MemoryOutcome
{
    /// Resident memory at the peak beyond that before the scenario, of callers, gateway and upstream together.
    std::size_t peakBytes = 0;
    /// Of the budget.
    std::size_t peakReservedBytes = 0;
    std::size_t reservedBytesAtEnd = 0;
    /// How many large requests got each status with a whole body; 0 stands for a response that was cut or never came.
    std::map<int, int> statuses{};
    /// As statuses, for requests whose responses have no end.
    std::map<int, int> endlessStatuses{};
    int withoutRetryAfter = 0;
    /// Small requests that a further caller sent one after the other meanwhile.
    int smallServed = 0;
    int smallFailed = 0;
    std::chrono::milliseconds longestSmall{0};
    std::chrono::milliseconds elapsed{0};
    /// Requests that the upstream got.
    int largeRuns = 0;
};

/// Precondition: no other thread of the process allocates.
MemoryOutcome playMemoryScenario(const MemoryScenario &scenario);

} // namespace Trefoil::GatewayTests
