#include <LibRouting/upstreamcatalog.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct Report
{
    /// Version of the row.
    std::uint64_t version;
    std::int64_t startedAt;
    std::int64_t number;
    bool leaving;
    /// Removes the row instead.
    bool removed;
    RegistrationChange expected;
    char service[8] = "s";
};

struct SequenceCase
{
    char name[64];
    std::int64_t count;
    Report reports[6];
    /// The state after all reports.
    bool isThere;
    bool isLeaving;
};

UpstreamRegistration registration(const Report &report)
{
    UpstreamRegistration result;
    result.id = UpstreamId("u1");
    result.service = ServiceId(report.service);
    result.slots = SlotCount(4);
    result.startedAt = report.startedAt;
    result.reportNumber = report.number;
    result.leaving = report.leaving;
    result.rowVersion = RowVersion(report.version);
    return result;
}

void applyAll(const SequenceCase &testCase)
{
    UpstreamCatalog catalog;
    for (std::int64_t i = 0; i < testCase.count; ++i) {
        const Report &report = testCase.reports[i];
        const RegistrationChange change = report.removed ? catalog.remove(UpstreamId("u1"), RowVersion(report.version)) : catalog.apply(registration(report));
        cr_expect_eq(static_cast<int>(change), static_cast<int>(report.expected), "%s: report %ld", testCase.name, static_cast<long>(i));
    }
    const auto found = catalog.all().find(UpstreamId("u1"));
    cr_assert_eq(found != catalog.all().end(), testCase.isThere, "%s", testCase.name);
    if (testCase.isThere) {
        cr_assert_eq(found->second.leaving, testCase.isLeaving, "%s", testCase.name);
    }
}

} // namespace

// Guards against an upstream that gets work again because an old report arrives late, and against a restarted one that is
// taken for the process before it.
ParameterizedTestParameters(UpstreamCatalog, reportsInAnyOrder)
{
    using Change = RegistrationChange;
    static SequenceCase cases[] = {
        {"first report", 1, {{1, 10, 1, false, false, Change::Started}}, true, false},
        {"newer report", 2, {{1, 10, 1, false, false, Change::Started}, {2, 10, 2, true, false, Change::Updated}}, true, true},
        {"the same report twice", 2, {{1, 10, 1, false, false, Change::Started}, {1, 10, 1, false, false, Change::None}}, true, false},
        {"old report after leaving", 2, {{2, 10, 5, true, false, Change::Started}, {1, 10, 4, false, false, Change::None}}, true, true},
        {"a leaving process stays so", 2, {{1, 10, 5, true, false, Change::Started}, {2, 10, 6, false, false, Change::Updated}}, true, true},
        {"restart under the same id", 2, {{1, 10, 5, true, false, Change::Started}, {2, 20, 1, false, false, Change::Started}}, true, false},
        {"report of the process before", 2, {{2, 20, 1, false, false, Change::Started}, {1, 10, 9, false, false, Change::None}}, true, false},
        {"old report after removal",
            3,
            {{2, 10, 5, false, false, Change::Started}, {3, 0, 0, false, true, Change::Gone}, {2, 10, 5, false, false, Change::None}},
            false,
            false},
        {"newer report after removal",
            3,
            {{1, 10, 5, false, false, Change::Started}, {2, 0, 0, false, true, Change::Gone}, {3, 10, 6, false, false, Change::Started}},
            true,
            false},
        {"leaving survives removal",
            3,
            {{1, 10, 5, true, false, Change::Started}, {2, 0, 0, false, true, Change::Gone}, {3, 10, 6, false, false, Change::Started}},
            true,
            true},
        {"removal of an unknown row", 1, {{1, 0, 0, false, true, Change::None}}, false, false},
    };
    return cr_make_param_array(SequenceCase, cases, std::size(cases));
}

ParameterizedTest(SequenceCase *testCase, UpstreamCatalog, reportsInAnyOrder)
{
    applyAll(*testCase);
}

// Guards against an upstream whose reports, also that it is leaving, are taken for old ones: its process has an earlier start than the
// one before it, because the clock of its machine was set back; and against an old page of the table that undoes a newer one.
ParameterizedTestParameters(UpstreamCatalog, theStoresVersionOrdersReportsWhateverTheClocksSay)
{
    using Change = RegistrationChange;
    static SequenceCase cases[] = {
        {"restart after the clock was set back, then leaving",
            3,
            {{1, 20, 9, false, false, Change::Started}, {2, 10, 1, false, false, Change::Started}, {3, 10, 2, true, false, Change::Updated}},
            true,
            true},
        {"restart of a leaving process after the clock was set back",
            3,
            {{1, 20, 9, true, false, Change::Started}, {2, 10, 1, false, false, Change::Started}, {3, 10, 2, false, false, Change::Updated}},
            true,
            false},
        {"restart after the clock was set back and a removal",
            3,
            {{1, 20, 9, false, false, Change::Started}, {2, 0, 0, false, true, Change::Gone}, {3, 10, 1, true, false, Change::Started}},
            true,
            true},
        {"old page with a later start", 2, {{2, 10, 1, true, false, Change::Started}, {1, 20, 9, false, false, Change::None}}, true, true},
        {"old page with a larger report number", 2, {{2, 10, 1, true, false, Change::Started}, {1, 10, 9, false, false, Change::None}}, true, true},
        {"old page in which the row is removed", 2, {{2, 10, 1, false, false, Change::Started}, {1, 0, 0, false, true, Change::None}}, true, false},
        {"old page with a larger report number after a removal",
            3,
            {{1, 10, 1, false, false, Change::Started}, {3, 0, 0, false, true, Change::Gone}, {2, 10, 9, false, false, Change::None}},
            false,
            false},
        {"old page after a removal of an unknown row", 2, {{2, 0, 0, false, true, Change::None}, {1, 10, 1, false, false, Change::None}}, false, false},
        {"a leaving process after another one",
            3,
            {{1, 20, 5, true, false, Change::Started}, {2, 10, 1, false, false, Change::Started}, {3, 20, 6, false, false, Change::Started}},
            true,
            true},
    };
    return cr_make_param_array(SequenceCase, cases, std::size(cases));
}

ParameterizedTest(SequenceCase *testCase, UpstreamCatalog, theStoresVersionOrdersReportsWhateverTheClocksSay)
{
    applyAll(*testCase);
}

// Guards against an upstream that stays out of use, or in use although it is leaving, because of a readable row of another writer: its
// report number is larger than all that the upstream will reach, or it names another service, or no start.
ParameterizedTestParameters(UpstreamCatalog, aSpoiltRowHoldsUntilTheNextGoodOne)
{
    using Change = RegistrationChange;
    constexpr std::int64_t huge = 999'999'999'999;
    static SequenceCase cases[] = {
        {"large report number of another service",
            3,
            {{1, 10, 5, false, false, Change::Started}, {2, 10, huge, false, false, Change::Started, "x"}, {3, 10, 6, false, false, Change::Started}},
            true,
            false},
        {"large report number of another service, then removed",
            4,
            {{1, 10, 5, false, false, Change::Started},
                {2, 10, huge, false, false, Change::Started, "x"},
                {3, 0, 0, false, true, Change::Gone},
                {4, 10, 6, false, false, Change::Started}},
            true,
            false},
        {"large report number of its own service, then leaving",
            5,
            {{1, 10, 5, false, false, Change::Started},
                {2, 10, huge, false, false, Change::Updated},
                {3, 10, 6, false, false, Change::None},
                {4, 10, 7, true, false, Change::Updated},
                {5, 10, 8, false, false, Change::Updated}},
            true,
            true},
        {"large report number of its own service, then removed",
            6,
            {{1, 10, 5, false, false, Change::Started},
                {2, 10, huge, false, false, Change::Updated},
                {3, 0, 0, false, true, Change::Gone},
                {4, 10, 6, false, false, Change::None},
                {5, 10, 7, false, false, Change::None},
                {6, 10, 8, false, false, Change::Started}},
            true,
            false},
        {"leaving, of another service",
            3,
            {{1, 10, 5, false, false, Change::Started}, {2, 10, 6, true, false, Change::Started, "x"}, {3, 10, 6, false, false, Change::Started}},
            true,
            false},
        {"ready, of another service, after leaving",
            3,
            {{1, 10, 5, true, false, Change::Started}, {2, 10, 6, false, false, Change::Started, "x"}, {3, 10, 6, false, false, Change::Started}},
            true,
            true},
        {"no start", 2, {{1, 10, 5, false, false, Change::Started}, {2, 0, 6, false, false, Change::Gone}}, false, false},
        {"no start, then a good one",
            3,
            {{1, 10, 5, true, false, Change::Started}, {2, 0, 6, false, false, Change::Gone}, {3, 10, 6, false, false, Change::Started}},
            true,
            true},
        {"no start at all", 2, {{1, 0, 5, false, false, Change::Started}, {2, 0, 6, true, false, Change::Updated}}, true, true},
        {"a start after none", 2, {{1, 0, 5, true, false, Change::Started}, {2, 10, 6, false, false, Change::Started}}, true, false},
    };
    return cr_make_param_array(SequenceCase, cases, std::size(cases));
}

ParameterizedTest(SequenceCase *testCase, UpstreamCatalog, aSpoiltRowHoldsUntilTheNextGoodOne)
{
    applyAll(*testCase);
}

// Guards against an upstream that comes back into use, or turns into the process before it, because the store performs an old write of
// its seconds after newer ones, so that the old report has the newer version.
ParameterizedTestParameters(UpstreamCatalog, writesThatTheStorePerformsLateChangeNothing)
{
    using Change = RegistrationChange;
    static SequenceCase cases[] = {
        {"of the same process", 2, {{1, 10, 5, false, false, Change::Started}, {2, 10, 4, false, false, Change::None}}, true, false},
        {"of a process that left without saying so",
            3,
            {{1, 10, 5, false, false, Change::Started}, {2, 0, 0, false, true, Change::Gone}, {3, 10, 5, false, false, Change::None}},
            false,
            false},
        {"of the process before",
            4,
            {{1, 10, 5, false, false, Change::Started},
                {2, 20, 1, true, false, Change::Started},
                {3, 10, 6, false, false, Change::None},
                {4, 20, 2, true, false, Change::Updated}},
            true,
            true},
        {"of the process before, after a removal",
            4,
            {{1, 10, 5, false, false, Change::Started},
                {2, 20, 1, true, false, Change::Started},
                {3, 0, 0, false, true, Change::Gone},
                {4, 10, 6, false, false, Change::None}},
            false,
            false},
        {"of the process before with the later clock",
            4,
            {{1, 20, 5, false, false, Change::Started},
                {2, 10, 1, false, false, Change::Started},
                {3, 20, 4, false, false, Change::None},
                {4, 10, 2, true, false, Change::Updated}},
            true,
            true},
        {"of the process before, which was not seen",
            3,
            {{1, 20, 5, false, false, Change::Started}, {2, 10, 9, false, false, Change::Started}, {3, 20, 6, true, false, Change::Started}},
            true,
            true},
        {"twice, with newer reports between them",
            5,
            {{1, 10, 5, false, false, Change::Started},
                {2, 10, 3, false, false, Change::None},
                {3, 10, 4, false, false, Change::None},
                {4, 10, 6, false, false, Change::Updated},
                {5, 10, 5, false, false, Change::None}},
            true,
            false},
    };
    return cr_make_param_array(SequenceCase, cases, std::size(cases));
}

ParameterizedTest(SequenceCase *testCase, UpstreamCatalog, writesThatTheStorePerformsLateChangeNothing)
{
    applyAll(*testCase);
}

// Guards against upstreams that stay in use after a full read of the table no longer lists them.
Test(UpstreamCatalog, missingFromNamesThoseThatAreGone)
{
    UpstreamCatalog catalog;
    for (const char *id : {"a", "b", "c"}) {
        UpstreamRegistration one;
        one.id = UpstreamId(id);
        catalog.apply(one);
    }
    const auto missing = catalog.missingFrom({UpstreamId("b"), UpstreamId("x")});
    cr_assert_eq(missing.size(), 2);
    cr_assert_eq(missing[0].value(), "a");
    cr_assert_eq(missing[1].value(), "c");
}

namespace
{

struct EraReport
{
    std::uint64_t era;
    /// "apply", "follow", "remove" or "lost".
    char call[8];
    Report report;
};

struct EraCase
{
    char name[72];
    std::int64_t count;
    EraReport reports[5];
    bool isThere;
    bool isLeaving;
};

} // namespace

// Guards against rows of a later era of the store that count as old ones since versions went back, and against a process that left and gets work again because
// the store came back with one of its earlier rows.
ParameterizedTestParameters(UpstreamCatalog, rowsOfSeveralEras)
{
    using Change = RegistrationChange;
    static EraCase cases[] = {
        {"a lower version of a higher era",
            2,
            {{0, "apply", {50, 10, 1, false, false, Change::Started}}, {1, "apply", {20, 10, 2, true, false, Change::Updated}}},
            true,
            true},
        {"a higher version of a lower era",
            2,
            {{1, "apply", {20, 10, 1, false, false, Change::Started}}, {0, "apply", {50, 10, 2, true, false, Change::None}}},
            true,
            false},
        {"removed in a higher era",
            2,
            {{0, "apply", {50, 10, 1, false, false, Change::Started}}, {1, "remove", {20, 0, 0, false, true, Change::Gone}}},
            false,
            false},
        {"a restored row of a leaving process",
            3,
            {{0, "apply", {40, 10, 1, false, false, Change::Started}},
                {0, "apply", {50, 10, 2, true, false, Change::Updated}},
                {1, "apply", {40, 10, 1, false, false, Change::None}}},
            true,
            true},
        {"a restored row of a leaving process that is followed",
            3,
            {{0, "apply", {50, 10, 2, true, false, Change::Started}},
                {1, "apply", {40, 10, 1, false, false, Change::None}},
                {1, "follow", {40, 10, 1, false, false, Change::Updated}}},
            true,
            true},
        {"a restored row of the process before",
            3,
            {{0, "apply", {40, 10, 1, false, false, Change::Started}},
                {0, "apply", {50, 20, 1, false, false, Change::Started}},
                {1, "follow", {40, 10, 1, false, false, Change::Started}}},
            true,
            false},
        {"a newer row than the one that is followed",
            3,
            {{0, "apply", {50, 10, 2, false, false, Change::Started}},
                {1, "apply", {45, 10, 3, true, false, Change::Updated}},
                {1, "follow", {40, 10, 1, false, false, Change::None}}},
            true,
            true},
        {"a lost row that is written again late with its number",
            3,
            {{0, "apply", {50, 10, 2, false, false, Change::Started}},
                {1, "lost", {40, 0, 0, false, true, Change::Gone}},
                {1, "apply", {45, 10, 2, false, false, Change::Started}}},
            true,
            false},
        {"a lost row of a leaving process that is written again late",
            3,
            {{0, "apply", {50, 10, 2, true, false, Change::Started}},
                {1, "lost", {40, 0, 0, false, true, Change::Gone}},
                {1, "apply", {45, 10, 1, false, false, Change::Started}}},
            true,
            true},
        {"a lost row that was written again",
            3,
            {{0, "apply", {50, 10, 2, false, false, Change::Started}},
                {1, "apply", {45, 10, 3, false, false, Change::Updated}},
                {1, "lost", {40, 0, 0, false, true, Change::None}}},
            true,
            false},
    };
    return cr_make_param_array(EraCase, cases, std::size(cases));
}

ParameterizedTest(EraCase *testCase, UpstreamCatalog, rowsOfSeveralEras)
{
    UpstreamCatalog catalog;
    const UpstreamId id("u1");
    for (std::int64_t i = 0; i < testCase->count; ++i) {
        const EraReport &entry = testCase->reports[i];
        const StoreEra era(entry.era);
        const RowVersion version(entry.report.version);
        UpstreamRegistration row = registration(entry.report);
        row.rowEra = era;
        const std::string call = entry.call;
        const RegistrationChange change = call == "apply" ? catalog.apply(row)
            : call == "follow"                            ? catalog.follow(row)
            : call == "lost"                              ? catalog.removeLost(id, version, era)
                                                          : catalog.remove(id, version, era);
        cr_expect_eq(static_cast<int>(change), static_cast<int>(entry.report.expected), "%s: report %ld", testCase->name, static_cast<long>(i));
    }
    const auto found = catalog.all().find(id);
    cr_assert_eq(found != catalog.all().end(), testCase->isThere, "%s", testCase->name);
    cr_assert(!testCase->isThere || found->second.leaving == testCase->isLeaving, "%s", testCase->name);
}
