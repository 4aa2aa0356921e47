#pragma once

#include <Services/trefoilmountd/configurationservice.h>
#include <Services/trefoilmountd/configurationstore.h>

#include <LibPeer/codec.h>
#include <StandIns/objectstore.h>
#include <StandIns/tablestore.h>

#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <map>

namespace Trefoil
{

/// Regions gulf, plains and hill, with two availability zones each.
inline const char *const s_threeRegions =
    "declare region gulf; declare zone gulf-a region gulf; declare zone gulf-b region gulf\n"
    "declare region plains; declare zone plains-a region plains; declare zone plains-b region plains\n"
    "declare region hill; declare zone hill-a region hill; declare zone hill-b region hill\n"
    "declare service s; declare upstream u service s region gulf zone gulf-a address 127.0.0.1:9001 slots 4 connections 360\n"
    "declare tenant museum weight 1";

/// Configuration services of several hosts on one thread, with a simulated network and the platform's stand-ins.
class ConfigurationCluster
{
public:
    struct Host
    {
        Host(ConfigurationCluster &owner, std::string name, const std::string &region, const std::string &zone)
            : id(std::move(name))
            , table(owner.context, {owner.tableServer.address(), "127.0.0.1", 50, 100, std::chrono::milliseconds(200)})
            , objects(owner.context, {owner.objectServer.address(), "127.0.0.1", 50, 100, std::chrono::milliseconds(200)})
        {
            auto result = ConfigurationService::create(
                owner.context, {id, RegionId(region), ZoneId(zone)}, state, table, objects, [this, &owner](const HostId &to, const PeerMessage &message) {
                    owner.deliver(id, to, message);
                });
            cr_assert(result.has_value());
            service = std::move(result.value());
        }

        std::uint64_t version() const
        {
            return service->configuration()->version.value();
        }

        HostId id;
        HostState state{HostId("host"), RegionId("gulf"), ZoneId("gulf-a")};
        TableClient table;
        ObjectClient objects;
        std::unique_ptr<ConfigurationService> service;
    };

    /// Starts one host in each of the first count zones, named after its zone, and commits the commands unless they are empty.
    explicit ConfigurationCluster(std::size_t count = 6, const std::string &commands = s_threeRegions)
    {
        for (std::size_t i = 0; i < count; ++i) {
            add(i);
        }
        if (!commands.empty()) {
            const auto outcome = change(0, commands);
            cr_assert(outcome.status == ChangeStatus::Accepted, "%s: %s", changeStatusName(outcome.status), outcome.message.c_str());
            runFor(50);
        }
    }

    /// Starts or restarts the host of a zone.
    void add(std::size_t index)
    {
        static const char *const zones[] = {"gulf-a", "plains-a", "hill-a", "gulf-b", "plains-b", "hill-b"};
        const std::string zone = zones[index];
        hosts.resize(std::max(hosts.size(), index + 1));
        hosts[index] = std::make_unique<Host>(*this, zone, zone.substr(0, zone.find('-')), zone);
        if (index == members.size()) {
            members.push_back({HostId(zone), RegionId(zone.substr(0, zone.find('-'))), ZoneId(zone), {}, {}, false, {}});
        }
        for (const auto &host : hosts) {
            if (host) {
                host->state.updateRouting([this](RoutingView &view) { view.hosts = members; });
            }
        }
        hosts[index]->service->start();
    }

    /// Stops a host like a killed process; it stays on the list of hosts.
    void kill(std::size_t index)
    {
        hosts[index]->service->stop();
        killedHosts.push_back(std::move(hosts[index]));
    }

    ChangeOutcome change(std::size_t index, const std::string &text, std::optional<std::uint64_t> base = std::nullopt, bool dryRun = false)
    {
        std::optional<ChangeOutcome> result;
        startChange(index, text, result, base, dryRun);
        runUntil([&] { return result.has_value(); }, 12000);
        cr_assert(result.has_value(), "the change was not completed");
        return *result;
    }

    void startChange(
        std::size_t index, const std::string &text, std::optional<ChangeOutcome> &result, std::optional<std::uint64_t> base = std::nullopt, bool dryRun = false)
    {
        const auto version = base ? std::optional(ConfigurationVersion(*base)) : std::nullopt;
        hosts[index]->service->changeConfiguration(
            text, version, "operator-" + std::to_string(index), dryRun, [&result](const ChangeOutcome &outcome) { result = outcome; });
    }

    template<typename Condition>
    bool runUntil(Condition condition, int limitMs)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    void runFor(int milliseconds)
    {
        runUntil([] { return false; }, milliseconds);
    }

    bool allAt(std::uint64_t version) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [version](const auto &host) { return !host || host->version() == version; });
    }

    /// Sends a heartbeat with the host's version from every host to every other.
    void exchangeDigests()
    {
        for (const auto &from : hosts) {
            for (const auto &to : hosts) {
                if (from && to && from != to) {
                    deliver(from->id, to->id, Heartbeat{1, Incarnation(1), Epoch(1), from->service->configuration()->version, SlotCount(0), false});
                }
            }
        }
    }

    void control(const std::string &address, const nlohmann::json &request)
    {
        bool done = false;
        boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) {
            JsonClient client(context, {address, {}});
            client.request({"POST", "/control", request.dump()}, BootClock::now() + std::chrono::seconds(1), yield);
            done = true;
        });
        cr_assert(runUntil([&] { return done; }, 2000));
    }

    std::uint64_t headVersion()
    {
        const auto reply = tableStore.read({{"keys", {"configuration/head"}}});
        const auto rows = nlohmann::json::parse(reply.body)["rows"];
        return rows.empty() ? 0 : rows[0]["value"]["version"].get<std::uint64_t>();
    }

    boost::asio::io_context context;
    SnapshotReaderThread readerThread;
    StandIns::TableStore tableStore;
    StandIns::ObjectStore objectStore;
    StandIns::PlatformServer tableServer{context, "127.0.0.1:0", StandIns::tableService(tableStore)};
    StandIns::PlatformServer objectServer{context, "127.0.0.1:0", StandIns::objectService(objectStore)};
    /// Kept because coroutines of killed hosts may still use their clients.
    std::vector<std::unique_ptr<Host>> killedHosts;
    std::vector<HostRouting> members;
    std::vector<std::unique_ptr<Host>> hosts;
    /// Messages for which this returns true are dropped.
    std::function<bool(const HostId &from, const HostId &to, const PeerMessage &message)> dropsMessage = [](const auto &...) { return false; };

private:
    void deliver(const HostId &from, const HostId &to, const PeerMessage &message)
    {
        if (dropsMessage(from, to, message)) {
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(1));
        timer->async_wait([this, timer, from, to, bytes = encodePeerMessage(message)](const boost::system::error_code & /*error*/) {
            const auto decoded = decodePeerMessage(bytes);
            cr_assert(decoded.has_value());
            for (const auto &host : hosts) {
                if (host && host->id == to) {
                    host->service->handle(from, decoded.value());
                }
            }
        });
    }
};

} // namespace Trefoil
