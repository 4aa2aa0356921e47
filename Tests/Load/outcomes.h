#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Trefoil::Load
{

/// How a request ended for its caller.
enum class CallerOutcome {
    Answered,
    NotRun,
    Unknown,
    /// No host was reached; nothing was sent.
    NotSent,
    /// It was sent, and no attempt brought an outcome.
    Lost,
    /// The response belongs to another request or contradicts itself.
    Wrong,
};

/// Counts and latencies for each class. Thread safety: one thread at a time.
class Outcomes
{
public:
    /// Records one request; key is empty for repeatable requests, detail tells more about what went wrong.
    void record(const std::string &requestClass, CallerOutcome outcome, std::chrono::nanoseconds latency, const std::string &key, const std::string &detail);

    /// Adds to the counts of a class: attempts after the first.
    void recordRetries(const std::string &requestClass, std::uint64_t retries);

    std::uint64_t count(CallerOutcome outcome) const;

    /// One line for each class: the counts, then latency percentiles of answered requests in milliseconds.
    std::string table() const;

    /// {"classes": {class: {"answered", ..., "latencyMs": {"p50", ...}}}, "keys": {outcome: [key]}, "details": {text: count}}.
    nlohmann::json toJson() const;

private:
    struct ClassOutcomes
    {
        std::array<std::uint64_t, 6> counts{};
        std::uint64_t retries = 0;
        std::vector<double> milliseconds;
    };

    static double percentile(const std::vector<double> &sorted, double share);

    std::map<std::string, ClassOutcomes> m_classes;
    std::array<std::vector<std::string>, 6> m_keys;
    std::map<std::string, std::uint64_t> m_details;
};

} // namespace Trefoil::Load
