#include <StandIns/platform.h>

#include <StandIns/hostlist.h>
#include <StandIns/objectstore.h>
#include <StandIns/tablestore.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <fmt/format.h>
#include <string_view>

namespace Trefoil
{

namespace
{

struct Platform
{
    StandIns::TableStore table;
    StandIns::ObjectStore objects;
    StandIns::HostList hosts;

    StandIns::PlatformService service(std::string_view name)
    {
        if (name == "table") {
            return StandIns::tableService(table);
        }
        return name == "objects" ? StandIns::objectService(objects) : StandIns::hostListService(hosts);
    }
};

} // namespace

int runPlatformStandIn(int argc, const char *const *argv)
{
    std::string address = "127.0.0.1:0";
    CLI::App app("Stand-in of one platform service");
    app.add_option("--listen", address, "IP:port");
    CLI11_PARSE(app, argc, argv);
    try {
        boost::asio::io_context context(1);
        Platform platform;
        const StandIns::PlatformServer server(context, address, platform.service(argv[0]));
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
        fmt::print("ready {}\n", server.address());
        std::fflush(stdout);
        context.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}

} // namespace Trefoil
