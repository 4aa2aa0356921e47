#include <StandIns/platform.h>
#include <StandIns/upstream.h>

#include <cstdio>
#include <string_view>

namespace
{

struct Subcommand
{
    std::string_view name;
    int (*run)(int argc, const char *const *argv);
};

constexpr Subcommand s_subcommands[] = {
    {"upstream", Trefoil::runUpstreamStandIn},
    {"table", Trefoil::runPlatformStandIn},
    {"objects", Trefoil::runPlatformStandIn},
    {"hostlist", Trefoil::runPlatformStandIn},
};

int printUsage()
{
    std::fputs("usage: standin <subcommand> [options]; subcommands:", stderr);
    for (const auto &subcommand : s_subcommands) {
        std::fprintf(stderr, " %.*s", static_cast<int>(subcommand.name.size()), subcommand.name.data());
    }
    std::fputs("\n", stderr);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        return printUsage();
    }
    for (const auto &subcommand : s_subcommands) {
        if (subcommand.name == argv[1]) {
            return subcommand.run(argc - 1, argv + 1);
        }
    }
    return printUsage();
}
