#include <LibRouting/upstreamcatalog.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct Report
{
    std::int64_t startedAt;
    std::int64_t number;
    bool leaving;
    /// Removes the row instead.
    bool removed;
    RegistrationChange expected;
};

struct SequenceCase
{
    char name[48];
    std::int64_t count;
    Report reports[4];
    /// The state after all reports.
    bool isThere;
    bool isLeaving;
};

UpstreamRegistration registration(const Report &report)
{
    UpstreamRegistration result;
    result.id = UpstreamId("u1");
    result.slots = SlotCount(4);
    result.startedAt = report.startedAt;
    result.reportNumber = report.number;
    result.leaving = report.leaving;
    return result;
}

} // namespace

// Guards against an upstream that gets work again because an old report arrives late, and against a restarted one that is
// taken for the process before it.
ParameterizedTestParameters(UpstreamCatalog, reportsInAnyOrder)
{
    using Change = RegistrationChange;
    static SequenceCase cases[] = {
        {"first report", 1, {{10, 1, false, false, Change::Started}}, true, false},
        {"newer report", 2, {{10, 1, false, false, Change::Started}, {10, 2, true, false, Change::Updated}}, true, true},
        {"the same report twice", 2, {{10, 1, false, false, Change::Started}, {10, 1, false, false, Change::None}}, true, false},
        {"old report after leaving", 2, {{10, 5, true, false, Change::Started}, {10, 4, false, false, Change::None}}, true, true},
        {"a leaving process stays so", 2, {{10, 5, true, false, Change::Started}, {10, 6, false, false, Change::Updated}}, true, true},
        {"restart under the same id", 2, {{10, 5, true, false, Change::Started}, {20, 1, false, false, Change::Started}}, true, false},
        {"report of the process before", 2, {{20, 1, false, false, Change::Started}, {10, 9, false, false, Change::None}}, true, false},
        {"old report after removal",
            3,
            {{10, 5, false, false, Change::Started}, {0, 0, false, true, Change::Gone}, {10, 5, false, false, Change::None}},
            false,
            false},
        {"newer report after removal",
            3,
            {{10, 5, false, false, Change::Started}, {0, 0, false, true, Change::Gone}, {10, 6, false, false, Change::Started}},
            true,
            false},
        {"leaving survives removal",
            3,
            {{10, 5, true, false, Change::Started}, {0, 0, false, true, Change::Gone}, {10, 6, false, false, Change::Started}},
            true,
            true},
        {"removal of an unknown row", 1, {{0, 0, false, true, Change::None}}, false, false},
    };
    return cr_make_param_array(SequenceCase, cases, std::size(cases));
}

ParameterizedTest(SequenceCase *testCase, UpstreamCatalog, reportsInAnyOrder)
{
    UpstreamCatalog catalog;
    for (std::int64_t i = 0; i < testCase->count; ++i) {
        const Report &report = testCase->reports[i];
        const RegistrationChange change = report.removed ? catalog.remove(UpstreamId("u1")) : catalog.apply(registration(report));
        cr_assert_eq(static_cast<int>(change), static_cast<int>(report.expected), "%s: report %ld", testCase->name, static_cast<long>(i));
    }
    const auto found = catalog.all().find(UpstreamId("u1"));
    cr_assert_eq(found != catalog.all().end(), testCase->isThere, "%s", testCase->name);
    if (testCase->isThere) {
        cr_assert_eq(found->second.leaving, testCase->isLeaving, "%s", testCase->name);
    }
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
