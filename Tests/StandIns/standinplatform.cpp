#include <StandIns/hostlist.h>
#include <StandIns/objectstore.h>
#include <StandIns/tablestore.h>

#include <exception>
#include <fmt/format.h>

/// Runs the platform's stand-ins: standinplatform <table address> <object store address> <host list address>, each IP:port.
int main(int argc, char **argv)
{
    using namespace Trefoil::StandIns;
    if (argc != 4) {
        fmt::print(stderr, "usage: {} TABLE-ADDRESS OBJECT-ADDRESS HOST-LIST-ADDRESS\n", argv[0]);
        return 2;
    }
    try {
        boost::asio::io_context context;
        TableStore table;
        ObjectStore objects;
        HostList hosts;
        const PlatformServer tableServer(context, argv[1], tableService(table));
        const PlatformServer objectServer(context, argv[2], objectService(objects));
        const PlatformServer hostListServer(context, argv[3], hostListService(hosts));
        fmt::print("{} {} {}\n", tableServer.address(), objectServer.address(), hostListServer.address());
        std::fflush(stdout);
        context.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
