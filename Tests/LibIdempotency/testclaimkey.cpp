#include <LibIdempotency/claimkey.h>
#include <LibIdempotency/claimrow.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

constexpr std::int64_t s_now = 1800000000;

struct KeyCase
{
    char key[32];
    KeyAge age;
    bool mayDelete;
};

} // namespace

// Guards against a key that runs again after its claim was deleted, and against keys without a usable time.
ParameterizedTestParameters(ClaimKey, age)
{
    static KeyCase cases[] = {
        {"1800000000-order", KeyAge::Current, false},
        {"1799913601-order", KeyAge::Current, false},
        {"1799913600-order", KeyAge::Expired, false},
        {"1799913001-order", KeyAge::Expired, false},
        {"1799913000-order", KeyAge::Expired, true},
        {"1800000600-order", KeyAge::Current, false},
        {"1800000601-order", KeyAge::Invalid, false},
        {"1800000000-", KeyAge::Invalid, false},
        {"180000000x-order", KeyAge::Invalid, false},
        {"-800000000-order", KeyAge::Invalid, false},
        {"order", KeyAge::Invalid, false},
        {"", KeyAge::Invalid, false},
    };
    return cr_make_param_array(KeyCase, cases, std::size(cases));
}

ParameterizedTest(KeyCase *testCase, ClaimKey, age)
{
    const WallTime now{std::chrono::seconds(s_now)};
    const RequestKey key{std::string(testCase->key)};
    cr_assert(keyAge(key, now) == testCase->age, "%s", testCase->key);
    cr_assert_eq(mayDeleteClaim(key, now), testCase->mayDelete, "%s", testCase->key);
}

// Guards against responses that change on their way through the row, for example bodies that are not UTF-8.
Test(ClaimRow, responseRoundTrip)
{
    const std::string body("\x00\xff{\"a\":1}", 9);
    const ClaimRow row{"host/1/2", WallTime(std::chrono::seconds(s_now)), StoredResponse{201, "text/plain", body}, false};
    const ClaimResult result = interpretClaim(toJson(row), "other", WallTime(std::chrono::seconds(s_now)));
    const auto *answered = std::get_if<ClaimAnswered>(&result);
    cr_assert_not_null(answered);
    cr_assert_eq(answered->response.status, 201);
    cr_assert(answered->response.body == body);
}

// Guards against a damaged row that lets a request run a second time.
Test(ClaimRow, damagedRowBlocksTheKey)
{
    for (const char *text : {"{}", "[]", "7", R"({"claim":1,"deadlineMs":2})", R"({"claim":"a","deadlineMs":2,"response":{"status":200,"bodyHex":"x"}})"}) {
        const ClaimResult result = interpretClaim(nlohmann::json::parse(text), "a", WallTime{});
        cr_assert(std::holds_alternative<ClaimOutcomeUnknown>(result), "%s", text);
    }
}
