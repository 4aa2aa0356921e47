#include <LibStore/hostlistclient.h>
#include <LibStore/objectclient.h>
#include <LibStore/tableclient.h>
#include <StandIns/hostlist.h>
#include <StandIns/objectstore.h>
#include <StandIns/tablestore.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using boost::asio::yield_context;
using nlohmann::json;

namespace
{

/// The platform's stand-ins and a client of each, all on one thread.
struct Platform
{
    BootTime deadline(int milliseconds) const
    {
        return BootClock::now() + std::chrono::milliseconds(milliseconds);
    }

    template<typename Body>
    void run(Body body)
    {
        bool finished = false;
        boost::asio::spawn(context, [&](const yield_context &yield) {
            body(yield);
            finished = true;
            context.stop();
        });
        context.run_for(std::chrono::seconds(20));
        cr_assert(finished, "the test body did not finish");
    }

    json control(const std::string &address, const json &request, const yield_context &yield)
    {
        JsonClient client(context, {address, {}});
        const auto result = client.request({request.is_null() ? "GET" : "POST", "/control", request.is_null() ? "" : request.dump()}, deadline(1000), yield);
        cr_assert(std::holds_alternative<JsonResponse>(result));
        cr_assert_eq(std::get<JsonResponse>(result).status, 200);
        return std::get<JsonResponse>(result).json();
    }

    boost::asio::io_context context;
    StandIns::TableStore tableStore;
    StandIns::ObjectStore objectStore;
    StandIns::HostList hostList;
    StandIns::PlatformServer tableServer{context, "127.0.0.1:0", StandIns::tableService(tableStore)};
    StandIns::PlatformServer objectServer{context, "127.0.0.1:0", StandIns::objectService(objectStore)};
    StandIns::PlatformServer hostListServer{context, "127.0.0.1:0", StandIns::hostListService(hostList)};
    TableClient table{context, {tableServer.address(), "127.0.0.1", 50, 100, std::chrono::milliseconds(200)}};
    ObjectClient objects{context, {objectServer.address()}};
    HostListClient hosts{context, {hostListServer.address()}};
};

Transaction putAbsent(const std::string &key)
{
    return {{}, {{key, 0}}, {{key, {{"text", "first"}}}}, {}};
}

struct FaultCase
{
    char mode[24];
    int count;
    int delayMs;
    /// Index of the expected alternative of TransactResult.
    std::size_t expected;
    bool writtenAfterwards;
};

} // namespace

// Guards against a lost or late response that is reported as a failure, as a success without effect, or applied twice.
ParameterizedTestParameters(TableClient, faults)
{
    static FaultCase cases[] = {
        {"normal", 0, 0, 0, true},
        {"down", 2, 0, 0, true},
        {"lose-answers", 1, 0, 0, true},
        {"frozen", 1, 0, 0, true},
        {"silent-connections", 0, 0, 0, true},
        {"slow", 1, 300, 0, true},
        {"down", 0, 0, 2, false},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, TableClient, faults)
{
    Platform platform;
    platform.run([&](const yield_context &yield) {
        platform.table.read({"warm-up"}, platform.deadline(1000), yield);
        platform.control(platform.tableServer.address(), {{"mode", testCase->mode}, {"count", testCase->count}, {"delayMs", testCase->delayMs}}, yield);
        const auto result = platform.table.transact(putAbsent("row"), platform.deadline(2000), yield);
        cr_assert_eq(result.index(), testCase->expected, "%s: outcome %zu", testCase->mode, result.index());
        platform.control(platform.tableServer.address(), {{"mode", "normal"}}, yield);
        const auto rows = platform.table.read({"row"}, platform.deadline(1000), yield);
        cr_assert_eq(std::get<0>(rows).size(), testCase->writtenAfterwards ? 1 : 0);
        if (testCase->expected == 0) {
            cr_assert_eq(std::get<Committed>(result).versions.at("row"), std::get<0>(rows)[0].version, "%s: another version", testCase->mode);
        }
    });
}

// Guards against a transaction that is applied in part or over a newer version.
Test(TableClient, failedConditionChangesNothing)
{
    Platform platform;
    platform.run([&](const yield_context &yield) {
        platform.table.transact(putAbsent("a"), platform.deadline(1000), yield);
        Transaction second = putAbsent("b");
        second.conditions.push_back({"a", 0});
        const auto result = platform.table.transact(second, platform.deadline(1000), yield);
        cr_assert(std::holds_alternative<ConditionFailed>(result));
        cr_assert_eq(std::get<ConditionFailed>(result).rows.at(0).key, "a");
        const auto rows = platform.table.scan("", 10, platform.deadline(1000), yield);
        cr_assert_eq(std::get<0>(rows).size(), 1);
    });
}

// Guards against a delete that is reported as done because another row's condition failed after a lost response.
Test(TableClient, failedDeleteAfterLostResponseIsNotCommitted)
{
    Platform platform;
    platform.run([&](const yield_context &yield) {
        const auto first = platform.table.transact(putAbsent("a"), platform.deadline(1000), yield);
        const Transaction deletion{{}, {{"a", std::get<Committed>(first).versions.at("a")}, {"missing", 7}}, {}, {"a"}};
        platform.control(platform.tableServer.address(), {{"mode", "down"}, {"count", 1}}, yield);
        const auto result = platform.table.transact(deletion, platform.deadline(1000), yield);
        cr_assert(!std::holds_alternative<Committed>(result));
    });
}

// Guards against hosts that together exceed the store's limits, and against refusals that are not counted.
Test(TableClient, rateIsBounded)
{
    Platform platform;
    platform.run([&](const yield_context &yield) {
        const auto end = platform.deadline(2000);
        while (platform.table.read({"a"}, end, yield).index() == 0) { }
        const auto counters = platform.control(platform.tableServer.address(), json(), yield);
        cr_assert_leq(counters["readsPerSecondMaximum"].get<int>(), 201);
        cr_assert_leq(counters["reads"].get<int>(), 302);
        cr_assert_geq(counters["reads"].get<int>(), 250);
        platform.control(platform.tableServer.address(), {{"writesPerSecond", 0}}, yield);
        const auto refused = platform.table.transact(putAbsent("row"), platform.deadline(300), yield);
        cr_assert(std::holds_alternative<Unavailable>(refused));
    });
}

// Guards against objects that are lost or replaced, and against a list that is read in full although it did not change.
Test(PlatformClients, objectsAndHostList)
{
    Platform platform;
    platform.run([&](const yield_context &yield) {
        cr_assert(std::holds_alternative<ObjectStored>(platform.objects.put("configuration/1-a", "{}", platform.deadline(1000), yield)));
        cr_assert(std::holds_alternative<Unavailable>(platform.objects.put("configuration/1-a", "[]", platform.deadline(1000), yield)));
        cr_assert_eq(std::get<ObjectBody>(platform.objects.get("configuration/1-a", platform.deadline(1000), yield)).body, "{}");
        cr_assert(std::holds_alternative<ObjectNotFound>(platform.objects.get("other", platform.deadline(1000), yield)));
        const json entry = {{"id", "host-1"}, {"region", "gulf"}, {"zone", "gulf-a"}, {"address", "127.0.0.1:1"}, {"state", "leaving"}};
        platform.control(platform.hostListServer.address(), {{"hosts", {entry}}, {"upstreams", {{{"id", "cat-1"}, {"state", "live"}}}}}, yield);
        const auto list = platform.hosts.list(platform.deadline(1000), yield);
        cr_assert(std::get<HostList>(list).hosts.at(0).leaving);
        cr_assert_not(std::get<HostList>(list).upstreams.at(0).leaving);
        cr_assert(std::holds_alternative<HostListUnchanged>(platform.hosts.list(platform.deadline(1000), yield)));
    });
}
