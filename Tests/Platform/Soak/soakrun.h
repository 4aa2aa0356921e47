#pragma once

#include <Platform/Soak/customerbook.h>
#include <Platform/Soak/promises.h>
#include <Platform/Soak/soakplan.h>
#include <Platform/Soak/soakupstream.h>
#include <Platform/Soak/steadycallers.h>

#include <LibHttp/connectionpool.h>
#include <Platform/storestandin.h>
#include <Scenarios/linkproxy/proxy.h>
#include <Scenarios/process.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <pcg_random.hpp>

namespace Trefoil::Soak
{

struct SoakSettings
{
    PlanSettings plan;
    std::size_t hosts = 6;
    std::size_t upstreams = 12;
    /// Requests a second of all callers.
    double requestRate = 150;
    /// First two numbers of all loopback addresses; runs beside each other need different ones.
    std::string network = "127.60";
    /// The host's program, and where logs and settings of this run go.
    std::string program;
    std::string folder;
    UpstreamWork work;
    /// Upstreams run in processes of their own, which hosts reach without a proxy; only planned faults are played then.
    bool hasUpstreamProcesses = false;
    /// For each host: processes of callers that stay until it is gone, and callers in each.
    int callerProcesses = 0;
    int callersInProcess = 30;
    /// This program, which starts itself for upstreams and callers.
    std::string self;
    /// Shows the faults as they happen.
    bool isVerbose = false;
};

struct SoakResult
{
    std::vector<std::string> violations;
    std::string summary;
};

/// One run: the host's program in separate processes, a proxy between them, the store and the upstreams, and callers that keep
/// their connections. Thread safety: one thread, which runs everything.
class SoakRun
{
public:
    /// Precondition: the folder exists.
    explicit SoakRun(SoakSettings settings);

    /// Plays the faults, lets the system recover and compares what was seen with the promises. Precondition: called once.
    SoakResult run();

private:
    struct Host
    {
        std::string name;
        std::string zone;
        std::string ip;
        /// A fault of this host is under way; another one is left out.
        bool isBusy = false;
        /// It got SIGTERM and runs; further signals reach it.
        bool isStopping = false;
        bool hasStarted = false;
    };
    struct UpstreamPlace
    {
        std::unique_ptr<SoakUpstream> upstream;
        /// Set when the upstream has a process of its own.
        std::optional<UpstreamProcess> process{};
        std::string zone;
        std::string ip;
        int generation = 0;
        std::int64_t report = 0;
        bool isBusy = false;
    };

    void createPlaces();
    void createProxy();
    void startHost(std::size_t index, const boost::asio::yield_context &yield);
    /// Files of hosts that start for the first time differ, with customers only.
    std::string settingsPath(const Host &host, bool isFirstStart) const;
    void writeSettings(const Host &host, bool isFirstStart) const;
    bool isReady(const Host &host, const boost::asio::yield_context &yield);
    void awaitReady(std::size_t index, const boost::asio::yield_context &yield);
    void registerUpstream(UpstreamPlace &place, const std::string &state);
    void writeConfiguration();

    void play(const boost::asio::yield_context &yield);
    void apply(const Fault &fault, const boost::asio::yield_context &yield);
    void applyToHost(const Fault &fault, std::size_t index, const boost::asio::yield_context &yield);
    void applyToStore(const Fault &fault, const boost::asio::yield_context &yield);
    void applyToUpstream(const Fault &fault, UpstreamPlace &place, const boost::asio::yield_context &yield);
    void killHost(std::size_t index, std::chrono::milliseconds pause, const boost::asio::yield_context &yield);
    void stopHost(std::size_t index, std::chrono::milliseconds pause, const boost::asio::yield_context &yield);
    void replaceUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield);
    /// The process dies and comes back at its address under another id; its row stays for the time of three heartbeats, and the new
    /// process repeats its rejections.
    void crashUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield);
    void removeUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield);
    /// Changes a key or a limit and writes the configuration.
    void changeCustomer(const Fault &fault);
    void evacuate(const Fault &fault, const boost::asio::yield_context &yield);

    void startUpstream(UpstreamPlace &place);
    void startSteadyCallers();
    /// Ends the processes of callers and upstreams and takes what they saw into the promises.
    void collectReports(const boost::asio::yield_context &yield);
    void endProcess(const std::string &name, const boost::asio::yield_context &yield);

    void callers(const boost::asio::yield_context &yield);
    void call(const boost::asio::yield_context &yield);
    /// Adds the headers of a customer's caller, with customers only.
    void identify(CallerRequest &request, HttpRequest &message);
    /// No log of a host holds a key.
    void checkLogs();
    /// Records when this program itself stands still, so that what it then measured can be told from what hosts did.
    void watchStandstills(const boost::asio::yield_context &yield);
    /// Records a step that kept this program's only thread for long.
    void recordStep(const std::string &step, BootTime from);
    void expectRecovery(const boost::asio::yield_context &yield);

    void link(const std::string &from, const std::string &to, const std::string &mode, const nlohmann::json &more = {});
    void spawn(std::function<void(const boost::asio::yield_context &yield)> body);
    void say(const std::string &text) const;

    SoakSettings m_settings;
    boost::asio::io_context m_context{1};
    Promises m_promises;
    pcg32 m_random;
    /// Set with customers only.
    std::optional<CustomerBook> m_customers;
    Platform::StoreStandIn m_store;
    std::unique_ptr<LinkProxy::Proxy> m_proxy;
    std::vector<Host> m_hosts;
    std::vector<UpstreamPlace> m_upstreams;
    Scenarios::Processes m_processes;
    std::vector<SteadySettings> m_steady;
    std::uint64_t m_steadyRequests = 0;
    std::uint64_t m_steadyServed = 0;
    ConnectionPool m_pool;
    std::string m_standstills;
    BootTime m_start;
    int m_version = 0;
    int m_open = 0;
    std::uint64_t m_sent = 0;
    bool m_storeIsBusy = false;
    bool m_isEvacuated = false;
    bool m_ends = false;
};

} // namespace Trefoil::Soak
