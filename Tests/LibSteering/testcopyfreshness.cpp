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
    bool isStrict;
    bool isProven;
    std::chrono::milliseconds age;
    bool mayUse;
};

} // namespace

// Guards against a key that is used later than its revocation allows, and against requests that are rejected although the policy isn't strict.
ParameterizedTestParameters(CopyFreshness, ages)
{
    static AgeCase cases[] = {
        {false, false, 0ms, true},
        {false, true, 1h, true},
        {true, false, 0ms, false},
        {true, true, 0ms, true},
        {true, true, 4500ms, true},
        {true, true, 4501ms, false},
        {true, true, 1h, false},
    };
    return cr_make_param_array(AgeCase, cases, std::size(cases));
}

ParameterizedTest(AgeCase *testCase, CopyFreshness, ages)
{
    const RevocationPolicy policy{testCase->isStrict, 5000ms};
    const BootTime provenAt = testCase->isProven ? s_start : BootTime{};
    cr_assert_eq(mayUseKeys(policy, provenAt, s_start + testCase->age), testCase->mayUse);
}
