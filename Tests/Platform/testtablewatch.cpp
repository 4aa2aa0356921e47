#include "storestandin.h"
#include <LibCore/sleep.h>
#include <LibReplication/tablewatch.h>

#include <algorithm>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr TableWatchTiming s_timing{50ms, 300ms, 800ms, 1200ms, 500ms, {50ms, 200ms, 100ms}};

/// A watch of one table and the copy that its callbacks build.
struct Fixture
{
    Fixture()
        : store(context)
        , client(context, store.address(), "127.0.0.1")
        , sharing(
              context, {HostId("alone")}, [](const HostId &, const PeerMessage &) {}, [] { return std::vector<HostId>{HostId("alone")}; })
        , watch(context, client, sharing, "things", s_timing, handlers())
    {
    }

    TableWatchHandlers handlers()
    {
        const auto change = [this](const std::vector<FeedRow> &rows) {
            for (const FeedRow &row : rows) {
                if (row.removed) {
                    copy.erase(row.key);
                } else {
                    copy[row.key] = row.value;
                }
                ++changes[row.key];
            }
        };
        return {[this, change](const FeedRows &table) {
                    copy.clear();
                    change(table.rows);
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

    /// Waits until a condition holds, for two seconds at most, the time within which a change must be received.
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
    FeedSharing sharing;
    TableWatch watch;
    std::map<std::string, std::string> copy;
    /// How often each row was passed to the handlers.
    std::map<std::string, int> changes;
    std::string reachability;
    int replacements = 0;
};

} // namespace

// Guards against missed rows: existing, changed and removed ones.
Test(TableWatch, receivesAllChanges)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.store.set("other", "x", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy == std::map<std::string, std::string>{{"a", "1"}}; }, yield));
        fixture.store.set("things", "b", "2");
        cr_assert(fixture.await([&] { return fixture.copy.count("b") == 1; }, yield));
        fixture.store.remove("things", "a");
        cr_assert(fixture.await([&] { return fixture.copy.count("a") == 0; }, yield));
        cr_assert_eq(fixture.replacements, 1);
    });
}

// Guards against a backlog whose parts each wait for the batch delay, and against a copy that counts as current before the last part: after
// an outage of the store, a host would send requests to an upstream that has left for seconds.
Test(TableWatch, backlogIsReadToItsEndAtOnce)
{
    static constexpr int backlog = 5000;
    Fixture fixture;
    fixture.store.set("things", "first", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.count("first") == 1; }, yield));
        fixture.store.isDown = true;
        cr_assert(fixture.await([&] { return !fixture.watch.isReachable(); }, yield));
        for (int i = 0; i < backlog; ++i) {
            fixture.store.set("things", "row-" + std::to_string(i), "1");
        }
        const BootTime confirmedBefore = fixture.watch.confirmedAt();
        fixture.store.isDown = false;
        const auto isComplete = [&fixture] { return fixture.copy.size() == backlog + 1; };
        const bool isKnown = fixture.await(
            [&] {
                cr_assert(isComplete() || fixture.watch.confirmedAt() == confirmedBefore, "%zu rows count as current", fixture.copy.size());
                return isComplete();
            },
            yield);
        cr_assert(isKnown, "%zu of %d rows after 2 s", fixture.copy.size(), backlog + 1);
        cr_assert(fixture.await([&] { return fixture.watch.confirmedAt() > confirmedBefore; }, yield));
    });
}

// Guards against a configuration that is in force seconds late: with rows of several hundred kilobytes, an answer that has left changes
// out is far from full, counts as the whole, and each further version waits for the batch delay.
Test(TableWatch, backlogOfLargeRowsIsReadToItsEndAtOnce)
{
    static constexpr int versions = 8;
    const std::string filler(400000, 'x');
    Fixture fixture;
    fixture.store.set("things", "configuration", "0" + filler);
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.count("configuration") == 1; }, yield));
        fixture.store.isDown = true;
        cr_assert(fixture.await([&] { return !fixture.watch.isReachable(); }, yield));
        for (int i = 1; i <= versions; ++i) {
            fixture.store.set("things", "configuration", std::to_string(i) + filler);
        }
        const BootTime confirmedBefore = fixture.watch.confirmedAt();
        fixture.store.isDown = false;
        const auto isLatest = [&fixture] { return fixture.copy["configuration"].front() == '0' + versions; };
        const bool isKnown = fixture.await(
            [&] {
                cr_assert(isLatest() || fixture.watch.confirmedAt() == confirmedBefore, "version %c counts as current", fixture.copy["configuration"].front());
                return isLatest();
            },
            yield);
        cr_assert(isKnown, "version %c after 2 s", fixture.copy["configuration"].front());
        cr_assert(fixture.await([&] { return fixture.watch.confirmedAt() > confirmedBefore; }, yield));
    });
}

// Guards against a configuration that is in force seconds late after a partition: each version that a later one of the same answer replaces takes
// as long to decode as the one that counts.
Test(TableWatch, replacedChangesAreNotApplied)
{
    static constexpr int versions = 8;
    Fixture fixture;
    fixture.store.set("things", "configuration", "0");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.count("configuration") == 1; }, yield));
        fixture.store.isDown = true;
        cr_assert(fixture.await([&] { return !fixture.watch.isReachable(); }, yield));
        for (int i = 1; i <= versions; ++i) {
            fixture.store.set("things", "configuration", std::to_string(i));
            fixture.store.set("things", "other", std::to_string(i));
        }
        fixture.store.remove("things", "other");
        fixture.changes.clear();
        fixture.store.isDown = false;
        cr_assert(fixture.await([&] { return fixture.copy["configuration"] == std::to_string(versions); }, yield));
        cr_assert_eq(fixture.changes["configuration"], 1, "applied %d times", fixture.changes["configuration"]);
        cr_assert_eq(fixture.changes["other"], 1, "applied %d times", fixture.changes["other"]);
        cr_assert_eq(fixture.copy.count("other"), 0);
    });
}

namespace
{

/// A store whose answers begin at once and take a while to arrive.
class SlowLinkStore final : public FeedStore
{
public:
    explicit SlowLinkStore(asio::io_context &context)
        : m_context(context)
    {
    }

    ReadResult readTable(const std::string & /*table*/, std::chrono::milliseconds /*responseTimeout*/, const asio::yield_context & /*yield*/) override
    {
        return FeedRows{{{"a", "1", 1, false}}, 1};
    }

    FeedResult awaitChanges(const std::string & /*table*/, FeedVersion after, const FeedCallTiming &timing, const asio::yield_context &yield) override
    {
        if (isDown) {
            ++failedCalls;
            return StoreFailure{"down"};
        }
        transfers += after < 2 ? 1 : 0;
        if (timing.responseBegan) {
            timing.responseBegan();
        }
        sleepFor(m_context, after < 2 ? transferTime : 20ms, yield);
        return FeedRows{{{"a", "2", 2, false}}, 2};
    }

    static constexpr std::chrono::milliseconds transferTime{1700};
    bool isDown = true;
    int failedCalls = 0;
    /// Calls that are answered with the change.
    int transfers = 0;

private:
    asio::io_context &m_context;
};

} // namespace

// Guards against calls that are repeated while the answer to an earlier one is still arriving over a narrow link: each brings the same changes once
// more and delays all of them.
Test(TableWatch, arrivingAnswerIsNotRequestedAgain)
{
    asio::io_context context(1);
    SlowLinkStore store(context);
    FeedSharing sharing(
        context, {HostId("alone")}, [](const HostId &, const PeerMessage &) {}, [] { return std::vector<HostId>{HostId("alone")}; });
    std::string value;
    const auto change = [&value](const std::vector<FeedRow> &rows) { value = rows.back().value; };
    TableWatch watch(
        context, store, sharing, "things", s_timing, {[&change](const FeedRows &table) { change(table.rows); }, change, [](bool, const std::string &) {}});
    asio::spawn(context, [&](const asio::yield_context &yield) { watch.run(yield); });
    asio::spawn(context, [&](const asio::yield_context &yield) {
        while (watch.isReachable() || value != "1") {
            sleepFor(context, 10ms, yield);
        }
        store.isDown = false;
        while (value != "2") {
            sleepFor(context, 10ms, yield);
        }
        cr_assert_eq(store.transfers, 1, "%d calls", store.transfers);
        context.stop();
    });
    context.run();
}

// Guards against a table that is seconds late after a partition although another table's call has shown that the store is back: after several failures
// the next call waits for the longest retry interval.
Test(TableWatch, answerForAnotherTableEndsTheWait)
{
    asio::io_context context(1);
    SlowLinkStore store(context);
    FeedSharing sharing(
        context, {HostId("alone")}, [](const HostId &, const PeerMessage &) {}, [] { return std::vector<HostId>{HostId("alone")}; });
    TableWatchTiming timing = s_timing;
    timing.maximumRetryInterval = 600s;
    int failures = 0;
    std::string value;
    const auto change = [&value](const std::vector<FeedRow> &rows) { value = rows.back().value; };
    TableWatch watch(
        context, store, sharing, "things", timing, {[&change](const FeedRows &table) { change(table.rows); }, change, [](bool, const std::string &) {}});
    asio::spawn(context, [&](const asio::yield_context &yield) { watch.run(yield); });
    asio::spawn(context, [&](const asio::yield_context &yield) {
        // Waits are random up to a bound that doubles from 150 ms on: after the sixth failure it is 9.6 s, far above the time that this test allows.
        for (; failures < 6; failures = store.failedCalls) {
            sleepFor(context, 10ms, yield);
        }
        store.isDown = false;
        const BootTime allowed = BootClock::now() + 500ms;
        watch.retryNow();
        while (store.transfers == 0 && BootClock::now() < allowed) {
            sleepFor(context, 10ms, yield);
        }
        cr_assert_eq(store.transfers, 1, "the store was not called");
        context.stop();
    });
    context.run();
}

// Guards against a table that does not fit into one page.
Test(TableWatch, readsAllPages)
{
    Fixture fixture;
    for (int i = 0; i < 1203; ++i) {
        fixture.store.set("things", "key" + std::to_string(i), "v");
    }
    fixture.run([&](const asio::yield_context &yield) { cr_assert(fixture.await([&] { return fixture.copy.size() == 1203; }, yield)); });
}

// Guards against a change that is never received because the pages of one full read are from different times.
Test(TableWatch, laterPageIsOlder)
{
    Fixture fixture;
    for (int i = 1000; i < 1600; ++i) {
        fixture.store.set("things", "key" + std::to_string(i), "1");
    }
    fixture.store.freezeReads(true);
    fixture.store.firstPageIsFresh = true;
    fixture.store.set("things", "key1599", "2");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.store.readCalls >= 2; }, yield));
        fixture.store.freezeReads(false);
        cr_assert(fixture.await([&] { return fixture.copy["key1599"] == "2"; }, yield), "the change was missed");
    });
}

// Guards against a key that is used for too long because a full read, which may come from a stale copy of the store, counts as a proof that the
// configuration is the newest one.
Test(TableWatch, fullReadsProveNothing)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.store.freezeReads(true);
    fixture.store.set("things", "a", "2");
    fixture.store.feedCallsToDrop[{"127.0.0.1", "things"}] = 100;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy["a"] == "1"; }, yield));
        cr_assert_eq(fixture.watch.provenAt(), BootTime{});
        const BootTime before = BootClock::now();
        fixture.store.feedCallsToDrop.clear();
        cr_assert(fixture.await([&] { return fixture.copy["a"] == "2"; }, yield));
        cr_assert_lt(fixture.watch.provenAt(), BootClock::now());
        cr_assert(fixture.await([&] { return fixture.watch.provenAt() > before; }, yield));
    });
}

// Guards against keeping a row that was removed while the store truncated its history, and against a stale read that restores old
// values.
Test(TableWatch, truncatedHistoryAndStaleRead)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.store.set("things", "b", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.size() == 2; }, yield));
        fixture.store.freezeReads(true);
        fixture.store.set("things", "b", "2");
        cr_assert(fixture.await([&] { return fixture.copy["b"] == "2"; }, yield));
        fixture.store.remove("things", "a");
        fixture.store.truncateHistory();
        fixture.sleep(700ms, yield);
        cr_assert_eq(fixture.copy["b"], "2", "a stale read was applied");
        fixture.store.freezeReads(false);
        cr_assert(fixture.await([&] { return fixture.copy.count("a") == 0; }, yield));
        cr_assert_eq(fixture.copy["b"], "2");
    });
}

// Guards against a watch that stops during an outage of the store, floods the store, or notices late that it is reachable again.
Test(TableWatch, outage)
{
    Fixture fixture;
    fixture.store.set("things", "a", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.size() == 1; }, yield));
        fixture.store.isDown = true;
        fixture.store.set("things", "b", "1");
        fixture.sleep(1500ms, yield);
        cr_assert_eq(fixture.copy.size(), 1);
        fixture.store.isDown = false;
        cr_assert(fixture.await([&] { return fixture.copy.size() == 2; }, yield));
        cr_assert_eq(fixture.reachability, "-+");
    });
}

// Guards against a change that is never received because the response that contained it was dropped.
Test(TableWatch, droppedResponse)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.replacements == 1; }, yield));
        fixture.store.dropsResponses = true;
        fixture.store.set("things", "a", "1");
        fixture.sleep(200ms, yield);
        fixture.store.dropsResponses = false;
        fixture.sleep(2000ms, yield);
        cr_assert(fixture.await([&] { return fixture.copy.count("a") == 1; }, yield));
    });
}

// Guards against a response that arrived while the host was a subscriber and is applied as a new one when the store is unresponsive.
Test(TableWatch, staleResponsesAreIgnored)
{
    asio::io_context context{1};
    StoreStandIn store(context);
    MetadataStore client(context, store.address(), "127.0.0.1");
    std::vector<HostId> live{HostId("alone")};
    FeedSharing *self = nullptr;
    const auto send = [&](const HostId &to, const PeerMessage &message) {
        const auto *request = std::get_if<AwaitChanges>(&message);
        if (!request) {
            return;
        }
        ChangesSince response;
        response.sequence = request->sequence;
        response.isServed = true;
        response.version = request->after;
        asio::spawn(context, [&self, &context, to, response](const asio::yield_context &yield) {
            sleepFor(context, 50ms, yield);
            self->receive(to, response, BootClock::now());
        });
    };
    FeedSharing sharing(context, {HostId("alone")}, send, [&live] { return live; });
    self = &sharing;
    std::string reachability;
    const auto ignore = [](const auto &) {};
    const auto recordReachability = [&reachability](bool isReachable, const std::string &) { reachability += isReachable ? "+" : "-"; };
    TableWatch watch(context, client, sharing, "things", s_timing, {ignore, ignore, recordReachability});
    asio::spawn(context, [&watch](const asio::yield_context &yield) { watch.run(yield); });
    asio::spawn(context, [&](const asio::yield_context &yield) {
        sleepFor(context, 500ms, yield);
        store.delay = 1500ms;
        // The calls that failed first are answered after the host has become a subscriber.
        sleepFor(context, 1500ms, yield);
        cr_expect_eq(reachability, "-");
        for (int i = 0; !std::holds_alternative<SubscriberRole>(sharing.role(BootClock::now())); ++i) {
            live = {HostId("alone")};
            for (int j = 0; j < 5; ++j) {
                live.emplace_back("host-" + std::to_string(5 * i + j));
            }
        }
        sleepFor(context, 3000ms, yield);
        // The host calls the store while it is a subscriber, and applies the responses when they arrive.
        cr_expect_eq(reachability, "-+", "%s", reachability.c_str());
        store.setUnresponsive(true);
        live = {HostId("alone")};
        sleepFor(context, 600ms, yield);
        cr_expect_eq(std::count(reachability.begin(), reachability.end(), '+'), 1, "%s", reachability.c_str());
        sleepFor(context, 2000ms, yield);
        cr_expect_eq(reachability, "-+-", "%s", reachability.c_str());
        context.stop();
    });
    context.run();
}

// Guards against writes that store other bytes, remove the wrong row or ignore the expected version.
Test(MetadataStore, putAndRemove)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        const std::string bytes("a\0b\xff", 4);
        cr_assert(std::holds_alternative<Written>(fixture.client.put("things", "k", bytes, yield)));
        cr_assert(fixture.await([&] { return fixture.copy["k"] == bytes; }, yield));
        cr_assert(std::holds_alternative<Written>(fixture.client.remove("things", "k", yield)));
        cr_assert(fixture.await([&] { return fixture.copy.count("k") == 0; }, yield));
        const auto old = std::get<FeedRows>(fixture.client.readTable("things", 2s, yield));
        fixture.client.put("things", "k", "newer", yield);
        cr_assert(old.rows.empty());
        const auto current = std::get<FeedRows>(fixture.client.readTable("things", 2s, yield)).rows.front();
        cr_assert(std::holds_alternative<StoreFailure>(fixture.client.removeIfUnchanged("things", "k", current.version - 1, yield)));
        cr_assert(std::holds_alternative<Written>(fixture.client.removeIfUnchanged("things", "k", current.version, yield)));
        fixture.store.isDown = true;
        cr_assert(std::holds_alternative<StoreFailure>(fixture.client.put("things", "k", bytes, yield)));
    });
}

namespace
{

/// When the store comes back from an older copy.
enum class Return {
    BetweenFeedCalls,
    DuringAnOutage,
    /// Versions have passed those of the earlier era when the host calls again.
    WithMoreChangesThanWereLost,
    DuringAFullRead,
    Twice,
};

struct ReturnCase
{
    char name[48];
    Return kind;
};

} // namespace

// Guards against a copy that mixes rows of two eras of the store: rows that the store lost stay, or changes whose versions were assigned again are missed.
ParameterizedTestParameters(TableWatch, copyFollowsTheStoreIntoANewEra)
{
    static ReturnCase cases[] = {
        {"between two calls to the feed", Return::BetweenFeedCalls},
        {"during an outage", Return::DuringAnOutage},
        {"with more changes than were lost", Return::WithMoreChangesThanWereLost},
        {"during a full read of several pages", Return::DuringAFullRead},
        {"twice in a row", Return::Twice},
    };
    return cr_make_param_array(ReturnCase, cases, std::size(cases));
}

ParameterizedTest(ReturnCase *testCase, TableWatch, copyFollowsTheStoreIntoANewEra)
{
    Fixture fixture;
    StoreStandIn &store = fixture.store;
    store.era = 3;
    for (int i = 1000; i < 1600; ++i) {
        store.set("things", "key" + std::to_string(i), "1");
    }
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.size() == 600; }, yield));
        std::map<std::string, std::string> expected = fixture.copy;
        store.keepCopy();
        store.set("things", "key1000", "lost");
        store.set("things", "key1599", "lost");
        store.set("things", "lost", "1");
        store.remove("things", "key1001");
        cr_assert(fixture.await([&] { return fixture.copy.count("lost") == 1 && fixture.copy["key1599"] == "lost"; }, yield));
        if (testCase->kind == Return::DuringAnOutage || testCase->kind == Return::WithMoreChangesThanWereLost) {
            store.isDown = true;
            cr_assert(fixture.await([&] { return !fixture.watch.isReachable(); }, yield));
        }
        if (testCase->kind == Return::DuringAFullRead) {
            store.pageRead = [&store] {
                store.pageRead = nullptr;
                store.restoreCopy();
            };
            store.truncateHistory();
            store.set("other", "x", "1");
            store.truncateHistory();
        } else {
            store.restoreCopy();
        }
        if (testCase->kind == Return::Twice) {
            store.set("things", "lost again", "1");
            fixture.sleep(100ms, yield);
            store.restoreCopy();
        }
        const int changes = testCase->kind == Return::WithMoreChangesThanWereLost ? 20 : 1;
        if (testCase->kind == Return::DuringAFullRead) {
            cr_assert(fixture.await([&] { return !store.pageRead; }, yield));
        }
        for (int i = 0; i < changes; ++i) {
            store.set("things", "new" + std::to_string(i), "1");
            expected["new" + std::to_string(i)] = "1";
        }
        store.isDown = false;
        cr_assert(fixture.await([&] { return fixture.copy == expected; }, yield), "%s: %zu rows", testCase->name, fixture.copy.size());
        cr_assert_eq(fixture.watch.era(), StoreEra(testCase->kind == Return::Twice ? 5 : 4), "%s", testCase->name);
        store.set("things", "key1000", "2");
        cr_assert(fixture.await([&] { return fixture.copy["key1000"] == "2"; }, yield), "%s: a later change is missed", testCase->name);
    });
}

// Guards against an old state of the store that undoes what is known, counts as a proof that the copy is current, or is asked for without a pause.
Test(TableWatch, answersOfAnEarlierEraAreIgnored)
{
    Fixture fixture;
    fixture.store.era = 1;
    fixture.store.set("things", "a", "1");
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert(fixture.await([&] { return fixture.copy.count("a") == 1; }, yield));
        fixture.store.keepCopy();
        fixture.store.restoreCopy();
        fixture.store.set("things", "a", "2");
        cr_assert(fixture.await([&] { return fixture.copy["a"] == "2" && fixture.watch.era() == StoreEra(2); }, yield));
        fixture.store.staleEras["127.0.0.1"] = 1;
        fixture.store.set("things", "a", "3");
        fixture.sleep(400ms, yield);
        const BootTime provenBefore = fixture.watch.provenAt();
        const int callsBefore = fixture.store.feedCalls + fixture.store.readCalls;
        fixture.sleep(2000ms, yield);
        cr_assert_eq(fixture.copy["a"], "2", "an answer of an earlier era was applied");
        cr_assert(fixture.watch.provenAt() == provenBefore, "an answer of an earlier era proves that the copy is current");
        cr_assert_not(fixture.watch.isReachable());
        // The store grants ten hosts together 2000 calls in 2 s for three tables.
        const int calls = fixture.store.feedCalls + fixture.store.readCalls - callsBefore;
        cr_assert_leq(calls, 2000 / 10 / 3, "%d calls in 2 s", calls);
        fixture.store.staleEras.clear();
        cr_assert(fixture.await([&] { return fixture.copy["a"] == "3" && fixture.watch.isReachable(); }, yield));
    });
}

namespace
{

struct EraCase
{
    char name[40];
    /// Value of the header; "none" without one.
    char header[24];
    std::uint64_t era;
};

} // namespace

// Guards against results without the era that the store states, and against a store without eras, or with a damaged header, that isn't served.
ParameterizedTestParameters(MetadataStore, resultsHoldTheEra)
{
    static EraCase cases[] = {
        {"no header", "none", 0},
        {"an era", "4", 4},
        {"no number", "four", 0},
        {"two numbers", "4, 5", 0},
        {"empty", "", 0},
    };
    return cr_make_param_array(EraCase, cases, std::size(cases));
}

ParameterizedTest(EraCase *testCase, MetadataStore, resultsHoldTheEra)
{
    Fixture fixture;
    if (std::string(testCase->header) != "none") {
        fixture.store.eraText = testCase->header;
    }
    asio::spawn(fixture.context, [&](const asio::yield_context &yield) {
        const StoreEra era(testCase->era);
        cr_assert_eq(std::get<Written>(fixture.client.put("things", "k", "1", yield)).era, era, "%s", testCase->name);
        cr_assert_eq(std::get<FeedRows>(fixture.client.readTable("things", 2s, yield)).era, era, "%s", testCase->name);
        const auto changes = fixture.client.awaitChanges("things", 1, {1ms, 500ms}, yield);
        cr_assert_eq(std::get<FeedRows>(changes).era, era, "%s", testCase->name);
        fixture.store.truncateHistory();
        const auto truncated = fixture.client.awaitChanges("things", 1, {1ms, 500ms}, yield);
        cr_assert_eq(std::get<HistoryTruncated>(truncated).era, era, "%s", testCase->name);
        fixture.context.stop();
    });
    fixture.context.run();
}

// Guards against a table that is put together from pages of two eras: a row that was lost between them would be kept.
Test(MetadataStore, pagesOfTwoErasAreNoTable)
{
    Fixture fixture;
    fixture.store.era = 1;
    for (int i = 1000; i < 1600; ++i) {
        fixture.store.set("things", "key" + std::to_string(i), "1");
    }
    fixture.store.keepCopy();
    fixture.store.set("things", "key1000", "lost");
    fixture.store.pageRead = [&fixture] {
        fixture.store.pageRead = nullptr;
        fixture.store.restoreCopy();
    };
    asio::spawn(fixture.context, [&](const asio::yield_context &yield) {
        cr_assert(std::holds_alternative<StoreFailure>(fixture.client.readTable("things", 2s, yield)));
        const auto table = std::get<FeedRows>(fixture.client.readTable("things", 2s, yield));
        cr_assert(table.era == StoreEra(2) && table.rows.size() == 600 && table.rows.front().value == "1");
        fixture.context.stop();
    });
    fixture.context.run();
}

namespace
{

/// Hosts of one availability zone that share the feed of a table. Messages between them take no time.
class Zone
{
public:
    struct Host
    {
        HostId id;
        /// Source address of the calls of the host to the store.
        std::string address;
        std::unique_ptr<MetadataStore> client;
        std::unique_ptr<FeedSharing> sharing;
        std::unique_ptr<TableWatch> watch;
        std::map<std::string, std::string> copy;
        bool isPartitioned = false;
    };

    explicit Zone(std::size_t count)
        : store(context)
    {
        for (std::size_t i = 0; i < count; ++i) {
            ids.emplace_back("host-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            add(i);
        }
    }

    /// The publisher to which all other hosts subscribe.
    Host &publisher()
    {
        for (auto &host : hosts) {
            if (std::holds_alternative<PublisherRole>(host->sharing->role(BootClock::now()))) {
                return *host;
            }
        }
        return *hosts.front();
    }

    void run(const std::function<void(const asio::yield_context &yield)> &body)
    {
        for (auto &host : hosts) {
            asio::spawn(context, [&host](const asio::yield_context &yield) { host->watch->run(yield); });
            asio::spawn(context, [this, &host](const asio::yield_context &yield) {
                while (!context.stopped()) {
                    host->sharing->server().respondToDueRequests(BootClock::now());
                    sleepFor(context, 10ms, yield);
                }
            });
        }
        asio::spawn(context, [this, &body](const asio::yield_context &yield) {
            body(yield);
            context.stop();
        });
        context.run();
    }

    /// Time until every host but an excluded one has received the key; 5 s when it never does.
    std::chrono::milliseconds timeUntilReceived(const std::string &key, const Host *excluded, const asio::yield_context &yield)
    {
        const BootTime start = BootClock::now();
        const auto isReceived = [&](const auto &host) { return host.get() == excluded || host->copy.count(key) > 0; };
        while (BootClock::now() - start < 5s && !std::all_of(hosts.begin(), hosts.end(), isReceived)) {
            sleepFor(context, 5ms, yield);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start);
    }

    asio::io_context context{1};
    StoreStandIn store;
    std::vector<HostId> ids;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    void add(std::size_t index)
    {
        auto host = std::make_unique<Host>();
        Host &self = *host;
        self.id = ids[index];
        self.address = "127.0.0." + std::to_string(10 + index);
        self.client = std::make_unique<MetadataStore>(context, store.address(), self.address);
        PublisherChoiceSettings choice;
        choice.self = self.id;
        const auto send = [this, &self](const HostId &to, const PeerMessage &message) { deliver(self, to, message); };
        self.sharing = std::make_unique<FeedSharing>(context, choice, send, [this] { return ids; });
        const auto change = [&self](const std::vector<FeedRow> &rows) {
            for (const FeedRow &row : rows) {
                if (row.removed) {
                    self.copy.erase(row.key);
                } else {
                    self.copy[row.key] = row.value;
                }
            }
        };
        const auto replace = [&self, change](const FeedRows &table) {
            self.copy.clear();
            change(table.rows);
        };
        const TableWatchHandlers handlers{replace, change, [](bool, const std::string &) {}};
        // Changes must be received within one second.
        const TableWatchTiming timing{350ms, 5s, 2s, 1200ms, 500ms, {150ms, 350ms, 100ms}};
        self.watch = std::make_unique<TableWatch>(context, *self.client, *self.sharing, "things", timing, handlers);
        hosts.push_back(std::move(host));
    }

    void deliver(const Host &from, const HostId &to, const PeerMessage &message)
    {
        asio::post(context, [this, &from, to, message] {
            for (auto &host : hosts) {
                if (host->id == to && !host->isPartitioned && !from.isPartitioned) {
                    host->sharing->receive(from.id, message, BootClock::now());
                }
            }
        });
    }
};

enum class Fault {
    None,
    PublisherPartitioned,
    PublisherLosesStore,
    StoreDown,
};

struct FaultCase
{
    char name[32];
    Fault fault;
    /// From the change until the other hosts have received it.
    int maximumMilliseconds;
};

} // namespace

// Load pattern: changes that all hosts of a zone would read from the store. Guards against subscribers that receive a change too
// late because their publisher is unreachable or has lost the store without noticing.
ParameterizedTestParameters(TableWatch, hostsShareAFeed)
{
    static FaultCase cases[] = {
        {"no fault", Fault::None, 200},
        {"the publisher is partitioned", Fault::PublisherPartitioned, 1000},
        {"the publisher loses the store", Fault::PublisherLosesStore, 1000},
        {"the store was down", Fault::StoreDown, 2000},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, TableWatch, hostsShareAFeed)
{
    Zone zone(8);
    zone.run([&](const asio::yield_context &yield) {
        zone.store.set("things", "first", "1");
        cr_assert_lt(zone.timeUntilReceived("first", nullptr, yield).count(), 2000);
        sleepFor(zone.context, 500ms, yield);
        const int callsBefore = zone.store.feedCalls;
        sleepFor(zone.context, 2000ms, yield);
        cr_assert_leq(zone.store.feedCalls - callsBefore, 6, "%d calls in 2 s", zone.store.feedCalls - callsBefore);
        Zone::Host &publisher = zone.publisher();
        const Zone::Host *excluded = nullptr;
        if (testCase->fault == Fault::PublisherPartitioned) {
            publisher.isPartitioned = true;
        } else if (testCase->fault == Fault::PublisherLosesStore) {
            zone.store.unresponsiveTo.insert(publisher.address);
            excluded = &publisher;
        } else if (testCase->fault == Fault::StoreDown) {
            zone.store.isDown = true;
            sleepFor(zone.context, 3000ms, yield);
            zone.store.isDown = false;
        }
        zone.store.set("things", "second", "1");
        const auto time = zone.timeUntilReceived("second", excluded, yield);
        cr_assert_leq(time.count(), testCase->maximumMilliseconds, "%s: %d ms", testCase->name, static_cast<int>(time.count()));
    });
}

namespace
{

/// Which hosts notice first that the store came back from an older copy.
enum class Notice {
    Publisher,
    Subscriber,
    PublisherDuringAnOutage,
};

struct NoticeCase
{
    char name[64];
    Notice kind;
    /// Pages of full reads; a host that can copy the table from its publisher does not read it.
    int maximumReads;
};

} // namespace

// Guards against hosts of different eras that take each other's older data for newer data, and against all hosts of a zone reading the whole table from a
// store that has just come back.
ParameterizedTestParameters(TableWatch, hostsOfAZoneFollowIntoANewEra)
{
    static NoticeCase cases[] = {
        {"the publisher has seen the new era, the subscribers have not", Notice::Publisher, 4},
        {"a subscriber has seen the new era, the publisher has not", Notice::Subscriber, 16},
        {"during an outage", Notice::PublisherDuringAnOutage, 16},
    };
    return cr_make_param_array(NoticeCase, cases, std::size(cases));
}

ParameterizedTest(NoticeCase *testCase, TableWatch, hostsOfAZoneFollowIntoANewEra)
{
    Zone zone(8);
    zone.store.era = 1;
    zone.run([&](const asio::yield_context &yield) {
        zone.store.set("things", "first", "1");
        cr_assert_lt(zone.timeUntilReceived("first", nullptr, yield).count(), 2000);
        zone.store.keepCopy();
        zone.store.set("things", "lost", "1");
        cr_assert_lt(zone.timeUntilReceived("lost", nullptr, yield).count(), 2000);
        // Hosts whose first request was rejected read the store themselves until their held calls end.
        for (int i = 0; i < 800 && zone.store.heldFeedCalls["things"] > 1; ++i) {
            sleepFor(zone.context, 10ms, yield);
        }
        cr_assert_leq(zone.store.heldFeedCalls["things"], 1, "the hosts do not share the feed");
        const int readsBefore = zone.store.readCalls;
        Zone::Host &publisher = zone.publisher();
        if (testCase->kind == Notice::PublisherDuringAnOutage) {
            zone.store.isDown = true;
            sleepFor(zone.context, 3000ms, yield);
        } else if (testCase->kind == Notice::Subscriber) {
            // The publisher is answered as if the store had not come back yet.
            zone.store.staleEras[publisher.address] = 1;
        }
        zone.store.restoreCopy();
        if (testCase->kind == Notice::Subscriber) {
            Zone::Host &subscriber = *zone.hosts[&publisher == zone.hosts.front().get() ? 1 : 0];
            subscriber.sharing->recordEra(StoreEra(2));
            sleepFor(zone.context, 1000ms, yield);
            cr_assert(subscriber.copy.count("lost") == 0 && subscriber.copy.count("first") == 1, "the subscriber follows the publisher back");
            zone.store.staleEras.clear();
        }
        zone.store.isDown = false;
        zone.store.set("things", "second", "1");
        cr_assert_lt(zone.timeUntilReceived("second", nullptr, yield).count(), 2000, "%s: a change is missed", testCase->name);
        const std::map<std::string, std::string> expected{{"first", "1"}, {"second", "1"}};
        for (const auto &host : zone.hosts) {
            cr_expect(host->copy == expected, "%s: %s has %zu rows", testCase->name, host->id.value().c_str(), host->copy.size());
            cr_expect_eq(host->watch->era(), StoreEra(2), "%s: %s", testCase->name, host->id.value().c_str());
        }
        cr_expect_leq(zone.store.readCalls - readsBefore, testCase->maximumReads, "%s: %d reads", testCase->name, zone.store.readCalls - readsBefore);
    });
}
