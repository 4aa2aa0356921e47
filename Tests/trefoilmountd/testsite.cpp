#include "testsite.h"

#include <LibConfiguration/json.h>
#include <LibCore/snapshot.h>

#include <boost/asio/spawn.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::hours s_leaseDuration{1};

std::string textOf(const ClaimKey &key)
{
    return key.service.value() + "/" + key.tenant.value() + "/" + key.key.value();
}

} // namespace

ClaimResult MemoryClaims::read(const std::string &key)
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        return ClaimNotFound{};
    }
    if (found->second.hasResponse) {
        return ClaimAnswered{found->second.response};
    }
    return found->second.running ? ClaimResult(ClaimRunning{}) : ClaimResult(ClaimOutcomeUnknown{});
}

ClaimAccess MemoryClaims::access()
{
    ClaimAccess access;
    access.claim = [this](const ClaimKey &key, BootTime, const asio::yield_context &) -> ClaimResult {
        const std::lock_guard lock(m_mutex);
        auto state = read(textOf(key));
        if (!std::holds_alternative<ClaimNotFound>(state)) {
            return state;
        }
        m_rows[textOf(key)] = {};
        return ClaimGranted{"claim-1"};
    };
    access.status = [this](const ClaimKey &key, BootTime, const asio::yield_context &) {
        const std::lock_guard lock(m_mutex);
        return read(textOf(key));
    };
    access.recordResponse = [this](const ClaimKey &key, const std::string &, StoredResponse response) {
        const std::lock_guard lock(m_mutex);
        m_rows[textOf(key)] = {false, true, std::move(response)};
    };
    access.recordNotRun = [this](const ClaimKey &key, const std::string &) {
        const std::lock_guard lock(m_mutex);
        m_rows.erase(textOf(key));
    };
    return access;
}

TestUpstreams::TestUpstreams(std::size_t count, UpstreamStandInSettings settings)
    : m_work(m_context.get_executor())
{
    for (std::size_t i = 0; i < count; ++i) {
        settings.name = fmt::format("upstream-{}", i);
        m_upstreams.push_back(std::move(UpstreamStandIn::create(m_context, settings).value()));
    }
    m_thread = std::thread([this] { m_context.run(); });
}

TestUpstreams::~TestUpstreams()
{
    m_context.stop();
    m_thread.join();
    m_upstreams.clear();
}

UpstreamStandIn &TestUpstreams::operator[](std::size_t index)
{
    return *m_upstreams[index];
}

std::size_t TestUpstreams::size() const
{
    return m_upstreams.size();
}

std::uint64_t TestUpstreams::startedRequests() const
{
    std::uint64_t count = 0;
    for (const auto &upstream : m_upstreams) {
        count += upstream->counts().begun;
    }
    return count;
}

std::shared_ptr<const Configuration> testConfiguration(const std::vector<std::string> &upstreamAddresses, int slots)
{
    auto document = nlohmann::json::parse(R"({
        "version": 1,
        "regions": [{"id": "gulf", "zones": [{"id": "gulf-a"}]}, {"id": "plains", "zones": [{"id": "plains-a"}]}],
        "links": [{"from": "gulf", "to": "plains", "delayMs": 12, "capacityKbps": 4000000},
            {"from": "plains", "to": "gulf", "delayMs": 12, "capacityKbps": 4000000}],
        "services": [{"id": "catalogue-svc", "objective": "headroom", "shiftCap": {"requests": 10, "intervalMs": 1000}, "upstreams": []}],
        "classes": [{"id": "browse", "progressTimeoutMs": 200, "mayWait": true}, {"id": "order", "progressTimeoutMs": 200, "mayRepeat": false}],
        "tenants": [{"id": "museum", "weight": 100}],
        "clientBlocks": [{"block": "127.0.0.0/8", "region": "gulf"}, {"block": "198.51.100.0/24", "region": "plains"}]
    })");
    for (std::size_t i = 0; i < upstreamAddresses.size(); ++i) {
        document["services"][0]["upstreams"].push_back({{"id", fmt::format("cat-{}", i)},
            {"region", "gulf"},
            {"zone", "gulf-a"},
            {"address", upstreamAddresses[i]},
            {"slots", slots},
            {"connections", 360}});
    }
    auto configuration = configurationFromJson(document);
    cr_assert(configuration.has_value(), "%s", configuration.has_error() ? toText(configuration.error().findings).c_str() : "");
    return std::make_shared<Configuration>(std::move(configuration.value()));
}

HostOptions testHostOptions(const std::string &id, const std::string &region)
{
    HostOptions options;
    options.host = HostId(id);
    options.region = RegionId(region);
    options.zone = ZoneId(region + "-a");
    options.incarnation = Incarnation(std::hash<std::string>{}(id));
    options.callerAddress = "127.0.0.1:0";
    options.peerSecret = "test secret";
    options.stopGrace = std::chrono::milliseconds(300);
    return options;
}

TestHost::TestHost(HostOptions options, ClaimAccess claims, TestUpstreams *upstreams, int slots)
    : m_options(options)
    , m_host(std::move(Host::create(std::move(options), std::move(claims)).value()))
{
    m_host->state().lease.extend(BootClock::now() + s_leaseDuration);
    publishConfiguration(upstreams, slots);
    m_host->start();
    setHosts({routing()});
    m_thread = std::thread([this] {
        const SnapshotReaderThread controlReader;
        m_host->run();
    });
}

void TestHost::publishConfiguration(TestUpstreams *upstreams, int slots)
{
    const SnapshotReaderThread reader;
    m_host->state().updateRouting([&](RoutingView &view) {
        std::vector<std::string> addresses;
        for (std::size_t i = 0; upstreams && i < upstreams->size(); ++i) {
            addresses.push_back((*upstreams)[i].address());
        }
        view.configuration = testConfiguration(addresses, slots);
        if (m_options.region.value() != "gulf") {
            return;
        }
        for (const auto &configuration : view.configuration->services[0].upstreams) {
            auto granted = UpstreamSlots::create();
            granted->setGranted(configuration.slots);
            view.upstreams.push_back(std::make_shared<UpstreamState>(UpstreamState{configuration, ServiceId("catalogue-svc"), granted, false}));
        }
    });
}

TestHost::~TestHost()
{
    m_host->controlContext().stop();
    join();
}

Host &TestHost::host()
{
    return *m_host;
}

std::string TestHost::address() const
{
    return m_host->callerAddress();
}

void TestHost::setHosts(const std::vector<HostRouting> &hosts)
{
    const SnapshotReaderThread reader;
    m_host->state().updateRouting([&hosts](RoutingView &view) { view.hosts = hosts; });
    m_host->state().routing.read([](const RoutingView &view) {
        for (const auto &link : view.links) {
            link.budget->setGranted(KilobitsPerSecond(1000000), BootClock::now() - std::chrono::seconds(1));
        }
    });
}

HostRouting TestHost::routing() const
{
    return {m_options.host, m_options.region, m_options.zone, address(), "127.0.0.1:1", false, SlotCount(4)};
}

void TestHost::join()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

CallResult TestCaller::call(const std::string &address, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    CallResult result;
    asio::spawn(m_context, [&](const asio::yield_context &yield) {
        CallOptions options;
        options.deadline = BootClock::now() + timeout;
        options.progressTimeout = timeout;
        result = m_pool.call(address, nullptr, request, options, yield);
        m_context.stop();
    });
    m_context.restart();
    m_context.run();
    return result;
}

HttpRequest testRequest(const std::string &requestClass, const std::string &key)
{
    HttpRequest request{"POST", "/v1/requests/catalogue-svc/casts/7", {}, "two casts"};
    request.headers.add("Trefoil-Tenant", "museum");
    request.headers.add("Trefoil-Class", requestClass);
    if (!key.empty()) {
        request.headers.add("Idempotency-Key", key);
    }
    return request;
}

std::string summaryOf(const CallResult &result)
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        return std::string(toText(failure->kind));
    }
    const auto &response = std::get<HttpResponse>(result);
    return fmt::format("{} {}", response.status, response.headers.value("Trefoil-Outcome"));
}

} // namespace Trefoil
