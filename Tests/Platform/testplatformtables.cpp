#include "storestandin.h"
#include <LibCore/sleep.h>
#include <platform/decode.h>
#include <platform/hostrows.h>
#include <platform/platformtables.h>

#include <boost/asio/spawn.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr auto s_configuration = R"({{"version": "r{}", "routes": [{{"name": "route", "host": "example", "prefix": "/", "kind": "safe", "timeout": "1s",
    "service": "service", "allowed_regions": ["{}"]}}], "services": [{{"name": "service"}}],
    "limits": {{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3s", "idle_timeout": "15s"}}}})";
constexpr auto s_registration = R"({{"service": "service", "address": "127.0.0.1:1", "zone": "east-a", "version": "v1", "max_concurrency": 4,
    "state": "{}", "cold_remaining": "0ms", "seq_no": {}}})";

/// A host's copies of the store's tables, with the default limits of the operators.
struct Fixture
{
    Fixture()
        : store(context)
        , client(context, store.address(), "127.0.0.1")
        , sharing(
              context, {HostId("alone")}, [](const HostId &, const PeerMessage &) {}, [] { return std::vector<HostId>{HostId("alone")}; })
        , state(stateSettings())
        , tables(context, client, sharing, limits, state, metrics, [](const HttpInputLimits &) {})
    {
        declare(1, "east");
        registerUpstream("ready", 1);
    }

    static GatewayStateSettings stateSettings()
    {
        GatewayStateSettings settings;
        settings.host = HostId("alone");
        settings.placement.zone = ZoneId("east-a");
        settings.placement.region = RegionId("east");
        settings.regions = {{ZoneId("east-a"), RegionId("east")}, {ZoneId("west-a"), RegionId("west")}};
        return settings;
    }

    void declare(int version, const std::string &region)
    {
        store.set(operatorTable, configurationKey, fmt::format(s_configuration, version, region));
    }

    void registerUpstream(const std::string &phase, int reportNumber)
    {
        store.set(registrationTable, "upstream", fmt::format(s_registration, phase, reportNumber));
    }

    /// Number of upstreams to which a request of the route may be sent now.
    std::size_t usableUpstreamCount()
    {
        const auto routes = state.routes();
        const Route *route = routes ? routes->match("example", "/") : nullptr;
        return route ? state.usableUpstreams(ServiceId("service"), *route, {}, BootClock::now()).size() : 0;
    }

    void run(const std::function<void(const asio::yield_context &yield)> &body)
    {
        tables.start();
        asio::spawn(context, [this, &body](const asio::yield_context &yield) {
            body(yield);
            context.stop();
        });
        context.run();
    }

    /// Time until a condition holds; the maximum when it does not.
    template<typename Condition>
    std::chrono::milliseconds timeUntil(Condition condition, std::chrono::milliseconds maximum, const asio::yield_context &yield)
    {
        const BootTime start = BootClock::now();
        while (!condition() && BootClock::now() - start < maximum) {
            sleepFor(context, 2ms, yield);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start);
    }

    asio::io_context context{1};
    StoreStandIn store;
    MetadataStore client;
    FeedSharing sharing;
    GatewayLimits limits;
    GatewayState state;
    GatewayMetrics metrics;
    PlatformTables tables;
};

enum class Change {
    Configuration,
    LeavingUpstream,
};

struct OutageCase
{
    char name[64];
    Change change;
    /// Calls to the feed that the store drops while it is unresponsive. It responds again directly after the last of them, so that the
    /// host has to wait longest for the next call.
    int droppedCalls;
};

} // namespace

// Guards against requests that leave the regions of their route, or are sent to leaving upstreams, because the host waits for the
// response to a call that the store has dropped.
ParameterizedTestParameters(PlatformTables, changesAreAppliedInTimeAfterAnOutageOfTheStore)
{
    static OutageCase cases[] = {
        {"configuration, held call lost", Change::Configuration, 0},
        {"configuration, first call after it lost", Change::Configuration, 1},
        {"configuration, four calls lost", Change::Configuration, 4},
        {"configuration, five calls lost", Change::Configuration, 5},
        {"upstream, held call lost", Change::LeavingUpstream, 0},
        {"upstream, first call after it lost", Change::LeavingUpstream, 1},
        {"upstream, four calls lost", Change::LeavingUpstream, 4},
        {"upstream, five calls lost", Change::LeavingUpstream, 5},
    };
    return cr_make_param_array(OutageCase, cases, std::size(cases));
}

ParameterizedTest(OutageCase *testCase, PlatformTables, changesAreAppliedInTimeAfterAnOutageOfTheStore)
{
    Fixture fixture;
    const bool isConfiguration = testCase->change == Change::Configuration;
    const std::string table = isConfiguration ? operatorTable : registrationTable;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1 && fixture.store.heldFeedCalls[table] == 1; }, 5s, yield).count(), 5000);
        fixture.store.setUnresponsive(true);
        const auto areCallsDropped = [&] { return fixture.store.droppedFeedCalls[table] >= testCase->droppedCalls; };
        cr_assert_lt(fixture.timeUntil(areCallsDropped, 60s, yield).count(), 60000, "%s: the host stopped calling", testCase->name);
        fixture.store.setUnresponsive(false);
        if (isConfiguration) {
            fixture.declare(2, "west");
        } else {
            fixture.registerUpstream("draining", 2);
        }
        const auto limit = isConfiguration ? fixture.limits.configurationApply : fixture.limits.drainNotice;
        const auto time = fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 0; }, 10s, yield);
        cr_assert_lt(time.count(), limit.count(), "%s: applied after %d ms", testCase->name, static_cast<int>(time.count()));
    });
}

// Guards against a response that is not processed while the host waits after an earlier failed call.
ParameterizedTestParameters(PlatformTables, responsesAfterAnOutageAreReadAtOnce)
{
    // Calls to the feed that the store drops while it is unresponsive.
    static int cases[] = {4, 5, 6, 7, 8, 9, 10, 11};
    return cr_make_param_array(int, cases, std::size(cases));
}

ParameterizedTest(int *droppedCalls, PlatformTables, responsesAfterAnOutageAreReadAtOnce)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_lt(
            fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1 && fixture.store.heldFeedCalls[operatorTable] == 1; }, 5s, yield).count(), 5000);
        fixture.store.setUnresponsive(true);
        const auto areCallsDropped = [&] { return fixture.store.droppedFeedCalls[operatorTable] >= *droppedCalls; };
        cr_assert_lt(fixture.timeUntil(areCallsDropped, 60s, yield).count(), 60000, "the host stopped calling");
        fixture.store.setUnresponsive(false);
        fixture.declare(2, "west");
        const int feedCalls = fixture.store.answeredFeedCalls[operatorTable];
        fixture.timeUntil([&] { return fixture.store.answeredFeedCalls[operatorTable] > feedCalls; }, 10s, yield);
        const auto time = fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 0; }, 10s, yield);
        cr_assert_lt(time.count(), 100, "%d calls lost: read %d ms after the response", *droppedCalls, static_cast<int>(time.count()));
    });
}

namespace
{

struct SlowStoreCase
{
    char name[24];
    int delayMilliseconds;
    /// From a change until it is applied: a call that returns it, after one that timed out or was held.
    int maximumMilliseconds;
};

} // namespace

// Guards against a host that never applies changes from a store whose responses take longer than changes may take to be in force.
ParameterizedTestParameters(PlatformTables, changesOfASlowStoreAreApplied)
{
    static SlowStoreCase cases[] = {
        {"300 ms", 300, 2000},
        {"750 ms", 750, 2000},
        {"900 ms", 900, 6000},
        {"1200 ms", 1200, 6000},
        {"1900 ms", 1900, 6000},
    };
    return cr_make_param_array(SlowStoreCase, cases, std::size(cases));
}

ParameterizedTest(SlowStoreCase *testCase, PlatformTables, changesOfASlowStoreAreApplied)
{
    Fixture fixture;
    fixture.store.delay = std::chrono::milliseconds(testCase->delayMilliseconds);
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1; }, 10s, yield).count(), 10000, "%s: never read", testCase->name);
        sleepFor(fixture.context, 3s, yield);
        fixture.declare(2, "west");
        const auto time = fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 0; }, 15s, yield);
        cr_assert_lt(time.count(), testCase->maximumMilliseconds, "%s: applied after %d ms", testCase->name, static_cast<int>(time.count()));
    });
}

namespace
{

struct RejectedCase
{
    char name[32];
    char value[96];
};

/// Value of a sample without labels; nothing when the scrape has no such metric.
std::optional<double> sampleOf(const std::string &scrape, const std::string &name)
{
    const auto start = scrape.find("\n" + name + " ");
    return start == std::string::npos ? std::nullopt : std::optional(std::stod(scrape.substr(start + name.size() + 2)));
}

} // namespace

// Guards against hosts that keep an older configuration because the newest is invalid, while no metric shows it.
ParameterizedTestParameters(PlatformTables, rejectedConfigurationShowsInTheMetrics)
{
    static RejectedCase cases[] = {
        {"no document", "{"},
        {"no version", R"({"routes": [], "services": []})"},
        {"a field of another type", R"({"version": "r2", "routes": 7, "services": []})"},
    };
    return cr_make_param_array(RejectedCase, cases, std::size(cases));
}

ParameterizedTest(RejectedCase *testCase, PlatformTables, rejectedConfigurationShowsInTheMetrics)
{
    Fixture fixture;
    const auto metric = [&fixture](const char *name) {
        ScrapeWriter writer;
        fixture.metrics.writeTo(writer, fixture.state, BootClock::now());
        fixture.tables.writeTo(writer, BootClock::now());
        return sampleOf(writer.text(), name);
    };
    const auto rejectedSeconds = [&] { return metric("trefoil_configuration_refused_seconds").value_or(-1); };
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1; }, 5s, yield).count(), 5000);
        cr_assert_eq(rejectedSeconds(), 0, "%s: rejected before", testCase->name);
        fixture.store.set(operatorTable, configurationKey, testCase->value);
        cr_assert_lt(fixture.timeUntil([&] { return rejectedSeconds() > 0; }, 5s, yield).count(), 2000, "%s: not shown", testCase->name);
        sleepFor(fixture.context, 500ms, yield);
        fixture.store.set(operatorTable, configurationKey, "[]");
        sleepFor(fixture.context, 1s, yield);
        cr_assert_geq(rejectedSeconds(), 1.5, "%s: a second rejection hides the first: %g s", testCase->name, rejectedSeconds());
        cr_assert_eq(metric("trefoil_configuration_version").value_or(-1), 1, "%s", testCase->name);
        cr_assert_eq(fixture.usableUpstreamCount(), 1, "%s", testCase->name);
        fixture.declare(3, "east");
        cr_assert_lt(fixture.timeUntil([&] { return rejectedSeconds() == 0; }, 5s, yield).count(), 2000, "%s: still rejected", testCase->name);
        cr_assert_eq(metric("trefoil_configuration_version").value_or(-1), 3, "%s", testCase->name);
    });
}

// Guards against a host that calls the store without a delay while full reads are from before the history that the store keeps.
Test(PlatformTables, staleReadsAreNotRepeatedAtOnce)
{
    Fixture fixture;
    fixture.store.freezeReads(true);
    fixture.declare(2, "west");
    fixture.registerUpstream("ready", 2);
    fixture.store.set(hostTable, "other", "");
    fixture.store.truncateHistory();
    fixture.run([&](const asio::yield_context &yield) {
        sleepFor(fixture.context, 2s, yield);
        const int calls = fixture.store.readCalls + fixture.store.feedCalls;
        // The call rate that the store grants ten hosts together, divided among them.
        constexpr int maximumCalls = 2 * 2000 / 10;
        cr_expect_leq(calls, maximumCalls, "%d calls in 2 s", calls);
        fixture.store.freezeReads(false);
        fixture.declare(3, "west");
        const auto isApplied = [&] { return fixture.state.routes() && fixture.state.routes()->configuration().version == ConfigurationVersion(3); };
        const auto time = fixture.timeUntil(isApplied, 10s, yield);
        cr_expect_lt(time.count(), fixture.limits.configurationApply.count(), "applied after %d ms", static_cast<int>(time.count()));
    });
}

namespace
{

struct DroppedProbesCase
{
    int count;
};

} // namespace

// Guards against a host that, after a long outage of the store, ignores a response because an earlier call has failed.
ParameterizedTestParameters(PlatformTables, theNextCallNoticesThatTheStoreIsReachable)
{
    static DroppedProbesCase cases[] = {{3}, {4}, {5}, {6}, {7}, {8}, {9}, {10}};
    return cr_make_param_array(DroppedProbesCase, cases, std::size(cases));
}

ParameterizedTest(DroppedProbesCase *testCase, PlatformTables, theNextCallNoticesThatTheStoreIsReachable)
{
    Fixture fixture;
    const std::string table = operatorTable;
    fixture.run([&](const asio::yield_context &yield) {
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1 && fixture.store.heldFeedCalls[table] == 1; }, 5s, yield).count(), 5000);
        fixture.store.setUnresponsive(true);
        const auto areCallsDropped = [&] { return fixture.store.droppedFeedCalls[table] >= testCase->count; };
        cr_assert_lt(fixture.timeUntil(areCallsDropped, 60s, yield).count(), 60000, "%d: the host stopped calling", testCase->count);
        fixture.store.setUnresponsive(false);
        fixture.declare(2, "west");
        const auto time = fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 0; }, 10s, yield);
        // 0.6 of the time within which a change must be in force, between the starts of two calls, and the next call itself.
        const auto limit = fixture.limits.configurationApply * 6 / 10 + 100ms;
        cr_assert(time < limit, "%d calls lost: applied after %d ms", testCase->count, static_cast<int>(time.count()));
    });
}

// Guards against a configuration that is applied too late because a full read was dropped after the store truncated its history.
Test(PlatformTables, droppedFullReadsDelayNoChange)
{
    Fixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        const std::string table = operatorTable;
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1 && fixture.store.heldFeedCalls[table] == 1; }, 5s, yield).count(), 5000);
        fixture.store.dropsReads = true;
        fixture.store.set("other", "row", "");
        fixture.store.truncateHistory();
        cr_assert_lt(fixture.timeUntil([&] { return fixture.store.droppedReads[table] == 1; }, 5s, yield).count(), 5000);
        fixture.store.dropsReads = false;
        fixture.declare(2, "west");
        const auto time = fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 0; }, 10s, yield);
        // The same limit as for calls for changes.
        const auto limit = fixture.limits.configurationApply * 6 / 10 + 100ms;
        cr_assert(time < limit, "applied after %d ms", static_cast<int>(time.count()));
    });
}

namespace
{

struct OddRowCase
{
    char name[40];
    char value[160];
};

} // namespace

// Guards against a row of another writer that ends the process, that names an upstream, or after which the table is no longer followed.
ParameterizedTestParameters(PlatformTables, oddRowsHarmNoOther)
{
    static OddRowCase cases[] = {
        {"not a document", "\xff\xfe{"},
        {"empty", ""},
        {"deeply nested", "deep"},
        {"a number too large", R"({"service":"service","address":"127.0.0.1:1","zone":"east-a","max_concurrency":1e400})"},
        {"a port out of range",
            R"({"service":"service","address":"127.0.0.1:65536","zone":"east-a","max_concurrency":4,"state":"ready","cold_remaining":"0ms","seq_no":1})"},
        {"a null", "null"},
    };
    return cr_make_param_array(OddRowCase, cases, std::size(cases));
}

ParameterizedTest(OddRowCase *testCase, PlatformTables, oddRowsHarmNoOther)
{
    const std::string odd = std::string(testCase->value) == "deep" ? std::string(40000, '[') : testCase->value;
    Fixture fixture;
    // "odd" is read with the whole table, "upstream-odd" and the spoilt row of "upstream" as changes.
    fixture.store.set(registrationTable, "odd", odd);
    fixture.run([&](const asio::yield_context &yield) {
        const auto usableBecomes = [&](std::size_t count) { return fixture.timeUntil([&] { return fixture.usableUpstreamCount() == count; }, 3s, yield) < 3s; };
        cr_assert(usableBecomes(1), "%s", testCase->name);
        fixture.store.set(registrationTable, "upstream-odd", odd);
        fixture.store.set(registrationTable, "upstream", odd);
        cr_assert(usableBecomes(0), "%s: the spoilt row still names an upstream", testCase->name);
        fixture.registerUpstream("ready", 2);
        cr_assert(usableBecomes(1), "%s: the table is no longer followed", testCase->name);
        cr_assert(fixture.tables.isStoreReachable());
    });
}

namespace
{

std::string reportOf(std::int64_t born, int reportNumber, const char *state)
{
    return fmt::format(R"({{"service": "service", "address": "127.0.0.1:1", "zone": "east-a", "version": "v1", "max_concurrency": 4,
        "state": "{}", "cold_remaining": "0ms", "seq_no": {}, "born": {}}})",
        state,
        reportNumber,
        born);
}

} // namespace

// Guards against requests to a leaving upstream whose reports are ignored: it started again under its id after the clock of its machine
// was set back, so that its process seems to be from before the one that it follows.
Test(PlatformTables, leavingIsSeenAfterTheClockOfAnUpstreamWasSetBack)
{
    Fixture fixture;
    fixture.store.set(registrationTable, "upstream", reportOf(1790000002000, 9, "ready"));
    fixture.run([&](const asio::yield_context &yield) {
        const auto usableBecomes = [&](std::size_t count) { return fixture.timeUntil([&] { return fixture.usableUpstreamCount() == count; }, 5s, yield); };
        cr_assert_lt(usableBecomes(1).count(), 5000);
        fixture.store.set(registrationTable, "upstream", reportOf(1790000000000, 1, "ready"));
        sleepFor(fixture.context, 1s, yield);
        cr_assert_eq(fixture.usableUpstreamCount(), 1);
        fixture.store.set(registrationTable, "upstream", reportOf(1790000000000, 2, "draining"));
        const auto time = usableBecomes(0);
        cr_assert_lt(time.count(), fixture.limits.drainNotice.count(), "applied after %d ms", static_cast<int>(time.count()));
    });
}

namespace
{

struct SpoiltCase
{
    char name[64];
    char row[200];
    /// The row is removed before the good one is back.
    bool isRemoved;
};

} // namespace

// Guards against an upstream that stays out of use after its good rows are back, because a row of another writer that spoilt them
// seemed newer.
ParameterizedTestParameters(PlatformTables, goodRowsCountAgainAfterASpoiltOne)
{
    static SpoiltCase cases[] = {
        {"unknown service, large report number",
            R"("service": "unknown", "state": "ready", "cold_remaining": "0ms", "seq_no": 999999999999, "born": 1790000000000)",
            false},
        {"unknown service, large report number, removed",
            R"("service": "unknown", "state": "ready", "cold_remaining": "0ms", "seq_no": 999999999999, "born": 1790000000000)",
            true},
        {"unknown service, leaving", R"("service": "unknown", "state": "draining", "cold_remaining": "0ms", "seq_no": 6, "born": 1790000000000)", false},
        {"late start", R"("service": "unknown", "state": "ready", "cold_remaining": "0ms", "seq_no": 6, "born": 4102444800000)", false},
        {"no start", R"("service": "service", "state": "draining", "cold_remaining": "0ms", "seq_no": 999999999999)", false},
        {"report number out of range",
            R"("service": "unknown", "state": "ready", "cold_remaining": "0ms", "seq_no": 9999999999999, "born": 1790000000000)",
            true},
    };
    return cr_make_param_array(SpoiltCase, cases, std::size(cases));
}

ParameterizedTest(SpoiltCase *testCase, PlatformTables, goodRowsCountAgainAfterASpoiltOne)
{
    Fixture fixture;
    fixture.store.set(registrationTable, "upstream", reportOf(1790000000000, 5, "ready"));
    fixture.run([&](const asio::yield_context &yield) {
        const auto usableBecomes = [&](std::size_t count) { return fixture.timeUntil([&] { return fixture.usableUpstreamCount() == count; }, 3s, yield) < 3s; };
        cr_assert(usableBecomes(1), "%s", testCase->name);
        const std::string spoilt = fmt::format(R"({{"address": "127.0.0.1:1", "zone": "east-a", "max_concurrency": 4, {}}})", testCase->row);
        fixture.store.set(registrationTable, "upstream", spoilt);
        cr_assert(usableBecomes(0), "%s: the spoilt row still names an upstream", testCase->name);
        if (testCase->isRemoved) {
            fixture.store.remove(registrationTable, "upstream");
            sleepFor(fixture.context, 1s, yield);
        }
        fixture.store.set(registrationTable, "upstream", reportOf(1790000000000, 6, "ready"));
        cr_assert(usableBecomes(1), "%s: the good row is not used", testCase->name);
    });
}

namespace
{

/// What the store loses when it comes back from an older copy.
enum class Loss {
    Evacuation,
    Configuration,
    LeavingUpstream,
    Upstream,
    OwnRow,
};

struct LossCase
{
    char name[48];
    Loss loss;
    bool isWrittenAgain;
    /// Whether the state from before holds 2 s after the return, and after the time in which its writer would have written again.
    bool holdsAtFirst;
    bool holdsLater;
};

HostRegistration ownRegistration()
{
    HostRegistration registration;
    registration.id = HostId("alone");
    registration.address = "127.0.0.1:1";
    registration.peerAddress = "127.0.0.1:2";
    registration.zone = ZoneId("east-a");
    registration.region = RegionId("east");
    registration.incarnation = 7;
    return registration;
}

/// A host whose store comes back from a copy that lacks something the host knows.
struct LossFixture : Fixture
{
    LossFixture()
    {
        store.era = 1;
        store.set(registrationTable, "upstream", reportOf(1790000000000, 1, "ready"));
        state.directory().setSelf(ownRegistration(), HostPhase::Serving);
    }

    /// Writes the row that will be lost, as its writer does again later.
    void write(Loss loss)
    {
        switch (loss) {
        case Loss::Evacuation:
            store.set(operatorTable, std::string(evacuationKeyPrefix) + "east-a", "1");
            return;
        case Loss::Configuration:
            declare(2, "west");
            return;
        case Loss::LeavingUpstream:
            store.set(registrationTable, "upstream", reportOf(1790000000000, 2, "draining"));
            return;
        case Loss::Upstream:
            store.set(registrationTable, "second", reportOf(1790000000000, 5, "ready"));
            return;
        case Loss::OwnRow:
            store.set(hostTable, "alone", encodeHostRegistration(ownRegistration()));
            return;
        }
    }

    /// Whether what the row says is in force.
    bool holds(Loss loss)
    {
        switch (loss) {
        case Loss::Evacuation:
        case Loss::LeavingUpstream:
        case Loss::Configuration:
            return usableUpstreamCount() == 0;
        case Loss::Upstream:
            return usableUpstreamCount() == 2;
        case Loss::OwnRow:
            return state.directory().isSelfRegistered();
        }
        return false;
    }
};

} // namespace

// Guards against acknowledged state that a host undoes because the store came back from an older copy, and against state that stays for ever although nobody
// writes it again.
ParameterizedTestParameters(PlatformTables, lostRowsStayInForceForAWhile)
{
    static LossCase cases[] = {
        {"an evacuation that is written again", Loss::Evacuation, true, true, true},
        {"an evacuation that is not written again", Loss::Evacuation, false, true, false},
        {"a configuration that is written again", Loss::Configuration, true, true, true},
        {"a configuration that is not written again", Loss::Configuration, false, true, true},
        {"a leaving upstream that writes again", Loss::LeavingUpstream, true, true, true},
        {"a leaving upstream that doesn't write again", Loss::LeavingUpstream, false, true, true},
        {"an upstream that writes again", Loss::Upstream, true, true, true},
        {"an upstream that doesn't write again", Loss::Upstream, false, true, false},
        {"the own row, not written again", Loss::OwnRow, false, false, false},
        {"the own row, written again", Loss::OwnRow, true, true, true},
    };
    return cr_make_param_array(LossCase, cases, std::size(cases));
}

ParameterizedTest(LossCase *testCase, PlatformTables, lostRowsStayInForceForAWhile)
{
    LossFixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        const Loss loss = testCase->loss;
        const auto isReturnNoticed = [&] { return fixture.sharing.era() == StoreEra(2); };
        cr_assert_lt(fixture.timeUntil([&] { return fixture.usableUpstreamCount() == 1; }, 5s, yield).count(), 5000);
        fixture.store.keepCopy();
        fixture.write(loss);
        cr_assert_lt(fixture.timeUntil([&] { return fixture.holds(loss); }, 10s, yield).count(), 10000, "%s: never in force", testCase->name);
        fixture.store.restoreCopy();
        const BootTime returnedAt = BootClock::now();
        cr_assert_lt(fixture.timeUntil(isReturnNoticed, 2s, yield).count(), 2000, "%s: the new era is not noticed", testCase->name);
        sleepFor(fixture.context, 500ms, yield);
        if (testCase->isWrittenAgain) {
            fixture.write(loss);
        }
        if (loss != Loss::OwnRow) {
            bool hasHeld = true;
            while (BootClock::now() - returnedAt < 2s) {
                hasHeld = hasHeld && fixture.holds(loss);
                sleepFor(fixture.context, 5ms, yield);
            }
            cr_expect_eq(hasHeld, testCase->holdsAtFirst, "%s: at first", testCase->name);
        }
        // The host table may lag by the sum of its hold time and its batch delay, 8 s.
        sleepFor(fixture.context, loss == Loss::OwnRow ? 8s : 4500ms, yield);
        cr_expect_eq(fixture.holds(loss), testCase->holdsLater, "%s: later", testCase->name);
    });
}

// Guards against a key that is used after it was taken away: the store came back with the configuration from before, so that its answers don't show that the
// one in force is the newest.
Test(PlatformTables, restoredConfigurationProvesNothing)
{
    LossFixture fixture;
    fixture.run([&](const asio::yield_context &yield) {
        const auto isProvenSince = [&](BootTime time) { return fixture.tables.configurationProvenAt() > time; };
        cr_assert_lt(fixture.timeUntil([&] { return isProvenSince(BootTime{}); }, 5s, yield).count(), 5000);
        fixture.store.keepCopy();
        fixture.write(Loss::Configuration);
        cr_assert_lt(fixture.timeUntil([&] { return fixture.holds(Loss::Configuration); }, 5s, yield).count(), 5000);
        fixture.store.restoreCopy();
        const BootTime returnedAt = BootClock::now();
        while (BootClock::now() - returnedAt < 2500ms) {
            cr_assert_not(isProvenSince(returnedAt), "proven by an older configuration");
            sleepFor(fixture.context, 5ms, yield);
        }
        fixture.write(Loss::Configuration);
        cr_assert_lt(fixture.timeUntil([&] { return isProvenSince(returnedAt); }, 5s, yield).count(), 2000, "not proven by the configuration in force");
        // A return that loses nothing.
        fixture.store.keepCopy();
        fixture.store.restoreCopy();
        const BootTime secondReturn = BootClock::now();
        cr_assert_lt(fixture.timeUntil([&] { return isProvenSince(secondReturn); }, 5s, yield).count(), 2000, "not proven after a return without loss");
    });
}
