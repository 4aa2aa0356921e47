#include <LibCore/findings.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstring>

namespace
{

struct NearestNameCase
{
    char word[16];
    char expected[16];
};

} // namespace

// Guards against suggestions that are far from what was typed, and against missing near ones.
ParameterizedTestParameters(Findings, nearestName)
{
    static NearestNameCase cases[] = {
        {"pliains", "plains"},
        {"gulf", "gulf"},
        {"glf", "gulf"},
        {"xyz", ""},
        {"", ""},
    };
    return cr_make_param_array(NearestNameCase, cases, std::size(cases));
}

ParameterizedTest(NearestNameCase *testCase, Findings, nearestName)
{
    const std::string nearest = Trefoil::nearestName(testCase->word, {"gulf", "plains", "hill"});
    cr_assert_str_eq(nearest.c_str(), testCase->expected);
}

// Guards against findings that lose their place or hint on the way to the operator.
Test(Findings, textHoldsPlaceMessageAndHint)
{
    const std::string text = Trefoil::toText({{"1:5", "unknown region", "did you mean \"gulf\"?"}, {"/x", "is missing", ""}});
    cr_assert_str_eq(text.c_str(), "1:5: unknown region (did you mean \"gulf\"?)\n/x: is missing\n");
}
