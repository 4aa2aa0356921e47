/// Runs the steering decisions through the cases of both deployments in virtual time and writes docs/measurements.md.
/// Usage: benchdecisions [text ...]. With texts, only runs whose names hold all of them are made, printed, and not written.

#include "Decisions/decisionrun.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <fstream>
#include <thread>

using namespace Trefoil::Bench;

namespace
{

constexpr std::uint64_t s_seed = 20260101;
constexpr std::uint64_t s_seeds = 3;
constexpr int s_threads = 4;
constexpr const char *s_page = "docs/measurements.md";

struct Row
{
    const Deployment *deployment;
    const CaseModel *model;
    const PolicyModel *policy;
    Measures measures{};
};

double headroomPercent(const Measures &measures)
{
    constexpr double hundred = 100;
    return hundred * measures.lowestOfRegions / measures.runs;
}

/// The product's policy of a deployment is the one of its objective.
bool isOwnPolicy(const Row &row)
{
    return row.policy->product && row.policy->objective == row.deployment->objective;
}

Measures measure(const Row &row)
{
    Measures measures = DecisionRun(*row.deployment, *row.model, *row.policy, s_seed).run();
    // Policies without limits differ by orders of magnitude, and their runs take the longest: one seed is enough.
    const std::uint64_t seeds = row.policy->limits ? s_seeds : 1;
    for (std::uint64_t seed = s_seed + 1; seed < s_seed + seeds; ++seed) {
        measures.add(DecisionRun(*row.deployment, *row.model, *row.policy, seed).run());
    }
    return measures;
}

void measureAll(std::vector<Row> &rows)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    threads.reserve(s_threads);
    for (int i = 0; i < s_threads; ++i) {
        threads.emplace_back([&rows, &next] {
            for (std::size_t index = next++; index < rows.size(); index = next++) {
                rows[index].measures = measure(rows[index]);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::string regionsText(const Measures &measures)
{
    std::string text;
    for (const double lowest : measures.lowestHeadroom) {
        text += fmt::format("{}{:.0f}", text.empty() ? "" : " / ", 100 * lowest / measures.runs);
    }
    return text;
}

std::string rowText(const Row &row)
{
    const Measures &m = row.measures;
    return fmt::format("| {}{} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {} | {:.2f} | {:.2f} | {:.2f} | {} | {} |\n",
        row.policy->name,
        isOwnPolicy(row) ? " (own)" : "",
        m.percentile(0.5),
        m.percentile(0.99),
        m.percentile(0.999),
        headroomPercent(m),
        regionsText(m),
        m.refusedPercent(),
        100.0 * static_cast<double>(m.unknown) / static_cast<double>(std::max<std::size_t>(1, m.latencies.size())),
        m.largestShiftOfCap,
        m.drainSeconds < 0 ? std::string("-") : fmt::format("{:.2f}", m.drainSeconds),
        m.violations.sum());
}

/// How the own policy compares with a plain one on the measure of the deployment's users: 1 better with every seed, -1 worse with every seed,
/// otherwise 0.
int compare(const Row &own, const Row &plain)
{
    const bool byHeadroom = own.deployment->objective == Trefoil::Objective::Headroom;
    const auto &ownValues = byHeadroom ? own.measures.runHeadrooms : own.measures.runLatencies;
    const auto &plainValues = byHeadroom ? plain.measures.runHeadrooms : plain.measures.runLatencies;
    std::size_t better = 0;
    std::size_t worse = 0;
    const std::size_t runs = std::min(ownValues.size(), plainValues.size());
    for (std::size_t i = 0; i < runs; ++i) {
        const bool higher = ownValues[i] > plainValues[i];
        const bool lower = ownValues[i] < plainValues[i];
        better += (byHeadroom ? higher : lower) ? 1 : 0;
        worse += (byHeadroom ? lower : higher) ? 1 : 0;
    }
    if (better == runs) {
        return 1;
    }
    return worse == runs ? -1 : 0;
}

std::string comparisonText(const std::vector<Row> &rows, const Row &own)
{
    std::string worse;
    std::string ties;
    int better = 0;
    for (const auto &row : rows) {
        if (row.deployment != own.deployment || row.model != own.model || row.policy->product) {
            continue;
        }
        const int result = compare(own, row);
        better += result > 0 ? 1 : 0;
        std::string &list = result < 0 ? worse : ties;
        if (result <= 0) {
            list += (list.empty() ? "" : "; ") + row.policy->name;
        }
    }
    return fmt::format("| {} | {} | {} | {} | {} |\n", own.deployment->name, own.model->name, better, ties.empty() ? "-" : ties, worse.empty() ? "-" : worse);
}

std::string introduction()
{
    return fmt::format(R"(# Measurements of the steering decisions

Written by `Meta/bench decisions`; do not edit. The decisions of LibSteering run in virtual time against small fakes: upstreams with slots,
service times, cold starts and shedding; load reports that are a second old; a grant table; heartbeats every 500 ms; callers with look-ups.
No process, network or clock is involved, so these figures compare policies; they are no forecast of the deployed system.

Each run covers 65 s of virtual time at the sizes of design 1.2, scaled down from an hour: the case begins at 20 s and lasts to 60 s, which stands
for ten minutes; requests that start in these 40 s are measured. Arrivals and faults are the same for all policies. Policies within limits run with
{} seeds from {} on, the others with the first one. "Peak" is 55% of the capacity, the surge rises from 30% to 90%; the regions' demands differ by
1.15 : 1.0 : 0.85. The shift cap of a service into a region is 40% of the region's capacity in 10 s. Service times are 20 to 40 ms on an idle
upstream; upstreams are 15% faster to 30% slower than usual, 25% slower when full, and up to three times slower for the 100 requests after a start.
Connection costs and the 1 ms of a new connection are left out.

Policies "within limits" have the product's grants, leases, shift windows, link budgets, queue and relays, and differ in the choice of the upstream
only ("nearest only" never leaves an open region either). The other plain policies know no limits: each host sends an upstream as many requests
as it has slots, whatever other hosts do, and may move any number. The deployment's own policy is marked.

Columns: percentiles of latency in ms over all requests, where one without an answer counts with its deadline (1 s, or 5 s if it may wait); lowest
headroom, the share of free slots in the worst second of the worst region in %, then of each region (mean over seeds; the slots that requests
refused in that second would have needed count as used, so it can be negative); requests refused as not-run and with unknown outcome in %; largest
shift in any 10 s as a part of its cap; seconds until a drained region was empty; violations: requests sent to a full upstream, moved beyond
the cap, bytes beyond a link, new work for an upstream that left more than 5 s ago, dispatches under an expired lease.

)",
        s_seeds,
        s_seed);
}

std::string summary(const std::vector<Row> &rows)
{
    std::uint64_t violations = 0;
    std::string text = R"(## Comparison with the plain policies

Measure: 99th percentile of latency (swim firm) or lowest headroom (cast office), own policy against eight plain ones. "Better" and "worse" mean
with every seed; anything else is "undecided". Three seeds are few, so close results may turn with others. Against the policies without limits
there is one seed.

| deployment | case | better than | undecided with | worse than |
| --- | --- | --- | --- | --- |
)";
    for (const auto &row : rows) {
        violations += row.policy->product ? row.measures.violations.sum() : 0;
        if (isOwnPolicy(row)) {
            text += comparisonText(rows, row);
        }
    }
    text += fmt::format(R"(
Violations of the product's policies in all cases together: {}.

Where the own policy does not win, these are the likely reasons, inferred from the model and not measured one by one. With 3 or 4 slots of an
upstream spread over four hosts, a host holds about one slot of each and often has a single free one, so there is little to choose; limits,
queue, relays and the choice of the region, which the policies within limits share, decide. In the loss of a region and with hosts killed
and paused, the 99th percentile is near the time in which callers find that their host does not answer. In a surge with host faults more than
1% of the requests are refused under every policy, so the 99th percentile is a deadline. A plain policy without limits can show more headroom
because it overloads upstreams or moves requests beyond the cap; its violations are in its row. In a drained region "nearest only" spends none of
the shift cap on spills of the open regions.

)",
        violations);
    return text;
}

bool writePage(const std::vector<Row> &rows)
{
    std::ofstream page(s_page);
    page << introduction() << summary(rows);
    const CaseModel *model = nullptr;
    const Deployment *deployment = nullptr;
    for (const auto &row : rows) {
        if (row.deployment != deployment) {
            page << fmt::format("## {}\n\n", row.deployment->name);
        }
        if (row.model != model || row.deployment != deployment) {
            page << fmt::format("### {}, {}\n\n", row.deployment->name, row.model->name);
            page << "| policy | p50 | p99 | p99.9 | lowest headroom | by region | refused | unknown | shift / cap | drain s | violations |\n";
            page << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        }
        model = row.model;
        deployment = row.deployment;
        page << rowText(row);
        const bool last = &row == &rows.back() || (&row + 1)->model != row.model || (&row + 1)->deployment != row.deployment;
        page << (last ? "\n" : "");
    }
    return page.good();
}

bool isWanted(const Row &row, int argc, char **argv)
{
    const std::string name = row.deployment->name + "/" + row.model->name + "/" + row.policy->name;
    return std::all_of(argv + 1, argv + argc, [&name](const char *text) { return name.find(text) != std::string::npos; });
}

} // namespace

int main(int argc, char **argv)
{
    const auto allDeployments = deployments();
    const auto allCases = cases();
    const auto allPolicies = policies();
    std::vector<Row> rows;
    for (const auto &deployment : allDeployments) {
        for (const auto &model : allCases) {
            for (const auto &policy : allPolicies) {
                const Row row{&deployment, &model, &policy};
                if (isWanted(row, argc, argv)) {
                    rows.push_back(row);
                }
            }
        }
    }
    measureAll(rows);
    std::uint64_t violations = 0;
    for (const auto &row : rows) {
        violations += row.policy->product ? row.measures.violations.sum() : 0;
        if (argc > 1) {
            fmt::print("{} / {} {}", row.deployment->name, row.model->name, rowText(row));
        }
    }
    if (argc == 1 && !writePage(rows)) {
        fmt::print(stderr, "cannot write {}; run this from the root of the repository\n", s_page);
        return 1;
    }
    fmt::print("violations of the product's policies: {}\n", violations);
    return violations == 0 ? 0 : 1;
}
