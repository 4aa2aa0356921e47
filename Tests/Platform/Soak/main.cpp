#include <Platform/Soak/soakrun.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>

/// Plays seeded faults against the host's program and checks the promises. Exit code 1 when one was broken.
int main(int argc, char **argv)
{
    using namespace Trefoil::Soak;
    SoakSettings settings;
    settings.program = TREFOIL_BUILD_FOLDER "/Services/trefoilmountd/trefoilmountd";
    std::uint64_t firstSeed = 1;
    std::uint64_t runs = 1;
    int seconds = 20;
    int gap = 700;
    int callerProcesses = 1;
    int plannedSlots = 64;
    int seriesGap = static_cast<int>(settings.plan.meanSeriesGap.count());
    std::string folder = TREFOIL_BUILD_FOLDER "/soak";
    CLI::App application("Plays seeded faults against trefoilmountd and checks its promises.");
    application.add_option("--seed", firstSeed, "seed of the first run");
    application.add_option("--runs", runs, "number of runs, with seeds that follow each other")->check(CLI::PositiveNumber);
    application.add_option("--seconds", seconds, "time with faults, s")->check(CLI::Range(1, 3600));
    application.add_option("--gap", gap, "mean time between the starts of two faults, ms")->check(CLI::Range(10, 100000));
    application.add_option("--series-gap", seriesGap, "mean time between two series of faults around a store that hangs, ms; 0 for none")
        ->check(CLI::NonNegativeNumber);
    application.add_option("--hosts", settings.hosts, "number of hosts")->check(CLI::Range(1, 200));
    application.add_option("--upstreams", settings.upstreams, "number of upstreams")->check(CLI::Range(2, 200));
    application.add_option("--rate", settings.requestRate, "requests a second")->check(CLI::PositiveNumber);
    application.add_option("--program", settings.program, "program of the host");
    application.add_option("--network", settings.network, "first two numbers of the loopback addresses");
    application.add_option("--folder", folder, "where logs and settings go");
    application.add_flag("--verbose", settings.isVerbose, "shows the faults as they happen");
    CLI::Option *customers =
        application.add_flag("--customers", settings.plan.hasCustomers, "customers with keys, quotas and strict revocation, which change in series");
    application.add_flag("--planned", settings.plan.isPlanned, "plays planned stops in series, with upstreams and callers in processes of their own")
        ->excludes(customers);
    application.add_option("--caller-processes", callerProcesses, "with --planned: processes of callers for each host")->check(CLI::Range(0, 200));
    application.add_option("--callers", settings.callersInProcess, "with --planned: callers in each process")->check(CLI::Range(1, 1000));
    application.add_option("--slots", plannedSlots, "with --planned: requests at once at each upstream")->check(CLI::Range(1, 1000));
    UpstreamProcess upstream;
    int shortestWork = 0;
    int longestWork = 0;
    CLI::App *upstreamCommand = application.add_subcommand("upstream", "is an upstream of a run")->group("");
    upstreamCommand->add_option("--id", upstream.id);
    upstreamCommand->add_option("--service", upstream.service);
    upstreamCommand->add_option("--region", upstream.region);
    upstreamCommand->add_option("--address", upstream.address);
    upstreamCommand->add_option("--report", upstream.report);
    upstreamCommand->add_option("--slots", upstream.work.slots);
    upstreamCommand->add_option("--shortest-work", shortestWork);
    upstreamCommand->add_option("--longest-work", longestWork);
    SteadySettings steady;
    CLI::App *callersCommand = application.add_subcommand("callers", "is a process of callers of a run")->group("");
    callersCommand->add_option("--address", steady.address);
    callersCommand->add_option("--host", steady.host);
    callersCommand->add_option("--count", steady.callers);
    callersCommand->add_option("--prefix", steady.prefix);
    callersCommand->add_option("--report", steady.report);
    CLI11_PARSE(application, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    if (upstreamCommand->parsed()) {
        upstream.work.shortest = std::chrono::milliseconds(shortestWork);
        upstream.work.longest = std::chrono::milliseconds(longestWork);
        runUpstreamProcess(upstream);
        return 0;
    }
    if (callersCommand->parsed()) {
        runSteadyCallers(steady);
        return 0;
    }
    if (settings.plan.isPlanned) {
        settings.self = std::filesystem::read_symlink("/proc/self/exe");
        settings.hasUpstreamProcesses = true;
        settings.callerProcesses = callerProcesses;
        // The upstreams of the operators' record.
        settings.work = {plannedSlots, std::chrono::milliseconds(1), std::chrono::milliseconds(7)};
    }

    settings.plan.length = std::chrono::seconds(seconds);
    settings.plan.meanGap = std::chrono::milliseconds(gap);
    settings.plan.meanSeriesGap = std::chrono::milliseconds(seriesGap);
    bool isBroken = false;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        settings.plan.seed = seed;
        settings.folder = fmt::format("{}/{}", folder, seed);
        std::filesystem::remove_all(settings.folder);
        std::filesystem::create_directories(settings.folder);
        const SoakResult result = SoakRun(settings).run();
        fmt::print("seed {}: {} broken; {}\n", seed, result.violations.size(), result.summary);
        constexpr std::size_t shown = 20;
        for (std::size_t i = 0; i < std::min(result.violations.size(), shown); ++i) {
            fmt::print("  {}\n", result.violations[i]);
        }
        std::fflush(stdout);
        isBroken = isBroken || !result.violations.empty();
    }
    return isBroken ? 1 : 0;
}
