#include <LibSettings/gatewaysettings.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;
using Json = nlohmann::json;

namespace
{

Json settingsDocument()
{
    return {{"host", "edge-1"},
        {"zone", "gulf-a"},
        {"region", "gulf"},
        {"sourceAddress", "10.0.0.1"},
        {"callerAddress", "10.0.0.1:80"},
        {"readinessAddress", "10.0.0.1:81"},
        {"lookupAddress", "10.0.0.1:82"},
        {"peerAddress", "10.0.0.1:83"},
        {"metricsAddress", "10.0.0.1:84"},
        {"zones", {{"gulf-a", "gulf"}, {"hill-a", "hill"}}},
        {"store", {{"address", "10.0.0.9:90"}}},
        {"limits", {{"stopGrace", "6s"}, {"retryRatio", 0.2}, {"memory", 260}}}};
}

struct DurationCase
{
    char text[16];
    /// Negative when it is no time.
    int milliseconds;
};

struct FindingCase
{
    char pointer[32];
    char value[16];
};

} // namespace

// Guards against times that are read in the wrong unit.
ParameterizedTestParameters(GatewaySettings, durations)
{
    static DurationCase cases[] = {
        {"1500ms", 1500}, {"2.5s", 2500}, {"0ms", 0}, {"3s", 3000}, {"3", -1}, {"s", -1}, {"-1s", -1}, {"1 s", -1}, {"1.2.3s", -1}, {"2min", -1}, {"", -1}};
    return cr_make_param_array(DurationCase, cases, std::size(cases));
}

ParameterizedTest(DurationCase *testCase, GatewaySettings, durations)
{
    const auto time = parseDuration(testCase->text);
    cr_assert_eq(time ? static_cast<int>(time->count()) : -1, testCase->milliseconds, "%s", testCase->text);
}

// Guards against settings that are lost, and defaults that replace them.
Test(GatewaySettings, wholeFile)
{
    const auto settings = parseGatewaySettings(settingsDocument().dump());
    cr_assert(settings.has_value());
    cr_assert_eq(settings.value().zones.at(ZoneId("hill-a")).value(), "hill");
    cr_assert_eq(settings.value().limits.stopGrace.count(), 6000);
    cr_assert_float_eq(settings.value().limits.retryRatio, 0.2, 1e-9);
    cr_assert_eq(settings.value().limits.lookupLifetime.count(), 5000);
    cr_assert_float_eq(settings.value().limits.memory, 260, 1e-9);
}

// Guards against a host without a limit for its memory when the settings name none: the smallest host counts.
Test(GatewaySettings, memoryHasADefault)
{
    Json document = settingsDocument();
    document["limits"]["memory"] = nullptr;
    cr_assert_float_eq(parseGatewaySettings(document.dump()).value().limits.memory, 160, 1e-9);
    document["limits"].erase("memory");
    cr_assert_float_eq(parseGatewaySettings(document.dump()).value().limits.memory, 160, 1e-9);
}

// Guards against limits on customers that hold where operators set none, and against ones that are lost.
Test(GatewaySettings, customerLimits)
{
    Json document = settingsDocument();
    const GatewayLimits defaults = parseGatewaySettings(document.dump()).value().limits;
    cr_assert(!defaults.isRevocationStrict && !defaults.entryHostChoice && defaults.cores == 0);
    document["limits"].update({{"strictRevocation", true}, {"revocationTime", "4s"}, {"quotaWindow", "2s"}, {"quotaOverage", 0.1}, {"quotaSlack", 20}});
    document["limits"].update({{"cores", 0.5}, {"linkMegabits", 10}, {"descriptors", 4100}, {"entryHostChoice", "capacity"}});
    const GatewayLimits limits = parseGatewaySettings(document.dump()).value().limits;
    cr_assert(limits.isRevocationStrict && limits.revocationTime.count() == 4000 && limits.quotaWindow.count() == 2000);
    cr_assert_float_eq(limits.quotaOverage, 0.1, 1e-9);
    cr_assert(limits.quotaSlack == 20 && limits.cores == 0.5 && limits.linkMegabits == 10 && limits.descriptors == 4100);
    cr_assert(limits.entryHostChoice == EntryHostChoice::Capacity);
}

// Guards against a wrong value that is taken silently, and against a finding without its place.
ParameterizedTestParameters(GatewaySettings, findings)
{
    static FindingCase cases[] = {{"/host", "7"},
        {"/limits/memory", "\"260\""},
        {"/limits/memory", "0"},
        {"/limits/memory", "1e300"},
        {"/zones", "{}"},
        {"/zones/hill-a", "7"},
        {"/limits/stopGrace", "6"},
        {"/limits/retryRatio", "-1"},
        {"/limits/quotaSlack", "-1"},
        {"/limits/strictRevocation", "1"},
        {"/limits/entryHostChoice", "\"best\""},
        {"/terms", "\"pressure\""},
        {"/store/address", "null"}};
    return cr_make_param_array(FindingCase, cases, std::size(cases));
}

ParameterizedTest(FindingCase *testCase, GatewaySettings, findings)
{
    Json document = settingsDocument();
    document[Json::json_pointer(testCase->pointer)] = Json::parse(testCase->value);
    document["region"] = nullptr;
    const auto settings = parseGatewaySettings(document.dump());
    cr_assert(settings.has_error());
    cr_assert_eq(settings.error().findings.size(), 2, "all findings are reported together");
    const auto &findings = settings.error().findings;
    cr_assert(findings[0].place == testCase->pointer || findings[1].place == testCase->pointer, "%s", testCase->pointer);
}
