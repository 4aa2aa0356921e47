#pragma once

#include <Platform/Soak/promises.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Trefoil::Soak
{

/// Callers of one host in a process of their own.
struct SteadySettings
{
    /// The host's address for callers, and its index in reports.
    std::string address;
    std::size_t host = 0;
    /// A third each: kept connections without pauses, a connection for each request, kept connections with pauses.
    int callers = 30;
    /// Begins the ids of all requests; no other process uses it.
    std::string prefix;
    std::string report;
};

/// What the callers of one process saw.
struct SteadyReport
{
    std::vector<UnansweredRequest> unanswered;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
};

/// Sends requests until SIGTERM, each caller on its connection for as long as the host keeps it open, and writes the report.
/// Thread safety: call it once in a process.
void runSteadyCallers(const SteadySettings &settings);

/// Reads what runSteadyCallers() wrote. Precondition: its process has ended. Thread safety: safe from any thread.
SteadyReport readSteadyReport(const std::string &path);

} // namespace Trefoil::Soak
