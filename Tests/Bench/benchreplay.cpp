#include <Bench/Replay/customerreplay.h>

#include <cmath>
#include <fmt/format.h>
#include <string_view>

using namespace Trefoil::Replay;

namespace
{

constexpr std::uint64_t s_seeds = 10;

/// Prints, for the patterns with uneven cost, how each kind of requests was served with and without what the gateway learns of cost.
void printCosts()
{
    fmt::print("| pattern | policy | worth | spread | kind | in time | p50 ms | p95 ms | p99 ms |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Pattern &pattern : costPatterns()) {
        for (const Policy policy : costPolicies()) {
            double worth = 0;
            double squares = 0;
            std::array<KindScore, 2> mean;
            for (std::uint64_t seed = 1; seed <= s_seeds; ++seed) {
                const Score score = play(pattern, policy, seed);
                worth += score.total / s_seeds;
                squares += score.total * score.total / s_seeds;
                for (std::size_t i = 0; i < mean.size(); ++i) {
                    mean[i].inTime += score.kinds[i].inTime / s_seeds;
                    mean[i].p50 += score.kinds[i].p50 / s_seeds;
                    mean[i].p95 += score.kinds[i].p95 / s_seeds;
                    mean[i].p99 += score.kinds[i].p99 / s_seeds;
                }
            }
            const double spread = std::sqrt(std::max(0.0, squares - worth * worth));
            for (std::size_t i = 0; i < mean.size(); ++i) {
                fmt::print("| {} | {} | {:.3f} | {:.3f} | {} | {:.3f} | {:.0f} | {:.0f} | {:.0f} |\n",
                    pattern.name,
                    toText(policy),
                    worth,
                    spread,
                    pattern.classes[i].name,
                    mean[i].inTime,
                    mean[i].p50.count(),
                    mean[i].p95.count(),
                    mean[i].p99.count());
            }
        }
    }
}

/// Prints, for the patterns with customers, how they were served without and with their shares.
void printCustomers()
{
    fmt::print("| pattern | policy | worth | spread | all | worst tenth | worst tenth within its rate | worst within its rate | sends too much | others |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Pattern &pattern : customerPatterns()) {
        for (const Policy policy : customerPolicies()) {
            const CustomerScore score = playCustomers(pattern, policy, s_seeds);
            fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} | {:.3f} |\n",
                pattern.name,
                toText(policy),
                score.worth,
                score.spread,
                score.all,
                score.worstTenth,
                score.worstTenthWithinRate,
                score.worstWithinRate,
                score.sender > 0 ? fmt::format("{:.3f}", score.sender) : "–",
                score.others);
        }
    }
}

} // namespace

/// Plays all patterns against all policies with the same seeds, and prints a table with the spread over the seeds. With the argument "cost", it plays
/// the patterns with uneven cost; with "customers", those with customers.
int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "cost") {
        printCosts();
        return 0;
    }
    if (argc > 1 && std::string_view(argv[1]) == "customers") {
        printCustomers();
        return 0;
    }
    fmt::print("| pattern | policy | worth | spread | urgent | in time | late | rejections a request | median ms |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Pattern &pattern : allPatterns()) {
        for (const Policy policy : allPolicies()) {
            Score mean;
            double squares = 0;
            for (std::uint64_t seed = 1; seed <= s_seeds; ++seed) {
                const Score score = play(pattern, policy, seed);
                mean.total += score.total / s_seeds;
                mean.urgent += score.urgent / s_seeds;
                mean.inTime += score.inTime / s_seeds;
                mean.late += score.late / s_seeds;
                mean.rejected += score.rejected / s_seeds;
                mean.median += score.median / s_seeds;
                squares += score.total * score.total / s_seeds;
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
