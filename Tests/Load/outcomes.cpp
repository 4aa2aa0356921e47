#include "outcomes.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Trefoil::Load
{

namespace
{

constexpr std::array<const char *, 6> outcomeNames = {"answered", "not-run", "unknown", "not-sent", "lost", "wrong"};
/// Different texts kept; a fault that puts numbers into its text must not fill the memory.
constexpr std::size_t maximumDetails = 200;

} // namespace

void Outcomes::record(
    const std::string &requestClass, CallerOutcome outcome, std::chrono::nanoseconds latency, const std::string &key, const std::string &detail)
{
    const auto index = static_cast<std::size_t>(outcome);
    auto &entry = m_classes[requestClass];
    ++entry.counts.at(index);
    if (outcome == CallerOutcome::Answered) {
        entry.milliseconds.push_back(std::chrono::duration<double, std::milli>(latency).count());
    }
    if (!key.empty()) {
        m_keys.at(index).push_back(key);
    }
    if (detail.empty() || (m_details.size() >= maximumDetails && m_details.count(detail) == 0)) {
        return;
    }
    ++m_details[fmt::format("{}: {}", outcomeNames.at(index), detail)];
}

void Outcomes::recordRetries(const std::string &requestClass, std::uint64_t retries)
{
    m_classes[requestClass].retries += retries;
}

std::uint64_t Outcomes::count(CallerOutcome outcome) const
{
    std::uint64_t sum = 0;
    for (const auto &entry : m_classes) {
        sum += entry.second.counts.at(static_cast<std::size_t>(outcome));
    }
    return sum;
}

double Outcomes::percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted.at(std::max<std::size_t>(rank, 1) - 1);
}

std::string Outcomes::table() const
{
    std::string text = fmt::format("{:<16}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>9}{:>10}{:>10}{:>10}{:>10}\n",
        "class",
        outcomeNames[0],
        outcomeNames[1],
        outcomeNames[2],
        outcomeNames[3],
        outcomeNames[4],
        outcomeNames[5],
        "retries",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms");
    for (const auto &[name, entry] : m_classes) {
        auto sorted = entry.milliseconds;
        std::sort(sorted.begin(), sorted.end());
        const auto &counts = entry.counts;
        text += fmt::format("{:<16}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>9}{:>10.2f}{:>10.2f}{:>10.2f}{:>10.2f}\n",
            name,
            counts[0],
            counts[1],
            counts[2],
            counts[3],
            counts[4],
            counts[5],
            entry.retries,
            percentile(sorted, 0.5),
            percentile(sorted, 0.9),
            percentile(sorted, 0.99),
            percentile(sorted, 1));
    }
    return text;
}

nlohmann::json Outcomes::toJson() const
{
    nlohmann::json classes = nlohmann::json::object();
    for (const auto &[name, entry] : m_classes) {
        auto sorted = entry.milliseconds;
        std::sort(sorted.begin(), sorted.end());
        auto &item = classes[name];
        for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
            item[outcomeNames.at(i)] = entry.counts.at(i);
        }
        item["retries"] = entry.retries;
        item["latencyMs"] = {
            {"p50", percentile(sorted, 0.5)}, {"p90", percentile(sorted, 0.9)}, {"p99", percentile(sorted, 0.99)}, {"max", percentile(sorted, 1)}};
    }
    nlohmann::json keys = nlohmann::json::object();
    nlohmann::json totals = nlohmann::json::object();
    for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
        keys[outcomeNames.at(i)] = m_keys.at(i);
        totals[outcomeNames.at(i)] = count(static_cast<CallerOutcome>(i));
    }
    return {{"classes", classes}, {"totals", totals}, {"keys", keys}, {"details", m_details}};
}

} // namespace Trefoil::Load
