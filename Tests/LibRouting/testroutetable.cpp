#include <LibRouting/routetable.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <utility>

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

// Guards against a key that identifies another customer, and against a key of two customers that identifies one of them.
Test(RouteTable, customersByKey)
{
    RoutingConfiguration configuration{ConfigurationVersion(1), {}, {}, {}};
    cr_assert_not(RouteTable(configuration).hasCustomers());
    configuration.customers = {{CustomerId("a"), {"key-1", "key-2", "shared"}}, {CustomerId("b"), {"key-3", "shared", "key-3"}}};
    const RouteTable table(std::move(configuration));
    cr_assert(table.hasCustomers());
    const std::pair<const char *, const char *> cases[] = {
        {"key-1", "a"}, {"key-2", "a"}, {"key-3", "b"}, {"shared", ""}, {"key-4", ""}, {"KEY-1", ""}, {"key", ""}, {"", ""}};
    for (const auto &[key, expected] : cases) {
        const Customer *customer = table.customerOfKey(key);
        cr_assert_eq(customer ? customer->id.value() : "", expected, "%s", key);
    }
}
