#include <LibStore/requestrate.h>

#include <criterion/criterion.h>

// Guards against a host that sends more than its rate, after an idle time as well as in a long run.
Test(RequestRate, boundsEverySecond)
{
    Trefoil::RequestRate rate(10);
    const Trefoil::BootTime start{std::chrono::seconds(1000)};
    Trefoil::BootTime now = start;
    int inFirstSecond = 0;
    int inTenSeconds = 0;
    while (now < start + std::chrono::seconds(10)) {
        now = rate.reserve(now);
        inFirstSecond += now < start + std::chrono::seconds(1) ? 1 : 0;
        ++inTenSeconds;
    }
    cr_assert_leq(inFirstSecond, 20);
    cr_assert_leq(inTenSeconds, 111);
    cr_assert_geq(inTenSeconds, 100);
}
