#include <LibReplication/changelog.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

using namespace Trefoil;

namespace
{

struct SinceCase
{
    char name[48];
    FeedVersion after;
    /// Expected keys; "lost" when the log does not reach back.
    char expected[16];
};

std::string keysSince(const ChangeLog &log, FeedVersion after)
{
    const auto changes = log.since(after);
    if (std::holds_alternative<HistoryTruncated>(changes)) {
        return "lost";
    }
    std::string keys;
    for (const FeedRow &row : std::get<FeedRows>(changes).rows) {
        keys += row.key;
    }
    return keys;
}

} // namespace

// Guards against subscribers that miss changes because the log has dropped them.
ParameterizedTestParameters(ChangeLog, since)
{
    static SinceCase cases[] = {
        {"before the full read", 9, "lost"},
        {"the first row was dropped from the log", 10, "lost"},
        {"just after the dropped row", 11, "bcd"},
        {"between two changes", 13, "d"},
        {"nothing new", 15, ""},
        {"a subscriber that is ahead", 99, ""},
    };
    return cr_make_param_array(SinceCase, cases, std::size(cases));
}

ParameterizedTest(SinceCase *testCase, ChangeLog, since)
{
    ChangeLog log(3 * (sizeof(FeedRow) + 2));
    cr_assert_eq(keysSince(log, 0), "lost", "a log before the first full read");
    log.reset(10);
    log.append({{{"a", "1", 11, false}, {"b", "1", 12, false}}, 12});
    log.append({{{"c", "", 13, true}, {"d", "1", 14, false}}, 15});
    cr_assert_eq(keysSince(log, testCase->after), testCase->expected, "%s", testCase->name);
}

// Guards against serving changes from before a full read although the changes between them and the full read are not in the log.
Test(ChangeLog, fullReadDiscardsEarlierChanges)
{
    ChangeLog log(1000);
    log.reset(10);
    log.append({{{"a", "1", 11, false}}, 11});
    log.reset(20);
    cr_assert_eq(keysSince(log, 11), "lost");
    cr_assert_eq(keysSince(log, 20), "");
}

// Guards against large configurations in quick succession that exhaust the memory of a host, and against one that is never served
// because it alone exceeds the bound.
Test(ChangeLog, memoryIsBounded)
{
    ChangeLog log(1000000);
    log.reset(0);
    for (FeedVersion version = 1; version <= 1000; ++version) {
        log.append({{{fmt::format("c{} ", version), std::string(300000, 'x'), version, false}}, version});
    }
    cr_assert_eq(keysSince(log, 990), "lost");
    cr_assert_eq(keysSince(log, 997), "c998 c999 c1000 ");
    log.append({{{"config", std::string(3000000, 'x'), 1001, false}}, 1001});
    cr_assert_eq(keysSince(log, 1000), "config");
    cr_assert_eq(keysSince(log, 999), "lost");
}

// Guards against hosts that apply a configuration seconds late after a partition, because their publisher sends them every version of it over a
// narrow link. Replaced versions must not push other changes out of the log either.
Test(ChangeLog, replacedChangesAreDiscarded)
{
    ChangeLog log(1000000);
    log.reset(0);
    log.append({{{"zone", "1", 1, false}}, 1});
    for (FeedVersion version = 2; version <= 1000; ++version) {
        log.append({{{"config", std::string(300000, 'x'), version, false}}, version});
    }
    log.append({{{"zone", "", 1001, true}}, 1001});
    cr_assert_eq(keysSince(log, 0), "configzone");
    cr_assert_eq(keysSince(log, 999), "configzone");
    cr_assert_eq(keysSince(log, 1000), "zone");
    cr_assert_eq(std::get<FeedRows>(log.since(0)).rows.front().version, 1000);
    cr_assert(std::get<FeedRows>(log.since(0)).rows.back().removed);
}
