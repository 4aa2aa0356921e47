#pragma once

#include <LibCore/bootclock.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Trefoil::Bench
{

/// What is counted as a broken guarantee, by someone who sees all hosts and upstreams at once.
struct Violations
{
    std::uint64_t slots = 0;
    std::uint64_t shift = 0;
    std::uint64_t link = 0;
    std::uint64_t leaving = 0;
    std::uint64_t lease = 0;

    std::uint64_t sum() const
    {
        return slots + shift + link + leaving + lease;
    }
};

/// Sum of amounts in the window that ends now.
class ExactWindow
{
public:
    explicit ExactWindow(std::chrono::nanoseconds length)
        : m_length(length)
    {
    }

    std::int64_t add(std::int64_t amount, BootTime now)
    {
        m_entries.emplace_back(now, amount);
        m_sum += amount;
        while (m_entries.front().first <= now - m_length) {
            m_sum -= m_entries.front().second;
            m_entries.pop_front();
        }
        m_largest = std::max(m_largest, m_sum);
        return m_sum;
    }

    std::int64_t largest() const
    {
        return m_largest;
    }

private:
    std::chrono::nanoseconds m_length;
    std::deque<std::pair<BootTime, std::int64_t>> m_entries;
    std::int64_t m_sum = 0;
    std::int64_t m_largest = 0;
};

/// The result of one run.
struct Measures
{
    /// Of all requests, in milliseconds; one that got no answer counts with its deadline.
    std::vector<float> latencies{};
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Lowest share of free slots of each region, as a mean over one second. The slots that requests refused in that second would have
    /// needed count as used, otherwise a policy would gain headroom by refusing work; so the share can be negative.
    std::vector<double> lowestHeadroom{};
    /// The lowest of lowestHeadroom.
    double lowestOfRegions = 0;
    int runs = 1;
    /// The users' measures of each run, in the order of the seeds.
    std::vector<double> runLatencies{};
    std::vector<double> runHeadrooms{};
    /// From the drain command until the region was empty; negative when nothing was drained or it never emptied.
    double drainSeconds = -1;
    double largestShiftOfCap = 0;
    Violations violations{};

    /// Adds another run of the same case. Latencies and counts are pooled, the largest shift and the longest drain are kept, and headroom is
    /// summed, to be divided by the number of runs. Precondition: both have the same regions.
    void add(const Measures &other)
    {
        latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
        std::sort(latencies.begin(), latencies.end());
        runLatencies.insert(runLatencies.end(), other.runLatencies.begin(), other.runLatencies.end());
        runHeadrooms.insert(runHeadrooms.end(), other.runHeadrooms.begin(), other.runHeadrooms.end());
        answered += other.answered;
        notRun += other.notRun;
        unknown += other.unknown;
        runs += other.runs;
        for (std::size_t region = 0; region < lowestHeadroom.size(); ++region) {
            lowestHeadroom[region] += other.lowestHeadroom[region];
        }
        lowestOfRegions += other.lowestOfRegions;
        drainSeconds = std::max(drainSeconds, other.drainSeconds);
        largestShiftOfCap = std::max(largestShiftOfCap, other.largestShiftOfCap);
        violations.slots += other.violations.slots;
        violations.shift += other.violations.shift;
        violations.link += other.violations.link;
        violations.leaving += other.violations.leaving;
        violations.lease += other.violations.lease;
    }

    /// Precondition: latencies are sorted.
    double percentile(double share) const
    {
        if (latencies.empty()) {
            return 0;
        }
        const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
        return latencies[std::min(index, latencies.size() - 1)];
    }

    double refusedPercent() const
    {
        const std::uint64_t all = answered + notRun + unknown;
        constexpr double hundred = 100;
        return all == 0 ? 0 : hundred * static_cast<double>(notRun) / static_cast<double>(all);
    }
};

} // namespace Trefoil::Bench
