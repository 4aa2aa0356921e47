#include <LibGateway/hostdirectory.h>
#include <platform/callerapi.h>
#include <platform/hostrows.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;
using namespace Trefoil::Platform;

namespace
{

struct CallCase
{
    char target[72];
    bool isReady;
    int readiness;
    int lookup;
};

} // namespace

// Guards against a host that is listed while it does not accept callers, and against success responses on unknown paths.
ParameterizedTestParameters(CallerApi, calls)
{
    static CallCase cases[] = {
        {"/api/ready", true, 200, 404},
        {"/api/ready", false, 503, 404},
        {"/api/ready?x=1", true, 200, 404},
        {"/api/resolve?name=a.example&region=gulf&zone=gulf-a", true, 404, 200},
        {"/api/resolve?name=a.example&region=hill&zone=hill-a", true, 404, 200},
        {"/api/resolve", true, 404, 200},
        {"/api/resolve?name=a.example&region=gulf&zone=gulf-a", false, 404, 503},
        {"/", true, 404, 404},
    };
    return cr_make_param_array(CallCase, cases, std::size(cases));
}

ParameterizedTest(CallCase *testCase, CallerApi, calls)
{
    HostDirectory hosts({HostId("self"), ZoneId("gulf-a"), RegionId("gulf")});
    hosts.setSelf(
        {HostId("self"), "10.0.0.1:80", "10.0.0.1:81", ZoneId("gulf-a"), RegionId("gulf"), 1}, testCase->isReady ? HostPhase::Serving : HostPhase::Starting);
    const HttpRequest request{"GET", testCase->target, {}, {}};
    cr_assert_eq(readinessResponse(request, testCase->isReady).status, testCase->readiness, "%s", testCase->target);
    const auto addressesFor = [&hosts](const RegionId &region, const ZoneId &zone) { return hosts.addressesFor(region, zone, BootClock::now()); };
    const HttpResponse lookup = lookupResponse(request, addressesFor, std::chrono::milliseconds(2000));
    cr_assert_eq(lookup.status, testCase->lookup, "%s", testCase->target);
    if (lookup.status == 200) {
        const auto body = nlohmann::json::parse(lookup.body);
        cr_assert_eq(body.at("addresses").at(0).get<std::string>(), "10.0.0.1:80");
        cr_assert_eq(body.at("ttl").get<std::string>(), "2000ms");
    }
}

// Guards against registrations that change on their way through the store, and against rows of another format that are read as hosts.
Test(HostRows, registrationsSurviveTheRoundTrip)
{
    const HostRegistration registration{HostId("edge"), "10.0.0.1:80", "10.0.0.1:81", ZoneId("gulf-a"), RegionId("gulf"), 0xfedcba9876543210U};
    const auto decoded = decodeHostRegistration({"edge", encodeHostRegistration(registration), 5, false});
    cr_assert(decoded && decoded->id == registration.id && decoded->address == registration.address && decoded->peerAddress == registration.peerAddress);
    cr_assert(decoded->zone == registration.zone && decoded->region == registration.region && decoded->incarnation == registration.incarnation);
    cr_assert_eq(decoded->rowVersion, 5);
    cr_assert(decoded->capacity.cores == 0 && decoded->capacity.linkMegabits == 0 && decoded->capacity.descriptors == 0);
    for (const char *text : {"", "[]", "{}", "{\"address\":1}", "\xff\xfe"}) {
        cr_assert_not(decodeHostRegistration({"edge", text, 5, false}), "%s", text);
    }
}

namespace
{

struct CapacityRowCase
{
    char name[40];
    /// Put into the row before its end.
    char member[96];
    double cores;
    double linkMegabits;
};

} // namespace

// Guards against hosts that are lost since their rows come from an older version or hold a wrong capacity, and against figures that no host has.
ParameterizedTestParameters(HostRows, capacities)
{
    static CapacityRowCase cases[] = {
        {"older version", "", 0, 0},
        {"all figures", R"(,"capacity":{"cores":0.5,"linkMegabits":200,"descriptors":8192})", 0.5, 200},
        {"one figure", R"(,"capacity":{"linkMegabits":10})", 0, 10},
        {"not an object", R"(,"capacity":5)", 0, 0},
        {"null", R"(,"capacity":null)", 0, 0},
        {"a text", R"(,"capacity":{"cores":"much","linkMegabits":10})", 0, 0},
        {"negative", R"(,"capacity":{"cores":-1,"linkMegabits":10})", 0, 0},
        {"far too large", R"(,"capacity":{"cores":1e300})", 0, 0},
    };
    return cr_make_param_array(CapacityRowCase, cases, std::size(cases));
}

ParameterizedTest(CapacityRowCase *testCase, HostRows, capacities)
{
    const std::string row =
        std::string(R"({"address":"10.0.0.1:80","peerAddress":"10.0.0.1:81","zone":"gulf-a","region":"gulf","incarnation":7)") + testCase->member + "}";
    const auto decoded = decodeHostRegistration({"edge", row, 5, false});
    cr_assert(decoded, "%s", testCase->name);
    cr_assert_float_eq(decoded->capacity.cores, testCase->cores, 1e-9, "%s", testCase->name);
    cr_assert_float_eq(decoded->capacity.linkMegabits, testCase->linkMegabits, 1e-9, "%s", testCase->name);
    const auto again = decodeHostRegistration({"edge", encodeHostRegistration(*decoded), 5, false});
    cr_assert(again && again->capacity.cores == decoded->capacity.cores && again->capacity.descriptors == decoded->capacity.descriptors);
}
