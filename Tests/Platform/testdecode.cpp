#include <platform/decode.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

Json configurationDocument()
{
    return {{"version", "r12"},
        {"routes",
            {{{"name", "r-1"},
                 {"host", "a.example"},
                 {"prefix", "/orders/"},
                 {"kind", "unsafe"},
                 {"timeout", "1200ms"},
                 {"target_latency", "0.8s"},
                 {"priority", 1},
                 {"service", "s-1"},
                 {"max_attempts", 2},
                 {"session_affinity", true},
                 {"allowed_regions", {"gulf"}}},
                {{"name", "r-2"},
                    {"host", "b.example"},
                    {"prefix", "/"},
                    {"kind", "safe"},
                    {"timeout", "4s"},
                    {"priority", 2},
                    {"traffic_split", {{{"service", "s-1"}, {"weight", 90}}, {{"service", "s-2"}, {"weight", 10}}}},
                    {"max_attempts", 2}}}},
        {"services", {{{"name", "s-1"}, {"health_path", "/healthz"}, {"max_conns", 360}, {"cold_start", "3s"}, {"cold_per_s", 3.2}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}}};
}

Json registrationDocument()
{
    return {{"service", "s-1"},
        {"address", "10.128.0.9:8080"},
        {"zone", "gulf-a"},
        {"version", "v1"},
        {"max_concurrency", 4},
        {"state", "ready"},
        {"cold_remaining", "1500ms"},
        {"seq_no", 7},
        {"born", 1790000000000}};
}

struct ChangeCase
{
    char name[56];
    /// Member to set, as a JSON pointer, and its new JSON text; an empty text removes the member.
    char pointer[36];
    char value[48];
    bool isReadable;
};

Json changed(Json document, const ChangeCase &testCase)
{
    const Json::json_pointer pointer(testCase.pointer);
    if (testCase.value[0] != '\0') {
        document[pointer] = Json::parse(testCase.value);
    } else {
        document[pointer.parent_pointer()].erase(pointer.back());
    }
    return document;
}

} // namespace

// Guards against fields of the configuration that are dropped or swapped.
Test(Decode, configuration)
{
    const auto decoded = decodeConfiguration(configurationDocument().dump());
    cr_assert(decoded.has_value());
    const RoutingConfiguration &configuration = decoded.value().configuration;
    cr_assert_eq(configuration.version.value(), 12);
    const Route &order = configuration.routes.at(0);
    cr_assert(order.kind == RequestKind::NonIdempotent && order.timeout == 1200ms && order.targetLatency == 800ms && order.priority == 1);
    cr_assert(order.hasAffinity && order.maximumAttempts == 2 && order.allowedRegions.at(0).value() == "gulf");
    const Route &split = configuration.routes.at(1);
    cr_assert(split.kind == RequestKind::Idempotent && split.targetLatency == 4000ms && !split.hasAffinity);
    cr_assert(split.services.size() == 2 && split.services[1].weight == 10 && split.services[1].service.value() == "s-2");
    cr_assert(configuration.services.at(0).coldStart == 3000ms && configuration.services.at(0).maximumConnections.value() == 360);
    cr_assert_eq(configuration.limits.body.value(), 67108864);
    cr_assert(decoded.value().findings.empty());
}

// Guards against customers whose fields are dropped or swapped, and against a finding that shows a key.
Test(Decode, customers)
{
    Json document = configurationDocument();
    document["routes"][1]["public"] = true;
    document["tenants"] = {
        {{"name", "t-1"}, {"api_keys", {"key-1", "key-2"}}, {"priority", 3}, {"rate_per_s", 33.5}, {"burst", 40}, {"allowed_regions", {"gulf", "hill"}}},
        {{"name", "t-2"}, {"api_keys", {"key-2"}}}};
    const auto decoded = decodeConfiguration(document.dump());
    cr_assert(decoded.has_value());
    const RoutingConfiguration &configuration = decoded.value().configuration;
    cr_assert(!configuration.routes.at(0).isPublic && configuration.routes.at(1).isPublic);
    const Customer &customer = configuration.customers.at(0);
    cr_assert(customer.id == CustomerId("t-1") && customer.keys == std::vector<std::string>({"key-1", "key-2"}));
    cr_assert(customer.priority == 3 && customer.requestsPerSecond == 33.5 && customer.burst == 40);
    cr_assert(customer.allowedRegions == std::vector<RegionId>({RegionId("gulf"), RegionId("hill")}));
    cr_assert(configuration.customers.at(1).requestsPerSecond == 0 && configuration.customers.at(1).allowedRegions.empty());
    cr_assert_eq(decoded.value().findings.size(), 1);
    cr_assert_eq(decoded.value().findings[0].place, "t-2");
    cr_assert_eq(decoded.value().findings[0].message.find("key-2"), std::string::npos);
    document["tenants"][0]["api_keys"][0] = 7;
    cr_assert(decodeConfiguration(document.dump()).has_error());
}

// Guards against a partially decoded configuration that is put in force, and against a new request kind that is read as idempotent.
ParameterizedTestParameters(Decode, invalidConfigurations)
{
    static ChangeCase cases[] = {
        {"no version", "/version", "", false},
        {"version of another form", "/version", "\"v12\"", false},
        {"no routes", "/routes", "", false},
        {"route without a host", "/routes/0/host", "", false},
        {"time without a unit", "/routes/0/timeout", "\"1200\"", false},
        {"neither service nor split", "/routes/0/service", "", false},
        {"empty split", "/routes/1/traffic_split", "[]", false},
        {"weight of 2^32", "/routes/1/traffic_split/0/weight", "4294967296", false},
        {"negative weight", "/routes/1/traffic_split/0/weight", "-1", false},
        {"a fraction of attempts", "/routes/0/max_attempts", "1.5", false},
        {"no attempts", "/routes/0/max_attempts", "0", false},
        {"attempts above 2^32", "/routes/0/max_attempts", "4294967298", false},
        {"priority as boolean", "/routes/0/priority", "true", false},
        {"connections of 2^63", "/services/0/max_conns", "9223372036854775808", false},
        {"negative rate", "/services/0/cold_per_s", "-1", false},
        {"rate of another type", "/services/0/cold_per_s", "\"3\"", false},
        {"body limit of 1e300", "/limits/max_body_bytes", "1e300", false},
        {"timeout of 0", "/routes/0/timeout", "\"0ms\"", false},
        {"timeout of 30 years", "/routes/0/timeout", "\"946080000s\"", false},
        {"version above 2^64", "/version", "\"r99999999999999999999\"", false},
        {"weight of another type", "/routes/1/traffic_split", "[{\"service\":\"s\"}]", false},
        {"no limits", "/limits", "", false},
        {"unknown member", "/something", "1", true},
    };
    return cr_make_param_array(ChangeCase, cases, std::size(cases));
}

ParameterizedTest(ChangeCase *testCase, Decode, invalidConfigurations)
{
    const auto decoded = decodeConfiguration(changed(configurationDocument(), *testCase).dump());
    cr_assert_eq(decoded.has_value(), testCase->isReadable, "%s", testCase->name);
}

// Guards against fields of a registration that are dropped or swapped.
Test(Decode, registration)
{
    const auto decoded = decodeRegistration("i-1", registrationDocument().dump());
    cr_assert(decoded.has_value());
    const UpstreamRegistration &registration = decoded.value();
    cr_assert(registration.id.value() == "i-1" && registration.service.value() == "s-1" && registration.address == "10.128.0.9:8080");
    cr_assert(registration.slots.value() == 4 && registration.coldRemaining == 1500ms && !registration.leaving);
    cr_assert(registration.startedAt == 1790000000000 && registration.reportNumber == 7);
}

// Guards against invalid rows of other writers that are used as upstreams.
ParameterizedTestParameters(Decode, invalidRegistrations)
{
    static ChangeCase cases[] = {
        {"draining", "/state", "\"draining\"", true},
        {"unknown state", "/state", "\"sleeping\"", false},
        {"no service", "/service", "", false},
        {"address of another type", "/address", "7", false},
        {"no slots", "/max_concurrency", "0", false},
        {"slots as text", "/max_concurrency", "\"4\"", false},
        {"no number", "/seq_no", "", false},
        {"time without a unit", "/cold_remaining", "\"5\"", false},
        {"start as text", "/born", "\"x\"", false},
        {"no start", "/born", "", true},
        {"slots above 2^32, which would wrap to 1", "/max_concurrency", "4294967297", false},
        {"slots of 2^63", "/max_concurrency", "9223372036854775808", false},
        {"slots of 1e300", "/max_concurrency", "1e300", false},
        {"a fraction of slots", "/max_concurrency", "4.7", false},
        {"slots as boolean", "/max_concurrency", "true", false},
        {"negative slots", "/max_concurrency", "-4", false},
        {"slots of null", "/max_concurrency", "null", false},
        {"report number of 9e99", "/seq_no", "9e99", false},
        {"report number of 2^64 - 1, which would wrap to -1", "/seq_no", "18446744073709551615", false},
        {"report number of 2^63 - 1", "/seq_no", "9223372036854775807", false},
        {"negative report number", "/seq_no", "-1", false},
        {"start of 2^63 - 1", "/born", "9223372036854775807", false},
        {"cold for 30 years", "/cold_remaining", "\"946080000s\"", false},
        {"negative cold time", "/cold_remaining", "\"-5s\"", false},
        {"cold time of null", "/cold_remaining", "null", false},
        {"port 0", "/address", "\"10.128.0.9:0\"", false},
        {"port 65536", "/address", "\"10.128.0.9:65536\"", false},
        {"port 70000", "/address", "\"10.128.0.9:70000\"", false},
        {"port -1", "/address", "\"10.128.0.9:-1\"", false},
        {"no port", "/address", "\"10.128.0.9\"", false},
        {"name as address", "/address", "\"upstream.example:80\"", false},
        {"empty address", "/address", "\"\"", false},
        {"empty zone", "/zone", "\"\"", false},
        {"unknown member", "/something", "[1,2]", true},
    };
    return cr_make_param_array(ChangeCase, cases, std::size(cases));
}

ParameterizedTest(ChangeCase *testCase, Decode, invalidRegistrations)
{
    const auto registration = decodeRegistration("i-1", changed(registrationDocument(), *testCase).dump());
    cr_assert_eq(registration.has_value(), testCase->isReadable, "%s", testCase->name);
}

// Guards against bytes in a row that crash the process.
Test(Decode, arbitraryBytesDoNotCrash)
{
    const std::string documents[] = {configurationDocument().dump(), registrationDocument().dump()};
    pcg32 random(20261204);
    for (int i = 0; i < 20000; ++i) {
        std::string corrupted = documents[i % 2];
        for (std::uint32_t change = 0; change <= random(6); ++change) {
            corrupted[random(static_cast<std::uint32_t>(corrupted.size()))] = static_cast<char>(random(256));
        }
        corrupted.resize(corrupted.size() - random(8));
        const auto registration = decodeRegistration("i", corrupted);
        cr_assert(!registration.has_value() || registration.value().slots.value() > 0);
        const auto configuration = decodeConfiguration(corrupted);
        cr_assert(!configuration.has_value() || !configuration.value().configuration.limits.headerTimeout.count() || i % 2 == 0);
    }
}

namespace
{

struct KindCase
{
    char kind[12];
    bool isIdempotent;
    /// Whether operators are told that the kind is not known.
    bool isReported;
};

} // namespace

// Guards against downloads that are never repeated, and against a new kind that is taken for idempotent.
ParameterizedTestParameters(Decode, kinds)
{
    static KindCase cases[] = {{"safe", true, false}, {"download", true, false}, {"unsafe", false, false}, {"keyed", false, true}, {"SAFE", false, true}};
    return cr_make_param_array(KindCase, cases, std::size(cases));
}

ParameterizedTest(KindCase *testCase, Decode, kinds)
{
    Json document = configurationDocument();
    document["routes"][0]["kind"] = testCase->kind;
    const auto decoded = decodeConfiguration(document.dump());
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded.value().configuration.routes[0].kind == RequestKind::Idempotent, testCase->isIdempotent, "%s", testCase->kind);
    cr_assert_eq(decoded.value().findings.size(), testCase->isReported ? 1U : 0U, "%s", testCase->kind);
}

// Guards against documents of another writer that exhaust the stack or the memory, or that can be read in two ways.
Test(Decode, oddDocumentsAreRefused)
{
    const std::string good = registrationDocument().dump();
    const std::string goodConfiguration = configurationDocument().dump();
    const auto nested = [](std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); };
    const auto withMember = [](const std::string &document, const std::string &member) { return "{" + member + "," + document.substr(1); };
    const std::string members[] = {"\"a\":" + nested(100000),
        "\"a\":" + nested(20),
        "\"a\":1e400",
        "\"state\":\"ready\",\"version\":\"r1\"",
        "\"a\":\"\xff\xfe\"",
        "\"a\":{\"b\":1,\"b\":2}",
        "\"a\":\"" + std::string(std::size_t{20} * 1024 * 1024, 'x') + "\""};
    for (const std::string &member : members) {
        cr_assert(decodeRegistration("i-1", withMember(good, member)).has_error(), "%.40s", member.c_str());
        cr_assert(decodeConfiguration(withMember(goodConfiguration, member)).has_error(), "%.40s", member.c_str());
    }
    Json longAddress = registrationDocument();
    longAddress["address"] = std::string(5000, '1') + ":80";
    cr_assert(decodeRegistration("i-1", longAddress.dump()).has_error());
    cr_assert(decodeRegistration("i-1", nested(100000)).has_error());
    cr_assert(decodeRegistration("i-1", std::string(100000, '[')).has_error());
    cr_assert(decodeRegistration("", good).has_error());
    cr_assert(decodeRegistration("i-1", withMember(good, "\"a\":[[[1]]]")).has_value());
}
