#include <LibReplication/storeera.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct HeaderCase
{
    char value[32];
    /// -1 for a value that can't be read.
    std::int64_t era;
};

} // namespace

// Guards against a damaged header that is taken for an era, above all for a high one that all hosts would wait for.
ParameterizedTestParameters(StoreEra, header)
{
    static HeaderCase cases[] = {
        {"0", 0},
        {"7", 7},
        {"007", 7},
        {"4294967296", 4294967296},
        {"", -1},
        {" 7", -1},
        {"7 ", -1},
        {"+7", -1},
        {"-1", -1},
        {"1.5", -1},
        {"0x7", -1},
        {"7, 8", -1},
        {"seven", -1},
        {"99999999999999999999999", -1},
    };
    return cr_make_param_array(HeaderCase, cases, std::size(cases));
}

ParameterizedTest(HeaderCase *testCase, StoreEra, header)
{
    const auto era = parseStoreEra(testCase->value);
    cr_assert_eq(era ? static_cast<std::int64_t>(era->value()) : -1, testCase->era, "\"%s\"", testCase->value);
}

namespace
{

struct ChangesCase
{
    char name[64];
    std::uint64_t copy;
    std::uint64_t request;
    std::uint64_t known;
    std::uint64_t answer;
    AnswerUse expected;
};

} // namespace

// Guards against changes of one era that are applied to a copy of another one, and against a new era that is not noticed.
ParameterizedTestParameters(StoreEra, changes)
{
    static ChangesCase cases[] = {
        {"a store without eras", 0, 0, 0, 0, AnswerUse::Apply},
        {"the same era", 3, 3, 3, 3, AnswerUse::Apply},
        {"a higher era", 3, 3, 3, 4, AnswerUse::ReadInFull},
        {"a higher era that another table has shown", 3, 3, 4, 4, AnswerUse::ReadInFull},
        {"two eras at once", 3, 3, 3, 5, AnswerUse::ReadInFull},
        {"a lower era", 3, 3, 3, 2, AnswerUse::Ignore},
        {"the era of the copy, while a higher one is known", 3, 3, 4, 3, AnswerUse::Ignore},
        {"a header that disappears", 3, 3, 3, 0, AnswerUse::Ignore},
        {"the copy was replaced during the call", 4, 3, 4, 4, AnswerUse::Ignore},
        {"the copy was replaced during the call, and the era rose again", 4, 3, 4, 5, AnswerUse::ReadInFull},
    };
    return cr_make_param_array(ChangesCase, cases, std::size(cases));
}

ParameterizedTest(ChangesCase *testCase, StoreEra, changes)
{
    const AnswerUse use = useOfChanges({StoreEra(testCase->copy), StoreEra(testCase->request), StoreEra(testCase->known)}, StoreEra(testCase->answer));
    cr_assert_eq(static_cast<int>(use), static_cast<int>(testCase->expected), "%s", testCase->name);
}

namespace
{

struct TableCase
{
    char name[64];
    std::uint64_t copyEra;
    FeedVersion copyVersion;
    std::uint64_t known;
    std::uint64_t answerEra;
    FeedVersion answerVersion;
    bool isApplied;
};

} // namespace

// Guards against a full read from an old state of the store that replaces a newer copy, and against one of a new era that is refused because versions
// went back.
ParameterizedTestParameters(StoreEra, tables)
{
    static TableCase cases[] = {
        {"the first read", 0, 0, 0, 0, 10, true},
        {"the first read in a later era", 0, 0, 0, 4, 10, true},
        {"a newer version", 0, 10, 0, 0, 11, true},
        {"the same version", 0, 10, 0, 0, 10, true},
        {"an older version", 0, 10, 0, 0, 9, false},
        {"a higher era with a lower version", 1, 10, 1, 2, 5, true},
        {"a higher era with a higher version", 1, 10, 2, 2, 15, true},
        {"a lower era with a higher version", 1, 10, 1, 0, 15, false},
        {"the era of the copy, while a higher one is known", 1, 10, 2, 1, 15, false},
    };
    return cr_make_param_array(TableCase, cases, std::size(cases));
}

ParameterizedTest(TableCase *testCase, StoreEra, tables)
{
    const AnswerUse use =
        useOfTable({StoreEra(testCase->copyEra), testCase->copyVersion}, StoreEra(testCase->known), {StoreEra(testCase->answerEra), testCase->answerVersion});
    cr_assert_eq(use == AnswerUse::Apply, testCase->isApplied, "%s", testCase->name);
    cr_assert(use != AnswerUse::ReadInFull, "%s", testCase->name);
}

namespace
{

struct RequestCase
{
    char name[64];
    std::uint64_t copy;
    std::uint64_t requestEra;
    FeedVersion after;
    bool isServed;
};

} // namespace

// Guards against a publisher that answers a version of another era, so that the subscriber misses changes, and against starting hosts that all read the
// store since they don't know its era.
ParameterizedTestParameters(StoreEra, requests)
{
    static RequestCase cases[] = {
        {"a store without eras", 0, 0, 10, true},
        {"the same era", 2, 2, 10, true},
        {"a subscriber that has not seen the new era", 2, 1, 10, false},
        {"a publisher that has not seen the new era", 1, 2, 10, false},
        {"a starting host", 2, 0, 0, true},
        {"a host that knows the era and has no copy of it", 2, 2, 0, true},
        {"no copy, and a publisher that has not seen the era", 1, 2, 0, false},
    };
    return cr_make_param_array(RequestCase, cases, std::size(cases));
}

ParameterizedTest(RequestCase *testCase, StoreEra, requests)
{
    const RequestUse use = useOfRequest(StoreEra(testCase->copy), {StoreEra(testCase->requestEra), testCase->after});
    cr_assert_eq(use == RequestUse::Serve, testCase->isServed, "%s", testCase->name);
}
