#include "storestandin.h"
#include <platform/tablewatch.h>

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

/// A watch of one table and the rows that it has told so far.
struct Fixture
{
    Fixture()
        : store(context)
        , client(context, store.address(), "127.0.0.1")
        , watch(context, client, "things", {50ms, 300ms}, handlers())
    {
    }

    TableWatchHandlers handlers()
    {
        const auto change = [this](const std::vector<StoreRow> &rows) {
            for (const StoreRow &row : rows) {
                if (row.removed) {
                    known.erase(row.key);
                } else {
                    known[row.key] = row.value;
                }
            }
        };
        return {[this, change](const std::vector<StoreRow> &rows) {
                    known.clear();
                    change(rows);
                    ++replacements;
                },
            change,
            [this](bool isReachable, const std::string &) { reachability += isReachable ? "+" : "-"; }};
    }

    void run(const std::function<void(const asio::yield_context &yield)> &body)
    {
        asio::spawn(context, [this](const asio::yield_context &yield) { watch.run(yield); });
        asio::spawn(context, [this, &body](const asio::yield_context &yield) {
            body(yield);
            context.stop();
        });
        context.run();
    }

    /// Waits until a condition holds, for two seconds at most, in which a change must be known.
    template<typename Condition>
    bool await(Condition condition, const asio::yield_context &yield)
    {
        for (int i = 0; i < 200 && !condition(); ++i) {
            sleep(10ms, yield);
        }
        return condition();
    }

    void sleep(std::chrono::milliseconds time, const asio::yield_context &yield)
    {
        asio::steady_timer timer(context, time);
        timer.async_wait(yield);
    }

    asio::io_context context{1};
    StoreStandIn store;
    MetadataStore client;
    TableWatch watch;
    std::map<std::string, std::string> known;
    std::string reachability;
    int replacements = 0;
};

} // namespace

// Guards against rows that are missed: those there before, those that change, and those that go.
Test(TableWatch, followsATable)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.store.set("other", "x", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.known == std::map<std::string, std::string>{{"a", "1"}}; }, yield));
        fixture.store.set("things", "b", "2");
        cr_assert(fixture.await([&] { return fixture.known.count("b") == 1; }, yield));
        fixture.store.remove("things", "a");
        cr_assert(fixture.await([&] { return fixture.known.count("a") == 0; }, yield));
        cr_assert_eq(fixture.replacements, 1);
    });
}

// Guards against a table that is longer than one answer.
Test(TableWatch, readsAllPages)
{
    Fixture fixture;
    for (int i = 0; i < 1203; ++i) {
        fixture.store.set("things", "key" + std::to_string(i), "v");
    }
    fixture.run([&](const asio::yield_context &yield) { cr_assert(fixture.await([&] { return fixture.known.size() == 1203; }, yield)); });
}

// Guards against a row that went while the store forgot its history, and against an old answer that brings it back.
Test(TableWatch, lostHistoryAndOldAnswers)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.store.set("things", "b", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.known.size() == 2; }, yield));
        fixture.store.freezeReads(true);
        fixture.store.set("things", "b", "2");
        cr_assert(fixture.await([&] { return fixture.known["b"] == "2"; }, yield));
        fixture.store.remove("things", "a");
        fixture.store.loseHistory();
        fixture.sleep(700ms, yield);
        cr_assert_eq(fixture.known["b"], "2", "an old answer was used");
        fixture.store.freezeReads(false);
        cr_assert(fixture.await([&] { return fixture.known.count("a") == 0; }, yield));
        cr_assert_eq(fixture.known["b"], "2");
    });
}

// Guards against a watch that gives up while the store is away, floods it, or needs long to notice its return.
Test(TableWatch, outage)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.known.size() == 1; }, yield));
        fixture.store.isDown = true;
        fixture.store.set("things", "b", "1");
        fixture.sleep(1500ms, yield);
        cr_assert_eq(fixture.known.size(), 1);
        fixture.store.isDown = false;
        cr_assert(fixture.await([&] { return fixture.known.size() == 2; }, yield));
        cr_assert_eq(fixture.reachability, "-+");
    });
}

// Guards against a change that stays unknown because the answer that told it was lost on the way.
Test(TableWatch, lostAnswer)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.replacements == 1; }, yield));
        fixture.store.losesAnswers = true;
        fixture.store.set("things", "a", "1");
        fixture.sleep(200ms, yield);
        fixture.store.losesAnswers = false;
        fixture.sleep(2000ms, yield);
        cr_assert(fixture.await([&] { return fixture.known.count("a") == 1; }, yield));
    });
}

// Guards against writes that don't arrive as they were meant.
Test(MetadataStore, putAndRemove)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        const std::string bytes("a\0b\xff", 4);
        cr_assert(std::holds_alternative<Written>(fixture.client.put("things", "k", bytes, yield)));
        cr_assert(fixture.await([&] { return fixture.known["k"] == bytes; }, yield));
        cr_assert(std::holds_alternative<Written>(fixture.client.remove("things", "k", yield)));
        cr_assert(fixture.await([&] { return fixture.known.count("k") == 0; }, yield));
        fixture.store.isDown = true;
        cr_assert(std::holds_alternative<StoreFailure>(fixture.client.put("things", "k", bytes, yield)));
    });
}
