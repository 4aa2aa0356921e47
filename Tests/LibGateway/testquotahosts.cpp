#include "gatewayfixture.h"

#include <LibCore/sleep.h>
#include <LibGateway/beacon.h>

#include <criterion/criterion.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;

namespace
{

const QuotaRules s_rules{5000ms, 0.1, 20};

/// A host that lends and borrows on the socket of its beacons.
struct QuotaHost
{
    QuotaHost(asio::io_context &context, const std::string &id)
        : registration{HostId(id), id + ":80", "", ZoneId("zone"), RegionId("region"), 1}
        , directory({registration.id, registration.zone, registration.region})
        , quotas(context, registration.id, s_rules, [this](const HostId &to, const std::string &bytes) {
            ++datagrams;
            beacons->sendDatagram(to, bytes);
        })
    {
        auto socket = BeaconSocket::create(context, "127.0.0.1:0", registration.id, directory);
        cr_assert(socket.has_value());
        beacons = std::move(socket.value());
        registration.peerAddress = beacons->address();
        directory.setSelf(registration, HostPhase::Serving);
        beacons->setDatagramHandler([this](std::string_view bytes) { return quotas.receive(bytes); });
    }

    HostRegistration registration;
    HostDirectory directory;
    int datagrams = 0;
    QuotaClient quotas;
    std::unique_ptr<BeaconSocket> beacons;
};

/// Three hosts that know each other and lend since some time ago.
struct QuotaHosts
{
    explicit QuotaHosts(const Customer &customer)
    {
        std::vector<HostRegistration> registrations;
        for (const char *id : {"host-a", "host-b", "host-c"}) {
            hosts.push_back(std::make_unique<QuotaHost>(context, id));
            registrations.push_back(hosts.back()->registration);
        }
        const BootTime begin = BootClock::now() - 1s;
        for (const auto &host : hosts) {
            host->directory.setRegistered(registrations, begin);
            host->quotas.update(host->directory.hostsWithRows(), {customer}, begin, begin);
        }
    }

    asio::io_context context{1};
    std::vector<std::unique_ptr<QuotaHost>> hosts;
};

Customer limitedCustomer(double rate, double burst)
{
    Customer customer;
    customer.id = CustomerId("a");
    customer.keys = {"key-a"};
    customer.requestsPerSecond = rate;
    customer.burst = burst;
    return customer;
}

/// A gateway whose customer has a limit and whose host is the only lender.
struct LimitedFixture
{
    explicit LimitedFixture(const Customer &customer, int upstreamCount)
        : quotas(quotaContext, HostId("self"), {5000ms, 0, 0}, [](const HostId &, const std::string &) {})
        , gateway(upstreamCount, 1000us, settings())
    {
        RoutingConfiguration configuration = GatewayFixture::configuration();
        configuration.version = ConfigurationVersion(2);
        configuration.customers = {customer};
        gateway.state.setConfiguration(std::move(configuration));
    }

    GatewaySettings settings()
    {
        GatewaySettings result;
        result.quotas = &quotas;
        return result;
    }

    /// Lends since a second ago.
    void lend(const Customer &customer)
    {
        const BootTime begin = BootClock::now() - 1s;
        quotas.update({HostId("self")}, {customer}, begin, begin);
    }

    HttpResponse send(const asio::yield_context &yield)
    {
        HttpRequest request{"POST", "/read/1", {}, "two casts"};
        request.headers.add("Host", "a.example");
        request.headers.add("Trefoil-Request-Id", "id-" + std::to_string(++gateway.sent));
        request.headers.add("Authorization", "Token key-a");
        return gateway.gateway.handle(request, gateway.caller, yield);
    }

    std::string metrics() const
    {
        ScrapeWriter writer;
        quotas.writeTo(writer);
        return writer.text();
    }

    /// Its only lender is this host, so that no reply is awaited.
    asio::io_context quotaContext{1};
    QuotaClient quotas;
    GatewayFixture gateway;
};

} // namespace

// Guards against hosts that don't understand each other's datagrams, admit more than the limit together, or reject what is below it.
Test(QuotaHosts, hostsShareALimit)
{
    const Customer customer = limitedCustomer(30, 0);
    QuotaHosts test(customer);
    int granted = 0;
    int exceeded = 0;
    int running = 0;
    for (const auto &host : test.hosts) {
        ++running;
        asio::spawn(test.context, [&](const asio::yield_context &yield) {
            for (int i = 0; i < 100; ++i) {
                const auto outcome = host->quotas.acquire(customer, BootClock::now() + 1s, yield);
                granted += std::holds_alternative<Permit>(outcome) ? 1 : 0;
                const auto *over = std::get_if<QuotaExceeded>(&outcome);
                exceeded += over ? 1 : 0;
                cr_assert(!over || over->timeUntilRoom > 0ms);
                sleepFor(test.context, 10ms, yield);
            }
            if (--running == 0) {
                test.context.stop();
            }
        });
    }
    test.context.run();
    // Depth of the buckets: (0.1 x 150 + 20) / 2; the machine may be slow, so that the time in which they fill is not known.
    cr_assert_geq(granted, 17);
    cr_assert_eq(granted + exceeded, 300);
    int datagrams = 0;
    for (const auto &host : test.hosts) {
        datagrams += host->datagrams;
    }
    cr_assert(datagrams > 0 && datagrams < 300, "%d", datagrams);
}

// Guards against a host that waits for lenders which are gone, answers 429 in their place, or stops receiving beacons after a malformed datagram.
Test(QuotaHosts, missingLendersAndMalformedDatagrams)
{
    const Customer customer = limitedCustomer(300, 0);
    QuotaHosts test(customer);
    asio::spawn(test.context, [&](const asio::yield_context &yield) {
        QuotaHost &asking = *test.hosts.front();
        for (const char *bytes : {"", "x", "\xA1\x65quota\x67request", "\xBB\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"}) {
            test.hosts[1]->beacons->sendDatagram(asking.registration.id, bytes);
        }
        asking.quotas.stopLending();
        test.hosts[1]->quotas.stopLending();
        cr_assert(std::holds_alternative<Permit>(asking.quotas.acquire(customer, BootClock::now() + 1s, yield)), "one lender is left");
        test.hosts[1]->beacons->sendAll(HostPhase::Stopping, true);
        test.hosts.pop_back();
        sleepFor(test.context, 400ms, yield);
        const BootTime begin = BootClock::now();
        cr_assert(std::holds_alternative<QuotaUnavailable>(asking.quotas.acquire(customer, begin + 10s, yield)));
        cr_assert(asking.directory.runningPeers(BootClock::now()).empty(), "the beacon was received");
        test.context.stop();
    });
    test.context.run();
}

// Guards against requests over the limit that run, a 429 without the time, and a metric that leaves them out.
Test(GatewayQuota, requestsOverTheLimitGet429)
{
    const Customer customer = limitedCustomer(1, 0);
    LimitedFixture test(customer, 1);
    test.gateway.run([&](const asio::yield_context &yield) {
        const HttpResponse unavailable = test.send(yield);
        cr_assert(unavailable.status == 503 && unavailable.headers.find("Retry-After"), "there is no lender");
        test.lend(customer);
        cr_assert_eq(test.send(yield).status, 200);
        const HttpResponse rejected = test.send(yield);
        cr_assert_eq(rejected.status, 429);
        const double seconds = std::stod(std::string(rejected.headers.value("Retry-After")));
        cr_assert(seconds > 0 && seconds <= 1.01, "%g", seconds);
        cr_assert_eq(test.gateway.begun(), 1);
    });
    cr_assert_neq(test.metrics().find("trefoil_quota_rejections_total{customer=\"a\",reason=\"exceeded\"} 1"), std::string::npos, "%s", test.metrics().c_str());
}

// Guards against a permit that is lost with a request which was not sent.
Test(GatewayQuota, permitOfAnUnsentRequestIsUsedAgain)
{
    const Customer customer = limitedCustomer(0.5, 1);
    LimitedFixture test(customer, 0);
    test.gateway.run([&](const asio::yield_context &yield) {
        const BootTime begin = BootClock::now() - 2s;
        test.quotas.update({HostId("self")}, {customer}, begin, begin);
        cr_assert_eq(test.send(yield).status, 503, "no upstream");
        cr_assert_eq(test.send(yield).status, 503, "no upstream, with the same permit");
    });
    cr_assert_neq(test.metrics().find("trefoil_quota_permits_total{event=\"borrowed\"} 1"), std::string::npos, "%s", test.metrics().c_str());
}

// Guards against a limit on customers without a rate.
Test(GatewayQuota, customersWithoutARateNeedNoPermit)
{
    const Customer customer = limitedCustomer(0, 0);
    LimitedFixture test(customer, 1);
    test.gateway.run([&](const asio::yield_context &yield) {
        for (int i = 0; i < 5; ++i) {
            cr_assert_eq(test.send(yield).status, 200);
        }
    });
    cr_assert_neq(test.metrics().find("event=\"borrowed\"} 0"), std::string::npos);
}
