#include <LibCommand/apply.h>
#include <LibCommand/parser.h>
#include <LibCore/snapshot.h>
#include <Services/trefoilmountd/host.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace
{

using namespace Trefoil;

constexpr std::chrono::seconds s_leaseTime{3};
constexpr std::chrono::milliseconds s_confirmationInterval{500};

HostOptions optionsFrom(const nlohmann::json &plan)
{
    HostOptions options;
    options.host = HostId(plan.at("host"));
    options.region = RegionId(plan.at("region"));
    options.zone = ZoneId(plan.at("zone"));
    options.incarnation = Incarnation(1);
    options.callerAddress = plan.at("callerAddress");
    options.sourceAddress = plan.at("sourceAddress");
    options.peerSecret = "static host secret";
    options.threads = plan.at("threads");
    return options;
}

std::vector<HostRouting> hostsFrom(const nlohmann::json &plan)
{
    std::vector<HostRouting> hosts;
    for (const auto &item : plan.at("hosts")) {
        // No free slots are reported, so that nothing is relayed to a host of which nobody tells that it has stopped.
        hosts.push_back({HostId(item.at("id")),
            RegionId(item.at("region")),
            ZoneId(item.at("zone")),
            item.at("callerAddress"),
            item.at("callerAddress"),
            false,
            SlotCount(0)});
    }
    return hosts;
}

/// Publishes the configuration with an equal share of every upstream of the region for each of its hosts.
void publish(Host &host, const nlohmann::json &plan, const std::shared_ptr<const Configuration> &configuration)
{
    const auto hosts = hostsFrom(plan);
    const RegionId region(plan.at("region"));
    const auto members = std::count_if(hosts.begin(), hosts.end(), [&region](const HostRouting &known) { return known.region == region; });
    host.state().updateRouting([&](RoutingView &view) {
        view.configuration = configuration;
        view.hosts = hosts;
        for (const auto &service : configuration->services) {
            for (const auto &upstream : service.upstreams) {
                if (upstream.region != region) {
                    continue;
                }
                auto granted = UpstreamSlots::create();
                granted->setGranted(SlotCount(upstream.slots.value() / static_cast<std::int32_t>(members)));
                view.upstreams.push_back(std::make_shared<UpstreamState>(UpstreamState{upstream, service.id, granted, false}));
            }
        }
    });
}

/// Confirms the lease as long as the process runs, so that it lapses while the process is paused.
void confirmLease(Host &host)
{
    boost::asio::spawn(host.controlContext(), [&host](const boost::asio::yield_context &yield) {
        boost::asio::steady_timer timer(host.controlContext());
        while (true) {
            host.state().lease.extend(BootClock::now() + s_leaseTime);
            timer.expires_after(s_confirmationInterval);
            boost::system::error_code ignored;
            timer.async_wait(yield[ignored]);
        }
    });
}

} // namespace

/// Usage: statichost <plan file>. The request path of a host with fixed grants and without control loops, claims and peers.
int main(int argc, char **argv)
{
    if (argc != 2) {
        fmt::print(stderr, "usage: statichost <plan file>\n");
        return 2;
    }
    std::ifstream file(argv[1]);
    const auto plan = nlohmann::json::parse(file);
    const auto commands = parseCommands(plan.at("commands").get<std::string>());
    const auto applied = commands.has_value() ? applyCommands(Configuration{}, commands.value()) : Result<Configuration>(commands.error());
    if (applied.has_error()) {
        fmt::print(stderr, "{}", toText(applied.error().findings));
        return 2;
    }
    const SnapshotReaderThread reader;
    auto created = Host::create(optionsFrom(plan), {});
    if (created.has_error()) {
        fmt::print(stderr, "{}\n", created.error().message);
        return 1;
    }
    Host &host = *created.value();
    publish(host, plan, std::make_shared<Configuration>(applied.value()));
    confirmLease(host);
    boost::asio::signal_set signals(host.controlContext(), SIGTERM);
    signals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error) {
            host.requestStop();
        }
    });
    host.start();
    host.run();
    return 0;
}
