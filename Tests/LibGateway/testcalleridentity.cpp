#include "gatewayfixture.h"

#include <LibGateway/calleridentity.h>
#include <LibTelemetry/log.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fcntl.h>
#include <map>
#include <unistd.h>

using namespace Trefoil;
using namespace Trefoil::GatewayTests;
using namespace std::chrono_literals;

namespace
{

struct KeyCase
{
    char name[40];
    /// Values of the request's credential headers; an empty text is no header.
    char first[32];
    char second[32];
    /// Name of the customer, "" for an anonymous caller, or the reason of a refusal after "!".
    char onKeyedRoute[20];
    char onPublicRoute[20];
};

RoutingConfiguration configurationWithCustomers()
{
    RoutingConfiguration configuration = GatewayFixture::configuration();
    Route open = configuration.routes.front();
    open.id = RouteId("open");
    open.prefix = "/open/";
    open.isPublic = true;
    configuration.routes.push_back(open);
    configuration.version = ConfigurationVersion(2);
    configuration.customers = {{CustomerId("a"), {"key-a", "shared"}}, {CustomerId("b"), {"key-b", "shared"}}};
    return configuration;
}

std::string toText(const CallerIdentity &identity)
{
    struct Visitor
    {
        std::string operator()(const AnonymousCaller & /*caller*/) const
        {
            return "";
        }
        std::string operator()(const Customer *customer) const
        {
            return customer->id.value();
        }
        std::string operator()(const UnknownCaller &caller) const
        {
            return "!" + std::string(caller.reason);
        }
    };
    return std::visit(Visitor{}, identity);
}

/// A gateway with customers, and one upstream that keeps the headers of the requests that it gets.
struct CustomerFixture
{
    explicit CustomerFixture(RoutingConfiguration configuration = configurationWithCustomers(), GatewaySettings settings = {})
        : fixture(0, 1000us, std::move(settings))
    {
        fixture.state.setConfiguration(std::move(configuration));
        HttpServerSettings serverSettings;
        serverSettings.address = "127.0.0.1:0";
        upstream = std::move(HttpServer::create(fixture.context, serverSettings, [this](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
            received.push_back(request.headers);
            HttpResponse response;
            response.headers.add("Trefoil-Request-Id", std::string(request.headers.value("Trefoil-Request-Id")));
            return response;
        }).value());
        UpstreamRegistration registration;
        registration.id = UpstreamId("u");
        registration.service = ServiceId("service");
        registration.address = upstream->address();
        registration.zone = ZoneId("zone");
        registration.slots = SlotCount(4);
        fixture.state.upstreamStarted(registration, BootClock::now());
    }

    HttpResponse send(const std::string &target, const std::vector<HttpHeader> &headers, const asio::yield_context &yield)
    {
        HttpRequest request{"POST", target, {}, "two casts"};
        request.headers.add("Host", "a.example");
        request.headers.add("Trefoil-Request-Id", "id-" + std::to_string(++fixture.sent));
        for (const HttpHeader &header : headers) {
            request.headers.add(header.name, header.value);
        }
        return fixture.gateway.handle(request, fixture.caller, yield);
    }

    GatewayFixture fixture;
    std::unique_ptr<HttpServer> upstream;
    std::vector<HttpHeaders> received;
};

/// Collects what is written to standard output, which is the log, while it exists. A few kilobytes at most.
class LogCapture
{
public:
    LogCapture()
        : m_output(::dup(STDOUT_FILENO))
    {
        cr_assert_eq(::pipe(m_ends), 0);
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        ::dup2(m_ends[1], STDOUT_FILENO);
    }
    ~LogCapture()
    {
        ::dup2(m_output, STDOUT_FILENO);
        ::close(m_ends[0]);
        ::close(m_ends[1]);
        ::close(m_output);
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    std::string text()
    {
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::read(m_ends[0], buffer, sizeof buffer)) > 0) {
            m_text.append(buffer, static_cast<std::size_t>(count));
        }
        return m_text;
    }

private:
    int m_output;
    int m_ends[2] = {};
    std::string m_text;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against a request that runs for a customer whose key it doesn't carry, and against a refusal of a valid key.
ParameterizedTestParameters(CallerIdentity, keys)
{
    static KeyCase cases[] = {
        {"known key", "Token key-a", "", "a", "a"},
        {"key of another customer", "Token key-b", "", "b", "b"},
        {"no header", "", "", "!no-key", ""},
        {"two headers", "Token key-a", "Token key-a", "!several-keys", ""},
        {"two headers of two customers", "Token key-a", "Token key-b", "!several-keys", ""},
        {"other scheme", "Bearer key-a", "", "!other-scheme", ""},
        {"scheme in other case", "tOKEN key-a", "", "a", "a"},
        {"no scheme", "key-a", "", "!other-scheme", ""},
        {"scheme alone", "Token", "", "!other-scheme", ""},
        {"scheme and blanks", "Token   ", "", "!other-scheme", ""},
        {"longer scheme", "Tokens key-a", "", "!other-scheme", ""},
        {"several blanks", "Token \t  key-a", "", "a", "a"},
        {"blanks around", "  Token key-a \t", "", "a", "a"},
        {"unknown key", "Token key-c", "", "!unknown-key", ""},
        {"key in other case", "Token KEY-A", "", "!unknown-key", ""},
        {"two keys", "Token key-a key-b", "", "!unknown-key", ""},
        {"key of two customers", "Token shared", "", "!unknown-key", ""},
    };
    return cr_make_param_array(KeyCase, cases, std::size(cases));
}

ParameterizedTest(KeyCase *testCase, CallerIdentity, keys)
{
    const RouteTable routes(configurationWithCustomers());
    const RouteTable withoutCustomers(GatewayFixture::configuration());
    GatewayHeaders names;
    HttpHeaders headers;
    for (const char *value : {testCase->first, testCase->second}) {
        if (value[0] != '\0') {
            headers.add("authorization", value);
        }
    }
    const auto identify = [&](const RouteTable &table, const char *target) {
        return toText(identifyCaller(headers, *table.match("a.example", target), table, names));
    };
    cr_assert_eq(identify(routes, "/read/1"), testCase->onKeyedRoute, "%s", testCase->name);
    cr_assert_eq(identify(routes, "/open/1"), testCase->onPublicRoute, "%s", testCase->name);
    cr_assert_eq(identify(withoutCustomers, "/read/1"), "", "%s", testCase->name);
}

// Guards against a key that reaches an upstream, and against a customer's name that the caller chose.
Test(CallerIdentity, upstreamGetsTheCustomerAndNoKey)
{
    CustomerFixture test;
    test.fixture.run([&](const asio::yield_context &yield) {
        const std::vector<HttpHeader> forged = {{"Trefoil-Customer", "b"}, {"TREFOIL-CUSTOMER", "c"}, {"Connection", "Trefoil-Customer"}};
        std::vector<HttpHeader> headers = forged;
        headers.push_back({"Authorization", "Token key-a"});
        cr_assert_eq(test.send("/read/1", headers, yield).status, 200);
        cr_assert_eq(test.send("/open/1", forged, yield).status, 200);
        headers.back().value = "Token key-c";
        cr_assert_eq(test.send("/open/1", headers, yield).status, 200);
        cr_assert_eq(test.received.size(), 3);
        for (const HttpHeaders &received : test.received) {
            cr_assert_not(received.find("Authorization"));
        }
        cr_assert_eq(test.received[0].count("Trefoil-Customer"), 1);
        cr_assert_eq(test.received[0].value("Trefoil-Customer"), "a");
        cr_assert_not(test.received[1].find("Trefoil-Customer"));
        cr_assert_not(test.received[2].find("Trefoil-Customer"));
    });
}

// Guards against a request without a valid key that runs, and against a key that is shown in the response.
Test(CallerIdentity, unknownKeyIsRefused)
{
    CustomerFixture test;
    test.fixture.run([&](const asio::yield_context &yield) {
        const HttpResponse response = test.send("/write/1", {{"Authorization", "Token secret-key"}}, yield);
        cr_assert_eq(response.status, 401);
        cr_assert_eq(response.body.find("secret-key"), std::string::npos);
        cr_assert(test.received.empty());
    });
}

// Guards against headers that are dropped in a deployment without customers.
Test(CallerIdentity, withoutCustomersHeadersPass)
{
    CustomerFixture test(GatewayFixture::configuration());
    test.fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(test.send("/read/1", {{"Authorization", "Token key-a"}, {"Trefoil-Customer", "b"}}, yield).status, 200);
        cr_assert_eq(test.received.at(0).value("Authorization"), "Token key-a");
        cr_assert_eq(test.received.at(0).value("Trefoil-Customer"), "b");
    });
}

// Guards against a customer that is served outside the regions that it and the route allow.
Test(CallerIdentity, customerRegionsBind)
{
    const std::pair<std::vector<RegionId>, int> cases[] = {
        {{}, 200}, {{RegionId("region")}, 200}, {{RegionId("far")}, 503}, {{RegionId("far"), RegionId("region")}, 200}};
    for (const auto &[regions, status] : cases) {
        RoutingConfiguration configuration = configurationWithCustomers();
        configuration.customers[0].allowedRegions = regions;
        configuration.routes[0].allowedRegions = {RegionId("region")};
        CustomerFixture test(std::move(configuration));
        test.fixture.run([&, expected = status](const asio::yield_context &yield) {
            cr_assert_eq(test.send("/read/1", {{"Authorization", "Token key-a"}}, yield).status, expected);
        });
    }
}

// Guards against a key that is used at a host that can't show that it was not taken away, and against public routes that fail there, too.
Test(CallerIdentity, oldConfigurationsAdmitNoKeys)
{
    BootTime provenAt = BootClock::now();
    GatewaySettings settings;
    settings.revocation = {true, 1000ms};
    settings.configurationProvenAt = [&provenAt] { return provenAt; };
    CustomerFixture test(configurationWithCustomers(), settings);
    test.fixture.run([&](const asio::yield_context &yield) {
        const std::vector<HttpHeader> keyed = {{"Authorization", "Token key-a"}};
        cr_assert_eq(test.send("/read/1", keyed, yield).status, 200);
        provenAt -= 1000ms;
        const HttpResponse rejected = test.send("/read/1", keyed, yield);
        cr_assert(rejected.status == 503 && rejected.headers.find("Retry-After"));
        cr_assert_eq(test.send("/read/1", {{"Authorization", "Token key-c"}}, yield).status, 503);
        cr_assert_eq(test.send("/open/1", keyed, yield).status, 200);
        cr_assert_eq(test.received.size(), 2);
        cr_assert_not(test.received.at(1).find("Trefoil-Customer"));
        provenAt = BootClock::now();
        cr_assert_eq(test.send("/read/1", keyed, yield).status, 200);
    });
}

// Guards against a key that is checked at the arrival of a request only: the configuration grows too old while a connection is opened.
Test(CallerIdentity, keysAreCheckedWhenTheRequestIsSent)
{
    int questions = 0;
    GatewaySettings settings;
    settings.revocation = {true, 1000ms};
    settings.configurationProvenAt = [&questions] { return BootClock::now() - (++questions == 1 ? 0ms : 1000ms); };
    CustomerFixture test(configurationWithCustomers(), settings);
    test.fixture.run([&](const asio::yield_context &yield) {
        cr_assert_eq(test.send("/write/1", {{"Authorization", "Token key-a"}}, yield).status, 503);
        cr_assert(questions > 1 && test.received.empty());
    });
}

// Guards against a key in a log line, which `trefoilctl explain` would show, in a metric, in a response or in a request to an upstream, and against a
// log line for each request while the configuration is too old.
Test(CallerIdentity, keysAppearNowhere)
{
    BootTime provenAt = BootClock::now();
    GatewaySettings settings;
    settings.revocation = {true, 1000ms};
    settings.configurationProvenAt = [&provenAt] { return provenAt; };
    CustomerFixture test(configurationWithCustomers(), settings);
    LogCapture log;
    configureLog(LogLevel::Debug, HostId("host"), ZoneId("zone"));
    std::string responses;
    test.fixture.run([&](const asio::yield_context &yield) {
        const auto sendAll = [&] {
            for (const char *credential : {"Token key-a", "Token key-unknown", "Basic key-other", "Token shared"}) {
                for (const char *target : {"/read/1", "/open/1", "/missing/1"}) {
                    const HttpResponse response = test.send(target, {{"Authorization", credential}}, yield);
                    responses += response.body;
                    for (const HttpHeader &field : response.headers.all()) {
                        responses += field.name + ": " + field.value + "\n";
                    }
                }
            }
        };
        sendAll();
        provenAt -= 1000ms;
        sendAll();
        provenAt = BootClock::now();
        sendAll();
        test.fixture.state.upstreamRemoved(UpstreamId("u"));
        sendAll();
    });
    ScrapeWriter writer;
    test.fixture.metrics.writeTo(writer, test.fixture.state, BootClock::now());
    std::string forwarded;
    for (const HttpHeaders &headers : test.received) {
        for (const HttpHeader &field : headers.all()) {
            forwarded += field.name + ": " + field.value + "\n";
        }
    }
    const std::string logged = log.text();
    cr_assert_eq(countOf(logged, "keyed-requests-rejected"), 1);
    cr_assert_eq(countOf(logged, "keyed-requests-served"), 1);
    for (const char *key : {"key-a", "key-b", "key-unknown", "key-other", "shared"}) {
        cr_expect_eq(countOf(logged, key), 0, "a log line shows %s", key);
        cr_expect_eq(countOf(writer.text(), key), 0, "a metric shows %s", key);
        cr_expect_eq(countOf(responses, key), 0, "a response shows %s", key);
        cr_expect_eq(countOf(forwarded, key), 0, "an upstream gets %s", key);
    }
    cr_assert(writer.text().find("trefoil_customer_requests_total{customer=\"a\",outcome=\"answered\"} 4") != std::string::npos, "%s", writer.text().c_str());
}
