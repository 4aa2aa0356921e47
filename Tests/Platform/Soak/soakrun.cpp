#include <Platform/Soak/soakrun.h>

#include <LibCore/sleep.h>
#include <LibGateway/gatewayheaders.h>
#include <platform/decode.h>

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>

namespace Trefoil::Soak
{

namespace
{

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int s_callerPort = 8080;
constexpr int s_readinessPort = 8081;
constexpr int s_lookupPort = 8082;
constexpr int s_peerPort = 8083;
constexpr int s_metricsPort = 9464;
constexpr int s_upstreamPort = 9000;
/// The proxy's listeners stand before upstreams and store at this port.
constexpr int s_proxyPort = 9100;
constexpr int s_controlPort = 9101;

/// Zones and their regions; hosts and upstreams take turns.
const std::vector<std::pair<std::string, std::string>> s_zones = {{"east-a", "east"}, {"east-b", "east"}, {"west-a", "west"}};
const std::vector<std::string> s_services = {"alpha", "beta"};
const std::vector<std::string> s_regions = {"east", "west"};

/// A route that one region serves, and which one it is stays the same for a number of versions.
struct RegionalRoute
{
    std::string name;
    std::size_t versions;
};

/// With both, a version differs from each of the three before it. Their prefixes are nested.
const std::vector<RegionalRoute> s_regionalRoutes = {{"home", 1}, {"home/inner", 2}};

/// A route that needs no key, with customers only.
const std::string s_publicRoute = "open";

constexpr std::chrono::milliseconds s_requestTimeout{1500};
/// Callers wait this much longer than the request may take, to see whether it is held.
constexpr std::chrono::milliseconds s_callerPatience{3000};
constexpr std::chrono::milliseconds s_stopGrace{6000};
/// A stopping host takes connections for at least this long.
constexpr std::chrono::milliseconds s_acceptsWhileStopping{2000};
/// Operators ask for this time between a change and its effect; a host that lost an answer has no more after the store's return.
constexpr std::chrono::milliseconds s_lostAnswer{2000};
/// After the last fault the system has this long until everything is served again.
constexpr std::chrono::milliseconds s_recovery = s_lostAnswer + s_changeBound;
constexpr std::chrono::milliseconds s_calmEnd{3000};
/// The row of a process that crashed goes after three heartbeats.
constexpr std::chrono::milliseconds s_rowLifetime{3000};
/// Processes of callers and upstreams write their reports within this time.
constexpr std::chrono::milliseconds s_reportLimit{5000};
constexpr std::chrono::milliseconds s_watchInterval{20};
constexpr std::string_view s_steadyPrefix = "steady-";
/// Share of the requests of the calm end that are served.
constexpr double s_calmServed = 0.95;

std::string endpoint(const std::string &ip, int port)
{
    return fmt::format("{}:{}", ip, port);
}

Json routeDocument(const std::string &name, const std::string &kind, const std::string &service)
{
    return {{"name", name},
        {"host", "soak.example"},
        {"prefix", "/" + name + "/"},
        {"kind", kind},
        {"timeout", fmt::format("{}ms", s_requestTimeout.count())},
        {"target_latency", "500ms"},
        {"priority", 1},
        {"service", service},
        {"max_attempts", 2},
        {"session_affinity", name == "read"}};
}

ResponseKind kindOf(const CallResult &result)
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        return failure->kind == CallFailureKind::DeadlineExceeded || failure->kind == CallFailureKind::Stalled ? ResponseKind::Held
                                                                                                               : ResponseKind::ConnectionLost;
    }
    const HttpResponse &response = std::get<HttpResponse>(result);
    if (response.status == 200) {
        return ResponseKind::Served;
    }
    switch (response.status) {
    case 401:
        return ResponseKind::Unauthorized;
    case 429:
        return ResponseKind::QuotaExceeded;
    case 503:
        return ResponseKind::Rejected;
    default:
        return ResponseKind::Failed;
    }
}

} // namespace

SoakRun::SoakRun(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.plan.seed)
    , m_store(m_context)
    , m_pool(m_context, {})
{
    if (m_settings.plan.hasCustomers) {
        m_customers.emplace(m_settings.plan.seed);
    }
    createPlaces();
    createProxy();
}

void SoakRun::createPlaces()
{
    for (std::size_t i = 0; i < m_settings.hosts; ++i) {
        m_hosts.push_back({fmt::format("host-{}", i), s_zones[i % s_zones.size()].first, fmt::format("{}.1.{}", m_settings.network, i + 1)});
    }
    for (std::size_t i = 0; i < m_settings.upstreams; ++i) {
        UpstreamPlace place;
        const auto &[zone, region] = s_zones[i / s_services.size() % s_zones.size()];
        place.zone = zone;
        place.ip = fmt::format("{}.2.{}", m_settings.network, i + 1);
        place.upstream = std::make_unique<SoakUpstream>(
            m_context,
            [this](const Execution &execution) { m_promises.began(execution); },
            m_settings.work,
            s_services[i % s_services.size()],
            region,
            endpoint(place.ip, s_upstreamPort));
        place.upstream->onKeySeen = [this, ip = place.ip](
                                        const std::string &requestId) { m_promises.note(fmt::format("{}: its key reached {}", requestId, ip)); };
        if (m_settings.hasUpstreamProcesses) {
            place.process = UpstreamProcess{fmt::format("u-{}-0", place.ip),
                place.upstream->service(),
                region,
                endpoint(place.ip, s_upstreamPort),
                m_settings.work,
                fmt::format("{}/upstream-{}.txt", m_settings.folder, i)};
        }
        m_upstreams.push_back(std::move(place));
    }
}

void SoakRun::createProxy()
{
    Json endpoints = Json::array({{{"name", "store"}, {"ip", "127.0.0.1"}}});
    const std::string storeIp = m_settings.network + ".3.1";
    Json listeners = Json::array({{{"listen", endpoint(storeIp, s_proxyPort)}, {"target", m_store.address()}}});
    for (const Host &host : m_hosts) {
        endpoints.push_back({{"name", host.name}, {"ip", host.ip}, {"groups", {"hosts"}}});
    }
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        const std::string &ip = m_upstreams[i].ip;
        endpoints.push_back({{"name", ip}, {"ip", ip}, {"groups", {"upstreams"}}});
        listeners.push_back({{"listen", endpoint(ip, s_proxyPort)}, {"target", endpoint(ip, s_upstreamPort)}});
    }
    const Json document = {{"control", endpoint(storeIp, s_controlPort)}, {"endpoints", endpoints}, {"listeners", listeners}};
    const auto configuration = LinkProxy::proxyConfigurationFromJson(document);
    m_proxy = std::make_unique<LinkProxy::Proxy>(m_context, configuration.value());
    m_proxy->start();
}

void SoakRun::link(const std::string &from, const std::string &to, const std::string &mode, const Json &more)
{
    Json change = {{"from", from}, {"to", to}, {"mode", mode}};
    if (more.is_object()) {
        change.update(more);
    }
    const auto changed = m_proxy->change(change);
    if (changed.has_error()) {
        throw std::logic_error(changed.error().message);
    }
}

void SoakRun::spawn(std::function<void(const boost::asio::yield_context &yield)> body)
{
    ++m_open;
    boost::asio::spawn(m_context, [this, body = std::move(body)](const boost::asio::yield_context &yield) {
        body(yield);
        --m_open;
    });
}

void SoakRun::say(const std::string &text) const
{
    if (m_settings.isVerbose) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_start);
        fmt::print("{:6.2f} s {}\n", static_cast<double>(at.count()) / 1000, text);
        std::fflush(stdout);
    }
}

std::string SoakRun::settingsPath(const Host &host, bool isFirstStart) const
{
    return fmt::format("{}/{}{}.json", m_settings.folder, host.name, m_customers && isFirstStart ? "-first" : "");
}

void SoakRun::writeSettings(const Host &host, bool isFirstStart) const
{
    Json zones;
    for (const auto &[zone, region] : s_zones) {
        zones[zone] = region;
    }
    Json limits = {{"stopGrace", fmt::format("{}ms", s_stopGrace.count())}};
    if (m_customers) {
        const CustomerRules rules;
        limits.update({{"strictRevocation", true},
            {"revocationTime", fmt::format("{}ms", rules.revocationTime.count())},
            {"quotaWindow", fmt::format("{}ms", rules.quotaWindow.count())},
            {"quotaOverage", rules.quotaOverage},
            {"quotaSlack", rules.quotaSlack}});
    }
    Json document = {{"host", host.name},
        {"zone", host.zone},
        {"region", zones[host.zone]},
        {"sourceAddress", host.ip},
        {"callerAddress", endpoint(host.ip, s_callerPort)},
        {"readinessAddress", endpoint(host.ip, s_readinessPort)},
        {"lookupAddress", endpoint(host.ip, s_lookupPort)},
        {"peerAddress", endpoint(host.ip, s_peerPort)},
        {"metricsAddress", endpoint(host.ip, s_metricsPort)},
        {"zones", zones},
        {"store", {{"address", endpoint(m_settings.network + ".3.1", s_proxyPort)}}},
        {"limits", limits}};
    if (m_customers) {
        // Otherwise no host lends permits in the first 15 s.
        document["firstStart"] = isFirstStart;
    }
    std::ofstream(settingsPath(host, isFirstStart)) << document.dump(1) << "\n";
}

void SoakRun::startHost(std::size_t index, const boost::asio::yield_context &yield)
{
    Host &host = m_hosts[index];
    const std::string settings = "TREFOILMOUNT_SETTINGS=" + settingsPath(host, !host.hasStarted);
    host.hasStarted = true;
    const BootTime from = BootClock::now();
    // env replaces itself by the program, so that the process id stays.
    const auto started =
        m_processes.start({host.name, "/usr/bin/env", {settings, m_settings.program, "--gateway"}, m_settings.folder + "/" + host.name + ".log"});
    recordStep("start of " + host.name, from);
    if (started.has_error()) {
        throw std::runtime_error(started.error().message);
    }
    awaitReady(index, yield);
}

bool SoakRun::isReady(const Host &host, const boost::asio::yield_context &yield)
{
    CallOptions options;
    options.deadline = BootClock::now() + 500ms;
    HttpRequest request{"GET", "/api/ready", {}, {}};
    request.headers.add("Host", host.name);
    const auto result = m_pool.call(endpoint(host.ip, s_readinessPort), nullptr, request, options, yield);
    const auto *response = std::get_if<HttpResponse>(&result);
    return response && response->status == 200;
}

void SoakRun::awaitReady(std::size_t index, const boost::asio::yield_context &yield)
{
    const Host &host = m_hosts[index];
    // A host that starts without the store has no configuration and can't be ready.
    while (m_processes.isRunning(host.name)) {
        if (isReady(host, yield)) {
            return;
        }
        sleepFor(m_context, 20ms, yield);
    }
    m_promises.note(host.name + " ended while it started");
}

void SoakRun::registerUpstream(UpstreamPlace &place, const std::string &state)
{
    const Json row = {{"service", place.upstream->service()},
        {"address", endpoint(place.ip, place.process ? s_upstreamPort : s_proxyPort)},
        {"zone", place.zone},
        {"max_concurrency", m_settings.work.slots},
        {"state", state},
        {"cold_remaining", "0ms"},
        {"seq_no", ++place.report}};
    m_store.set("servers", place.process ? place.process->id : place.upstream->id(), row.dump());
}

void SoakRun::writeConfiguration()
{
    ++m_version;
    const std::string &moving = s_services[static_cast<std::size_t>(m_version) % s_services.size()];
    Json services = Json::array();
    for (const std::string &service : s_services) {
        services.push_back({{"name", service}});
    }
    Json routes = Json::array({routeDocument("read", "safe", "alpha"), routeDocument("write", "unsafe", "beta"), routeDocument("moving", "safe", moving)});
    const BootTime now = BootClock::now();
    for (const RegionalRoute &route : s_regionalRoutes) {
        const std::string &region = s_regions[static_cast<std::size_t>(m_version) / route.versions % s_regions.size()];
        routes.push_back(routeDocument(route.name, "safe", "alpha"));
        routes.back()["allowed_regions"] = Json::array({region});
        m_promises.routeChanged(route.name, {now, "alpha", {region}});
    }
    Json document = {{"version", fmt::format("r{}", m_version)},
        {"routes", routes},
        {"services", services},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}}};
    if (m_customers) {
        document["routes"].push_back(routeDocument(s_publicRoute, "safe", "alpha"));
        document["routes"].back()["public"] = true;
        document["tenants"] = m_customers->document();
    }
    m_store.set("op", "config", document.dump());
    if (m_customers) {
        m_promises.customersConfigured(m_customers->versions(), now, BootClock::now());
    }
    m_promises.routeChanged("moving", {now, moving});
}

void SoakRun::killHost(std::size_t index, std::chrono::milliseconds pause, const boost::asio::yield_context &yield)
{
    Host &host = m_hosts[index];
    const BootTime from = BootClock::now();
    static_cast<void>(m_processes.signal(host.name, SIGKILL));
    while (!m_processes.waitForExit(host.name, 0ms)) {
        sleepFor(m_context, 5ms, yield);
    }
    sleepFor(m_context, pause, yield);
    startHost(index, yield);
    m_promises.hostDisturbed(index, {from, BootClock::now()});
    m_promises.hostKilled(index, {from, BootClock::now()});
}

void SoakRun::stopHost(std::size_t index, std::chrono::milliseconds pause, const boost::asio::yield_context &yield)
{
    Host &host = m_hosts[index];
    const BootTime from = BootClock::now();
    m_promises.hostStopped(index, from);
    host.isStopping = true;
    static_cast<void>(m_processes.signal(host.name, SIGTERM));
    std::optional<int> code;
    while (!(code = m_processes.waitForExit(host.name, 0ms)) && BootClock::now() < from + s_stopGrace) {
        sleepFor(m_context, 20ms, yield);
    }
    host.isStopping = false;
    if (!code) {
        m_promises.note(fmt::format("{} runs {} ms after SIGTERM", host.name, s_stopGrace.count()));
        killHost(index, pause, yield);
        return;
    }
    if (*code != 0) {
        m_promises.note(fmt::format("{} ended with {} after SIGTERM", host.name, *code));
    }
    if (BootClock::now() < from + s_acceptsWhileStopping) {
        m_promises.note(fmt::format("{} ended less than {} ms after SIGTERM", host.name, s_acceptsWhileStopping.count()));
    }
    sleepFor(m_context, pause, yield);
    startHost(index, yield);
    // Until connections are no longer taken, a stopping host owes its callers everything that others do.
    m_promises.hostDisturbed(index, {from + s_acceptsWhileStopping, BootClock::now()});
}

void SoakRun::applyToHost(const Fault &fault, std::size_t index, const boost::asio::yield_context &yield)
{
    Host &host = m_hosts[index];
    if (host.isStopping && fault.kind == FaultKind::HostHangup) {
        static_cast<void>(m_processes.signal(host.name, SIGHUP));
    }
    if (host.isStopping && fault.kind == FaultKind::HostStopped) {
        static_cast<void>(m_processes.signal(host.name, SIGTERM));
    }
    if (host.isBusy) {
        return;
    }
    host.isBusy = true;
    const BootTime from = BootClock::now();
    switch (fault.kind) {
    case FaultKind::HostPaused:
        static_cast<void>(m_processes.signal(host.name, SIGSTOP));
        sleepFor(m_context, fault.duration, yield);
        static_cast<void>(m_processes.signal(host.name, SIGCONT));
        // What changed meanwhile has to be learned first.
        m_promises.hostDisturbed(index, {from, BootClock::now() + s_tolerance});
        break;
    case FaultKind::HostStopped:
        stopHost(index, fault.duration, yield);
        break;
    case FaultKind::HostHangup:
        static_cast<void>(m_processes.signal(host.name, SIGHUP));
        break;
    case FaultKind::StoreCutFromHost:
        link(host.name, "store", "cut");
        sleepFor(m_context, fault.duration, yield);
        link(host.name, "store", "normal");
        m_promises.storeDisturbed({from, BootClock::now() + s_lostAnswer});
        break;
    default:
        killHost(index, fault.duration, yield);
        break;
    }
    host.isBusy = false;
}

void SoakRun::applyToStore(const Fault &fault, const boost::asio::yield_context &yield)
{
    if (m_storeIsBusy) {
        return;
    }
    m_storeIsBusy = true;
    const BootTime from = BootClock::now();
    switch (fault.kind) {
    case FaultKind::StoreDown:
        m_store.isDown = true;
        break;
    case FaultKind::StoreSilent:
        link("hosts", "store", "silent");
        break;
    case FaultKind::StoreSlow:
        m_store.delay = 800ms;
        break;
    case FaultKind::StoreAnswersLost:
        m_store.dropsResponses = true;
        break;
    case FaultKind::StoreReadsOld:
        m_store.freezeReads(true);
        break;
    case FaultKind::StoreHangs:
        m_store.setUnresponsive(true);
        break;
    default:
        m_store.truncateHistory();
        break;
    }
    sleepFor(m_context, fault.duration, yield);
    m_store.isDown = false;
    m_store.dropsResponses = false;
    m_store.delay = 0ms;
    m_store.freezeReads(false);
    m_store.setUnresponsive(false);
    link("hosts", "store", "normal");
    // A call that hangs is given up first; then the changes have their usual time.
    m_promises.storeDisturbed({from, BootClock::now() + s_lostAnswer});
    m_storeIsBusy = false;
}

void SoakRun::replaceUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield)
{
    const std::string old = place.upstream->id();
    place.upstream->kill();
    sleepFor(m_context, pause, yield);
    m_store.remove("servers", old);
    place.upstream->start(fmt::format("u-{}-{}", place.ip, ++place.generation));
    registerUpstream(place, "ready");
}

void SoakRun::crashUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield)
{
    const std::string old = place.upstream->id();
    place.upstream->kill();
    sleepFor(m_context, pause / 2, yield);
    place.upstream->start(fmt::format("u-{}-{}", place.ip, ++place.generation));
    place.upstream->behaviour.repeatsRejections = true;
    registerUpstream(place, "ready");
    sleepFor(m_context, s_rowLifetime, yield);
    m_store.remove("servers", old);
}

void SoakRun::removeUpstream(UpstreamPlace &place, std::chrono::milliseconds pause, const boost::asio::yield_context &yield)
{
    const BootTime from = BootClock::now();
    registerUpstream(place, "draining");
    sleepFor(m_context, pause, yield);
    m_promises.upstreamBanned(place.upstream->id(), {from, BootClock::now()});
    replaceUpstream(place, 0ms, yield);
}

void SoakRun::applyToUpstream(const Fault &fault, UpstreamPlace &place, const boost::asio::yield_context &yield)
{
    if (place.isBusy) {
        return;
    }
    place.isBusy = true;
    const BootTime from = BootClock::now();
    const std::string id = place.upstream->id();
    switch (fault.kind) {
    case FaultKind::UpstreamReset:
        link("hosts", place.ip, "cut");
        break;
    case FaultKind::UpstreamSilent:
        link("hosts", place.ip, "silent");
        break;
    case FaultKind::UpstreamMute:
        link(place.ip, "hosts", "silent", {{"oneWay", true}});
        break;
    case FaultKind::UpstreamConnectionsForgotten:
        link("hosts", place.ip, "silent", {{"existingOnly", true}});
        break;
    case FaultKind::UpstreamDelayed:
        link("hosts", place.ip, "normal", {{"delayMs", 150}});
        break;
    case FaultKind::UpstreamFails:
        place.upstream->behaviour.fails = true;
        break;
    case FaultKind::UpstreamSheds:
        place.upstream->behaviour.sheds = true;
        break;
    case FaultKind::UpstreamSlow:
        place.upstream->behaviour.slowness = 20;
        break;
    case FaultKind::UpstreamReplaced:
        crashUpstream(place, fault.duration, yield);
        break;
    default:
        removeUpstream(place, fault.duration, yield);
        break;
    }
    sleepFor(m_context, fault.duration, yield);
    link("hosts", place.ip, "normal");
    m_promises.linkDisturbed(id, {from, BootClock::now() + s_tolerance});
    place.upstream->behaviour = {};
    place.isBusy = false;
}

void SoakRun::changeCustomer(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KeyRemoved:
        m_customers->removeKey(fault.target);
        break;
    case FaultKind::KeyAdded:
        m_customers->addKey(fault.target);
        break;
    case FaultKind::LimitLowered:
        m_customers->lowerLimit(fault.target);
        break;
    default:
        m_customers->restoreLimit(fault.target);
        break;
    }
    writeConfiguration();
}

void SoakRun::evacuate(const Fault &fault, const boost::asio::yield_context &yield)
{
    if (m_isEvacuated) {
        return;
    }
    m_isEvacuated = true;
    const std::string zone = s_zones[fault.target % s_zones.size()].first;
    const BootTime from = BootClock::now();
    m_store.set("op", "evacuate/" + zone, "{}");
    sleepFor(m_context, fault.duration, yield);
    for (const UpstreamPlace &place : m_upstreams) {
        if (place.zone == zone) {
            m_promises.upstreamBanned(place.upstream->id(), {from, BootClock::now()});
        }
    }
    m_store.remove("op", "evacuate/" + zone);
    m_isEvacuated = false;
}

void SoakRun::apply(const Fault &fault, const boost::asio::yield_context &yield)
{
    say(fmt::format("{} {} for {} ms", toText(fault.kind), fault.target, fault.duration.count()));
    switch (fault.kind) {
    case FaultKind::HostPaused:
    case FaultKind::HostKilled:
    case FaultKind::HostStopped:
    case FaultKind::HostHangup:
    case FaultKind::StoreCutFromHost:
        applyToHost(fault, fault.target % m_hosts.size(), yield);
        return;
    case FaultKind::AllHostsKilled:
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            spawn([this, fault, i](const boost::asio::yield_context &own) { applyToHost(fault, i, own); });
        }
        return;
    case FaultKind::StoreDown:
    case FaultKind::StoreSilent:
    case FaultKind::StoreSlow:
    case FaultKind::StoreAnswersLost:
    case FaultKind::StoreHistoryLost:
    case FaultKind::StoreReadsOld:
    case FaultKind::StoreHangs:
        applyToStore(fault, yield);
        return;
    case FaultKind::Configuration:
        writeConfiguration();
        return;
    case FaultKind::ConfigurationUnreadable:
        // A host that starts meanwhile has no configuration.
        m_store.set("op", "config", R"({"version":"r1000000","routes":[{"name":"read"}]})");
        sleepFor(m_context, fault.duration, yield);
        writeConfiguration();
        return;
    case FaultKind::KeyRemoved:
    case FaultKind::KeyAdded:
    case FaultKind::LimitLowered:
    case FaultKind::LimitRestored:
        changeCustomer(fault);
        return;
    case FaultKind::ZoneEvacuated:
        evacuate(fault, yield);
        return;
    default:
        applyToUpstream(fault, m_upstreams[fault.target % m_upstreams.size()], yield);
        return;
    }
}

void SoakRun::startUpstream(UpstreamPlace &place)
{
    const std::string id = fmt::format("u-{}-0", place.ip);
    if (!place.process) {
        place.upstream->start(id);
        return;
    }
    const UpstreamProcess &process = *place.process;
    const auto started = m_processes.start({process.id,
        m_settings.self,
        {"upstream",
            "--id=" + process.id,
            "--service=" + process.service,
            "--region=" + process.region,
            "--address=" + process.address,
            "--report=" + process.report,
            fmt::format("--slots={}", process.work.slots),
            fmt::format("--shortest-work={}", process.work.shortest.count()),
            fmt::format("--longest-work={}", process.work.longest.count())},
        m_settings.folder + "/upstreams.log"});
    if (started.has_error()) {
        throw std::runtime_error(started.error().message);
    }
}

void SoakRun::startSteadyCallers()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        for (int i = 0; i < m_settings.callerProcesses; ++i) {
            const std::string prefix = fmt::format("{}{}-{}", s_steadyPrefix, host, i);
            m_steady.push_back(
                {endpoint(m_hosts[host].ip, s_callerPort), host, m_settings.callersInProcess, prefix, fmt::format("{}/{}.txt", m_settings.folder, prefix)});
        }
    }
    for (const SteadySettings &steady : m_steady) {
        const auto started = m_processes.start({steady.prefix,
            m_settings.self,
            {"callers",
                "--address=" + steady.address,
                fmt::format("--host={}", steady.host),
                fmt::format("--count={}", steady.callers),
                "--prefix=" + steady.prefix,
                "--report=" + steady.report},
            m_settings.folder + "/callers.log"});
        if (started.has_error()) {
            throw std::runtime_error(started.error().message);
        }
    }
}

void SoakRun::endProcess(const std::string &name, const boost::asio::yield_context &yield)
{
    std::optional<int> code;
    static_cast<void>(m_processes.signal(name, SIGTERM));
    const BootTime limit = BootClock::now() + s_reportLimit;
    while (!(code = m_processes.waitForExit(name, 0ms)) && BootClock::now() < limit) {
        sleepFor(m_context, 5ms, yield);
    }
    if (code != std::optional<int>(0)) {
        m_promises.note(name + " gave no whole report");
    }
}

void SoakRun::collectReports(const boost::asio::yield_context &yield)
{
    std::set<std::string> unanswered;
    for (const SteadySettings &steady : m_steady) {
        endProcess(steady.prefix, yield);
        const SteadyReport report = readSteadyReport(steady.report);
        m_steadyRequests += report.requests;
        m_steadyServed += report.served;
        for (const UnansweredRequest &request : report.unanswered) {
            unanswered.insert(request.id);
            m_promises.unanswered(request);
        }
    }
    for (const UpstreamPlace &place : m_upstreams) {
        if (!place.process) {
            continue;
        }
        endProcess(place.process->id, yield);
        for (const Execution &execution : readExecutions(*place.process)) {
            // Executions of answered requests of steady callers are not compared with anything.
            if (execution.id.compare(0, s_steadyPrefix.size(), s_steadyPrefix) != 0 || unanswered.count(execution.id) > 0) {
                m_promises.began(execution);
            }
        }
    }
}

void SoakRun::identify(CallerRequest &request, HttpRequest &message)
{
    if (!m_customers) {
        return;
    }
    const GatewayHeaders names = Platform::platformHeaders();
    const Credentials credentials = m_customers->draw();
    for (const std::string &authorization : credentials.authorizations) {
        message.headers.add(names.credential, authorization);
    }
    for (const std::string &name : credentials.names) {
        message.headers.add(names.customer, name);
    }
    request.key = credentials.key;
    request.isPublic = request.route == s_publicRoute;
    request.isEntitled = !credentials.isLimited && (request.isPublic || credentials.isKnownEverywhere);
}

void SoakRun::checkLogs()
{
    for (const Host &host : m_hosts) {
        std::ifstream log(m_settings.folder + "/" + host.name + ".log");
        std::string line;
        while (std::getline(log, line)) {
            if (line.find(s_keyMark) != std::string::npos) {
                m_promises.note(host.name + " logged a key: " + line);
            }
        }
    }
}

void SoakRun::call(const boost::asio::yield_context &yield)
{
    static const std::vector<std::string> allRoutes = {"read", "write", "moving", s_regionalRoutes[0].name, s_regionalRoutes[1].name, s_publicRoute};
    const std::size_t routes = m_customers ? allRoutes.size() : allRoutes.size() - 1;
    CallerRequest request;
    request.id = fmt::format("{:x}-{}", m_settings.plan.seed, ++m_sent);
    request.route = allRoutes[m_random(static_cast<std::uint32_t>(routes))];
    request.host = m_random(static_cast<std::uint32_t>(m_hosts.size()));
    request.isIdempotent = request.route != "write";
    request.timeout = s_requestTimeout;
    HttpRequest message{"POST", fmt::format("/{}/{}", request.route, m_sent), {}, "cast"};
    message.headers.add("Host", "soak.example");
    message.headers.add("Request-Id", request.id);
    message.headers.add("Affinity-Key", fmt::to_string(m_random(40)));
    message.headers.add("Deadline-Ms", fmt::to_string(s_requestTimeout.count()));
    identify(request, message);
    request.sentAt = BootClock::now();
    CallOptions options;
    options.deadline = request.sentAt + s_requestTimeout + s_callerPatience;
    options.progressTimeout = s_requestTimeout + s_callerPatience;
    const CallResult result = m_pool.call(endpoint(m_hosts[request.host].ip, s_callerPort), nullptr, message, options, yield);
    request.endedAt = BootClock::now();
    request.end = kindOf(result);
    if (request.end == ResponseKind::Served) {
        request.body = std::get<HttpResponse>(result).body;
    }
    m_promises.ended(request);
}

void SoakRun::callers(const boost::asio::yield_context &yield)
{
    std::exponential_distribution<double> gap(m_settings.requestRate);
    BootTime next = BootClock::now();
    while (!m_ends) {
        next += std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(gap(m_random)));
        const BootTime now = BootClock::now();
        if (next > now) {
            sleepFor(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(next - now), yield);
        }
        spawn([this](const boost::asio::yield_context &own) { call(own); });
    }
}

void SoakRun::recordStep(const std::string &step, BootTime from)
{
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - from);
    if (took > s_tolerance) {
        m_standstills += fmt::format(", {} took {} ms", step, took.count());
    }
}

void SoakRun::watchStandstills(const boost::asio::yield_context &yield)
{
    while (!m_ends) {
        const BootTime from = BootClock::now();
        sleepFor(m_context, s_watchInterval, yield);
        recordStep(fmt::format("a pause of {} ms", s_watchInterval.count()), from);
    }
}

void SoakRun::expectRecovery(const boost::asio::yield_context &yield)
{
    sleepFor(m_context, s_recovery, yield);
    for (const Host &host : m_hosts) {
        if (!isReady(host, yield)) {
            m_promises.note(host.name + " is not ready after all faults have ended");
        }
    }
    const std::size_t before = m_promises.served();
    const std::size_t total = m_promises.entitled();
    sleepFor(m_context, s_calmEnd, yield);
    const auto requests = static_cast<double>(m_promises.entitled() - total);
    const auto served = static_cast<double>(m_promises.served() - before);
    if (served < requests * s_calmServed) {
        m_promises.note(fmt::format("only {} of {} requests were served after all faults had ended", served, requests));
    }
}

void SoakRun::play(const boost::asio::yield_context &yield)
{
    // Not at each start: writing them anew took up to 3.5 s, in which the store and the upstreams stood still.
    for (const Host &host : m_hosts) {
        writeSettings(host, false);
        if (m_customers) {
            writeSettings(host, true);
        }
    }
    m_start = BootClock::now();
    writeConfiguration();
    for (UpstreamPlace &place : m_upstreams) {
        startUpstream(place);
        registerUpstream(place, "ready");
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        startHost(i, yield);
        m_promises.hostDisturbed(i, {m_start, BootClock::now() + s_changeBound});
    }
    sleepFor(m_context, s_changeBound, yield);
    m_start = BootClock::now();
    startSteadyCallers();
    spawn([this](const boost::asio::yield_context &own) { callers(own); });
    spawn([this](const boost::asio::yield_context &own) { watchStandstills(own); });
    for (const Fault &fault : planFaults(m_settings.plan)) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_start + fault.at - BootClock::now());
        sleepFor(m_context, std::max(wait, 0ms), yield);
        spawn([this, fault](const boost::asio::yield_context &own) { apply(fault, own); });
    }
    const auto isBusy = [](const auto &thing) { return thing.isBusy; };
    while (
        std::any_of(m_hosts.begin(), m_hosts.end(), isBusy) || std::any_of(m_upstreams.begin(), m_upstreams.end(), isBusy) || m_storeIsBusy || m_isEvacuated) {
        sleepFor(m_context, 50ms, yield);
    }
    expectRecovery(yield);
    m_ends = true;
    // The last requests end, and what upstreams still hear of them is heard.
    const BootTime end = BootClock::now() + s_requestTimeout + s_callerPatience + s_tolerance;
    while (m_open > 1 && BootClock::now() < end) {
        sleepFor(m_context, 20ms, yield);
    }
    collectReports(yield);
    checkLogs();
    for (const Host &host : m_hosts) {
        if (!m_processes.isRunning(host.name)) {
            m_promises.note(host.name + " ended by itself");
        }
    }
    m_context.stop();
}

SoakResult SoakRun::run()
{
    spawn([this](const boost::asio::yield_context &yield) { play(yield); });
    m_context.run();
    m_processes.endAll();
    std::string summary = m_promises.summary() + m_standstills;
    if (!m_steady.empty()) {
        summary += fmt::format(", steady requests {}, served {}", m_steadyRequests, m_steadyServed);
    }
    return {m_promises.violations(), summary};
}

} // namespace Trefoil::Soak
