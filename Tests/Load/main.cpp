#include "loadrun.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <fstream>

/// Usage: loadtool <plan file> <result file>. Sends the plan's requests, prints the table of outcomes and writes it as JSON.
/// SIGTERM ends the arrivals early. Exit code 0 when no request was lost or wrong, 1 otherwise.
int main(int argc, char **argv)
{
    using Trefoil::Load::CallerOutcome;
    if (argc != 3) {
        fmt::print(stderr, "usage: loadtool <plan file> <result file>\n");
        return 2;
    }
    std::ifstream file(argv[1]);
    const auto plan = Trefoil::Load::loadPlanFromJson(nlohmann::json::parse(file, nullptr, false));
    if (plan.has_error()) {
        fmt::print(stderr, "{}: {}\n", argv[1], plan.error().message);
        return 2;
    }
    boost::asio::io_context context(1);
    Trefoil::Load::LoadRun run(context, plan.value());
    boost::asio::signal_set signals(context, SIGTERM);
    signals.async_wait([&run](const boost::system::error_code &error, int) {
        if (!error) {
            run.stopArrivals();
        }
    });
    run.start();
    boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) {
        run.waitForEnd(yield);
        signals.cancel();
    });
    context.run();
    fmt::print("{}", run.outcomes().table());
    std::ofstream(argv[2]) << run.outcomes().toJson().dump(1) << '\n';
    const bool isSound = run.outcomes().count(CallerOutcome::Lost) == 0 && run.outcomes().count(CallerOutcome::Wrong) == 0;
    return isSound ? 0 : 1;
}
