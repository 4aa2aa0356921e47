#include "testsite.h"

#include <Services/trefoilmountd/parserequest.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;

namespace
{

struct InputCase
{
    char method[8];
    char target[80];
    /// Header to set, or to omit when the value is "-".
    char header[24];
    char value[40];
    int status;
    char field[24];
};

HttpRequest requestOf(const InputCase &testCase)
{
    HttpRequest request{testCase.method, testCase.target};
    const std::pair<const char *, const char *> defaults[] = {{"Trefoil-Tenant", "museum"}, {"Trefoil-Class", "browse"}};
    for (const auto &[name, value] : defaults) {
        if (!isSameHeaderName(name, testCase.header)) {
            request.headers.add(name, value);
        }
    }
    if (testCase.header[0] != '\0' && std::string_view(testCase.value) != "-") {
        request.headers.add(testCase.header, testCase.value);
    }
    return request;
}

} // namespace

// Guards against invalid input that is forwarded, and against errors that don't name the invalid field.
ParameterizedTestParameters(RequestInput, badInput)
{
    static InputCase cases[] = {
        {"GET", "/v1/nothing", "", "", 404, "path"},
        {"PUT", "/v1/requests/catalogue-svc/a", "", "", 405, "method"},
        {"GET", "/v1/requests/no-such-svc/a", "", "", 404, "service"},
        {"GET", "/v1/requests/a%20b/a", "", "", 400, "service"},
        {"GET", "/v1/requests/catalogue-svc/v1/load", "", "", 400, "path"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Tenant", "-", 400, "Trefoil-Tenant"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Tenant", "nobody", 400, "Trefoil-Tenant"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Tenant", "a b", 400, "Trefoil-Tenant"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Class", "-", 400, "Trefoil-Class"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Class", "unheard-of", 400, "Trefoil-Class"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Deadline-Ms", "0", 400, "Trefoil-Deadline-Ms"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Deadline-Ms", "12ms", 400, "Trefoil-Deadline-Ms"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Deadline-Ms", "99999999999999999999", 400, "Trefoil-Deadline-Ms"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-May-Wait", "maybe", 400, "Trefoil-May-Wait"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Repeat", "once", 400, "Trefoil-Repeat"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Repeat", "never", 400, "Idempotency-Key"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Class", "order", 400, "Idempotency-Key"},
        {"GET", "/v1/requests/catalogue-svc/a", "Idempotency-Key", "a b", 400, "Idempotency-Key"},
        {"GET", "/v1/requests/catalogue-svc/a", "Idempotency-Key", "order-7", 400, "Idempotency-Key"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Client", "::1", 400, "Trefoil-Client"},
        {"GET", "/v1/requests/catalogue-svc/a", "Trefoil-Relay", "host-2", 400, "Trefoil-Home-Region"},
        {"GET", "/v1/lookup", "", "", 400, "service"},
        {"GET", "/v1/lookup?service=catalogue-svc", "", "", 400, "client"},
        {"GET", "/v1/lookup?service=catalogue-svc&client=1.2.3", "", "", 400, "client"},
        {"GET", "/v1/lookup?service=catalogue-svc&client=1.2.3.4&x=1", "", "", 400, "x"},
        {"GET", "/v1/lookup?service=no-such-svc&client=1.2.3.4", "", "", 404, "service"},
        {"POST", "/v1/lookup?service=catalogue-svc&client=1.2.3.4", "", "", 405, "method"},
        {"GET", "/v1/keys/catalogue-svc/museum", "", "", 400, "path"},
        {"GET", "/v1/keys/catalogue-svc/museum/", "", "", 400, "key"},
    };
    return cr_make_param_array(InputCase, cases, std::size(cases));
}

ParameterizedTest(InputCase *testCase, RequestInput, badInput)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    const CallResult result = caller.call(host.address(), requestOf(*testCase));
    const auto &response = std::get<HttpResponse>(result);
    cr_assert_eq(response.status, testCase->status, "%s %s: %s", testCase->target, testCase->value, response.body.c_str());
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    cr_assert_eq(body.value("field", ""), testCase->field, "%s %s: %s", testCase->target, testCase->value, response.body.c_str());
    cr_assert_eq(upstreams.startedRequests(), 0);
}

// Guards against a repeated header from which two hosts could read different values.
Test(RequestInput, repeatedHeaderIsRejected)
{
    HttpRequest request{"GET", "/v1/requests/catalogue-svc/a"};
    request.headers.add("Trefoil-Tenant", "museum");
    request.headers.add("Trefoil-Class", "browse");
    request.headers.add("Trefoil-Repeat", "safe");
    request.headers.add("trefoil-repeat", "never");
    const ParsedInput parsed = parseRequest(request, "127.0.0.1");
    cr_assert(std::holds_alternative<HttpResponse>(parsed));
}
