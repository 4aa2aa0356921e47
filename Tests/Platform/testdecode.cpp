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
    char name[40];
    /// Member to set, as a JSON pointer, and its new JSON text; an empty text removes the member.
    char pointer[32];
    char value[24];
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
    const RoutingConfiguration &configuration = decoded.value();
    cr_assert_eq(configuration.version.value(), 12);
    const Route &order = configuration.routes.at(0);
    cr_assert(order.kind == RequestKind::NonIdempotent && order.timeout == 1200ms && order.targetLatency == 800ms && order.priority == 1);
    cr_assert(order.hasAffinity && order.maximumAttempts == 2 && order.allowedRegions.at(0).value() == "gulf");
    const Route &split = configuration.routes.at(1);
    cr_assert(split.kind == RequestKind::Idempotent && split.targetLatency == 4000ms && !split.hasAffinity);
    cr_assert(split.services.size() == 2 && split.services[1].weight == 10 && split.services[1].service.value() == "s-2");
    cr_assert(configuration.services.at(0).coldStart == 3000ms && configuration.services.at(0).maximumConnections.value() == 360);
    cr_assert_eq(configuration.limits.body.value(), 67108864);
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
    const auto registration = decodeRegistration("i-1", registrationDocument().dump());
    cr_assert(registration.has_value());
    cr_assert(registration->id.value() == "i-1" && registration->service.value() == "s-1" && registration->address == "10.128.0.9:8080");
    cr_assert(registration->slots.value() == 4 && registration->coldRemaining == 1500ms && !registration->leaving);
    cr_assert(registration->startedAt == 1790000000000 && registration->reportNumber == 7);
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
        cr_assert(!registration || registration->slots.value() > 0);
        const auto configuration = decodeConfiguration(corrupted);
        cr_assert(!configuration.has_value() || !configuration.value().limits.headerTimeout.count() || i % 2 == 0);
    }
}
