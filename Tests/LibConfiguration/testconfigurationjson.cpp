#include <LibConfiguration/digest.h>
#include <LibConfiguration/json.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace
{

nlohmann::json soundDocument()
{
    return nlohmann::json::parse(R"({
        "version": 1,
        "regions": [{"id": "gulf", "zones": [{"id": "gulf-a"}]}, {"id": "plains", "zones": [{"id": "plains-a"}]}],
        "links": [{"from": "gulf", "to": "plains", "delayMs": 12, "capacityKbps": 4000000}],
        "services": [{"id": "catalogue-svc", "objective": "headroom", "shiftCap": {"requests": 10, "intervalMs": 1000},
            "upstreams": [{"id": "cat-1", "region": "gulf", "zone": "gulf-a", "address": "127.0.0.1:9001", "slots": 4, "connections": 360}]}],
        "classes": [{"id": "browse"}],
        "tenants": [{"id": "museum", "weight": 200}],
        "clientBlocks": [{"block": "198.51.100.0/24", "region": "gulf"}]
    })");
}

struct FaultCase
{
    char pointer[48];
    char value[64];
    char place[48];
};

} // namespace

// Guards against members that are written but not read back, or the other way round.
Test(ConfigurationJson, roundTrip)
{
    const auto first = Trefoil::configurationFromJson(soundDocument());
    cr_assert(first.has_value());
    const auto second = Trefoil::configurationFromJson(Trefoil::toJson(first.value()));
    cr_assert(second.has_value());
    cr_assert_eq(Trefoil::digest(first.value()), Trefoil::digest(second.value()));
}

// Guards against unsound documents that are accepted, or reported at the wrong place.
ParameterizedTestParameters(ConfigurationJson, faults)
{
    static FaultCase cases[] = {
        {"/regions/0/limitPercent", "0", "/regions/0/limitPercent"},
        {"/regions/1/id", "\"gulf\"", "/regions/1/id"},
        {"/links/0/to", "\"plain\"", "/links/0/to"},
        {"/links/0/to", "\"gulf\"", "/links/0"},
        {"/services/0/upstreams/0/address", "\"localhost:1\"", "/services/0/upstreams/0/address"},
        {"/services/0/upstreams/0/address", "\"127.0.0.1:99999\"", "/services/0/upstreams/0/address"},
        {"/services/0/upstreams/0/slots", "\"4\"", "/services/0/upstreams/0/slots"},
        {"/services/0/upstreams/0/slots", "99999999999", "/services/0/upstreams/0/slots"},
        {"/services/0/upstreams/0/zone", "\"plains-a\"", "/services/0/upstreams/0/zone"},
        {"/services/0/objective", "\"cost\"", "/services/0/objective"},
        {"/services/0/shiftCap/requests", "-1", "/services/0/shiftCap/requests"},
        {"/services/0/colour", "1", "/services/0/colour"},
        {"/clientBlocks/0/block", "\"198.51.100.7/24\"", "/clientBlocks/0/block"},
        {"/tenants/0/weight", "0", "/tenants/0/weight"},
        {"/version", "-3", "/version"},
        {"/classes", "{}", "/classes"},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, ConfigurationJson, faults)
{
    auto document = soundDocument();
    document[nlohmann::json::json_pointer(testCase->pointer)] = nlohmann::json::parse(testCase->value);
    const auto result = Trefoil::configurationFromJson(document);
    cr_assert(result.has_error(), "%s = %s was accepted", testCase->pointer, testCase->value);
    bool found = false;
    for (const auto &finding : result.error().findings) {
        found = found || finding.place == testCase->place;
    }
    cr_assert(
        found, "%s = %s: no finding at %s, but:\n%s", testCase->pointer, testCase->value, testCase->place, Trefoil::toText(result.error().findings).c_str());
}

// Guards against reports that stop at the first fault.
Test(ConfigurationJson, allFindingsTogether)
{
    auto document = soundDocument();
    document["regions"][0]["limitPercent"] = 101;
    document["tenants"][0]["weight"] = 0;
    document["clientBlocks"][0]["region"] = "hill";
    const auto result = Trefoil::configurationFromJson(document);
    cr_assert(result.has_error());
    cr_assert_eq(result.error().findings.size(), 3);
}
