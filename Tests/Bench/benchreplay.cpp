#include <Bench/Replay/replay.h>

#include <cmath>
#include <fmt/format.h>

/// Plays all patterns against all policies with the same seeds, and prints a table with the spread over the seeds.
int main()
{
    using namespace Trefoil::Replay;
    constexpr std::uint64_t seeds = 10;
    fmt::print("| pattern | policy | worth | spread | urgent | in time | late | rejections a request | median ms |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Pattern &pattern : allPatterns()) {
        for (const Policy policy : allPolicies()) {
            Score mean;
            double squares = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const Score score = play(pattern, policy, seed);
                mean.total += score.total / seeds;
                mean.urgent += score.urgent / seeds;
                mean.inTime += score.inTime / seeds;
                mean.late += score.late / seeds;
                mean.rejected += score.rejected / seeds;
                mean.median += score.median / seeds;
                squares += score.total * score.total / seeds;
            }
            const double spread = std::sqrt(std::max(0.0, squares - mean.total * mean.total));
            fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.2f} | {:.0f} |\n",
                pattern.name,
                toText(policy),
                mean.total,
                spread,
                mean.urgent,
                mean.inTime,
                mean.late,
                mean.rejected,
                mean.median.count());
        }
    }
    return 0;
}
