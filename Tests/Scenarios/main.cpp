#include "programs.h"
#include "runner.h"

#include <fmt/format.h>

/// Usage: scenario <file> [folder for logs]. Exit code 0 when every expectation held, 1 otherwise.
int main(int argc, char **argv)
{
    if (argc < 2 || argc > 3) {
        fmt::print(stderr, "usage: scenario <file> [folder for logs]\n");
        return 2;
    }
    Trefoil::Scenarios::Runner runner(Trefoil::Scenarios::builtPaths(argc == 3 ? argv[2] : "scenario-run"));
    const auto result = runner.run(argv[1]);
    for (const auto &line : result.notes) {
        fmt::print("{}\n", line);
    }
    for (const auto &failure : result.failures) {
        fmt::print("FAILED: {}\n", failure);
    }
    fmt::print("{}", result.logs);
    return result.failures.empty() ? 0 : 1;
}
