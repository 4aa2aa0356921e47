#pragma once

#include <LibCore/result.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Trefoil::Load
{

/// One stream of equal requests, as one kind of caller sends them.
struct Stream
{
    std::string name;
    std::string service;
    std::string tenant;
    std::string requestClass;
    std::string path = "work";
    /// Mean of the arrivals, which do not wait for responses.
    double perSecond = 1;
    /// Non-repeatable requests carry a key and are sent again under the same key only.
    bool isRepeatable = true;
    bool mayWait = false;
    std::chrono::milliseconds deadline{3000};
    std::size_t bodyBytes = 64;
    /// Client address of the look-up; it determines the home region.
    std::string client;
    /// Local IP number of the connections; empty leaves the choice to the system.
    std::string sourceAddress;
};

/// What the load tool sends. Addresses are "IP:port".
struct LoadPlan
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{10000};
    /// Hosts asked for the first look-up, in this order.
    std::vector<std::string> hosts;
    std::vector<Stream> streams;
    /// Requests of all streams in flight at once; further arrivals are counted as not sent.
    std::size_t maximumInFlight = 4000;
};

/// Reads {"seed", "durationMs", "hosts", "maximumInFlight", "streams": [{"name", "service", "tenant", "class", "path",
/// "perSecond", "repeatable", "mayWait", "deadlineMs", "bodyBytes", "client", "source"}]}.
Result<LoadPlan> loadPlanFromJson(const nlohmann::json &document);

} // namespace Trefoil::Load
