#include "proxy.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <fstream>

/// Usage: linkproxy <configuration file>. Runs until SIGTERM; prints "ready" on standard output once it listens.
int main(int argc, char **argv)
{
    if (argc != 2) {
        fmt::print(stderr, "usage: linkproxy <configuration file>\n");
        return 2;
    }
    std::ifstream file(argv[1]);
    const auto configuration = Trefoil::LinkProxy::proxyConfigurationFromJson(nlohmann::json::parse(file, nullptr, false));
    if (configuration.has_error()) {
        fmt::print(stderr, "{}: {}\n", argv[1], configuration.error().message);
        return 2;
    }
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    try {
        Trefoil::LinkProxy::Proxy proxy(context, configuration.value());
        proxy.start();
        fmt::print("ready\n");
        std::fflush(stdout);
        context.run();
    } catch (const boost::system::system_error &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
