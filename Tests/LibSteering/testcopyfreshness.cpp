#include <LibSteering/copyfreshness.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

struct AgeCase
{
    std::chrono::milliseconds age;
    bool isStrict;
    bool isProven;
    bool mayUse;
};

} // namespace

// Guards against a key that is used later than its revocation allows, and against requests that are rejected although the policy isn't strict.
ParameterizedTestParameters(CopyFreshness, ages)
{
    static AgeCase cases[] = {
        {0ms, false, false, true},
        {1h, false, true, true},
        {0ms, true, false, false},
        {0ms, true, true, true},
        {4500ms, true, true, true},
        {4501ms, true, true, false},
        {1h, true, true, false},
    };
    return cr_make_param_array(AgeCase, cases, std::size(cases));
}

ParameterizedTest(AgeCase *testCase, CopyFreshness, ages)
{
    const RevocationPolicy policy{testCase->isStrict, 5000ms};
    const BootTime provenAt = testCase->isProven ? s_start : BootTime{};
    cr_assert_eq(mayUseKeys(policy, provenAt, s_start + testCase->age), testCase->mayUse);
}
