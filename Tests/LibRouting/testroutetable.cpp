#include <LibRouting/routetable.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

Route route(const std::string &id, const std::string &host, const std::string &prefix)
{
    Route result;
    result.id = RouteId(id);
    result.host = host;
    result.prefix = prefix;
    result.services = {{ServiceId("service"), 1}};
    return result;
}

struct MatchCase
{
    char host[32];
    char target[48];
    /// Empty when no route matches.
    char expected[16];
};

} // namespace

// Guards against a request that is served by a route of another host, or by a shorter prefix than the best one.
ParameterizedTestParameters(RouteTable, match)
{
    static MatchCase cases[] = {
        {"a.example", "/", "root"},
        {"a.example", "/other", "root"},
        {"a.example", "/orders", "root"},
        {"a.example", "/orders/", "orders"},
        {"a.example", "/orders/7", "orders"},
        {"a.example", "/orders/bulk/7/8", "bulk"},
        {"a.example", "/orders/bulk", "orders"},
        {"a.example", "/orders/7?next=/orders/bulk/", "orders"},
        {"a.example:8080", "/orders/7", "orders"},
        {"A.Example", "/orders/7", "orders"},
        {"b.example", "/orders/7", ""},
        {"b.example", "/only/7", "only"},
        {"", "/orders/7", ""},
        {"a.example", "", ""},
    };
    return cr_make_param_array(MatchCase, cases, std::size(cases));
}

ParameterizedTest(MatchCase *testCase, RouteTable, match)
{
    const RouteTable table({ConfigurationVersion(1),
        {route("root", "a.example", "/"),
            route("orders", "a.example", "/orders/"),
            route("bulk", "a.example", "/orders/bulk/"),
            route("only", "b.example", "/only/")},
        {},
        {}});
    const Route *found = table.match(testCase->host, testCase->target);
    cr_assert_eq(found ? found->id.value() : "", testCase->expected, "%s%s", testCase->host, testCase->target);
}
