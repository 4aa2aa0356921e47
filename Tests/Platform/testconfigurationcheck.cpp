#include "check.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;
using Json = nlohmann::json;

namespace
{

Json soundConfiguration()
{
    return {{"version", "r2"},
        {"routes",
            {{{"name", "r-1"},
                 {"host", "a.example"},
                 {"prefix", "/orders/"},
                 {"kind", "unsafe"},
                 {"timeout", "2s"},
                 {"target_latency", "1s"},
                 {"service", "s-1"}},
                {{"name", "r-2"},
                    {"host", "a.example"},
                    {"prefix", "/"},
                    {"kind", "safe"},
                    {"timeout", "2s"},
                    {"allowed_regions", {"gulf"}},
                    {"traffic_split", {{{"service", "s-1"}, {"weight", 9}}, {{"service", "s-2"}, {"weight", 1}}}}}}},
        {"services", {{{"name", "s-1"}}, {{"name", "s-2"}}}},
        {"tenants", {{{"name", "t-1"}, {"api_keys", {"secret-1"}}, {"rate_per_s", 5}, {"burst", 5}}, {{"name", "t-2"}, {"api_keys", {"secret-2"}}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout", "3s"}, {"idle_timeout", "15s"}}}};
}

struct CheckCase
{
    /// Member that is set, as a JSON pointer, and its value.
    char pointer[40];
    char value[48];
    int exit;
    /// A part of the output.
    char expected[64];
};

} // namespace

// Guards against faults that are found only when the configuration is in force, and against a sound one that is refused.
ParameterizedTestParameters(Check, faults)
{
    static CheckCase cases[] = {
        {"/version", "\"r3\"", 0, "0 errors, 0 warnings"},
        {"/version", "3", 2, "can't be read"},
        {"/routes/1/prefix", "\"/orders/\"", 1, "error: routes/r-2: never matches"},
        {"/routes/1/host", "\"A.example\"", 0, "0 errors, 0 warnings"},
        {"/routes/1/name", "\"r-1\"", 1, "error: routes/r-1: the route stands twice"},
        {"/routes/0/prefix", "\"/orders\"", 1, "error: routes/r-1: the prefix matches no path"},
        {"/routes/0/service", "\"s-9\"", 1, "error: routes/r-1: service s-9 isn't declared"},
        {"/routes/1/traffic_split/1/weight", "0", 0, "warning: routes/r-2: service s-2 gets no requests"},
        {"/routes/0/target_latency", "\"3s\"", 0, "warning: routes/r-1: the target latency of 3000 ms"},
        {"/services/1/name", "\"s-1\"", 1, "error: services/s-1: the service stands twice"},
        {"/services/0/cold_per_s", "3", 0, "warning: services/s-1: the rate of cold upstreams"},
        {"/tenants/1/api_keys/0", "\"secret-1\"", 1, "error: customers/t-2: customer t-1 holds one of its keys"},
        {"/tenants/1/name", "\"t-1\"", 1, "error: customers/t-1: the customer stands twice"},
        {"/tenants/1/api_keys", "[]", 0, "warning: customers/t-2: the customer has no key"},
        {"/tenants/1/burst", "3", 0, "warning: customers/t-2: the burst has no effect"},
        {"/tenants/0/allowed_regions", "[\"hill\"]", 0, "warning: customers/t-1: route r-2 allows gulf"},
        {"/limits/idle_timeout", "\"1s\"", 0, "warning: limits: the idle timeout"},
    };
    return cr_make_param_array(CheckCase, cases, std::size(cases));
}

ParameterizedTest(CheckCase *testCase, Check, faults)
{
    Json document = soundConfiguration();
    document[Json::json_pointer(testCase->pointer)] = Json::parse(testCase->value);
    const CheckOutcome outcome = checkConfigurationText(document.dump(), "");
    cr_assert_eq(outcome.exit, testCase->exit, "%s: %s", testCase->pointer, outcome.text.c_str());
    cr_assert_neq(outcome.text.find(testCase->expected), std::string::npos, "%s: %s", testCase->pointer, outcome.text.c_str());
    cr_assert_eq(outcome.text.find("secret"), std::string::npos, "%s", outcome.text.c_str());
}

// Guards against changes that aren't told, unchanged parts that are, and keys that are shown.
Test(Check, changes)
{
    Json proposed = soundConfiguration();
    proposed["version"] = "r5";
    proposed["routes"][0]["timeout"] = "3s";
    proposed["routes"][1]["name"] = "r-3";
    proposed["tenants"][0]["api_keys"] = {"secret-3", "secret-4"};
    proposed["limits"]["idle_timeout"] = "20s";
    const CheckOutcome outcome = checkConfigurationText(proposed.dump(), soundConfiguration().dump());
    cr_assert_eq(outcome.text,
        "change: route r-1: timeout 2000 ms -> 3000 ms\n"
        "change: route r-2: removed\n"
        "change: route r-3: added\n"
        "change: customer t-1: keys: 2 added, 1 removed\n"
        "change: limits: idle timeout 15000 ms -> 20000 ms\n"
        "0 errors, 0 warnings\n",
        "%s",
        outcome.text.c_str());
}

// Guards against an older version that is sent without notice: hosts would ignore it.
Test(Check, olderVersion)
{
    const std::string text = soundConfiguration().dump();
    cr_assert_neq(checkConfigurationText(text, text).text.find("change: version: 2 is not above 2"), std::string::npos);
}
