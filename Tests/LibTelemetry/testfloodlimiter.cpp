#include <LibTelemetry/floodlimiter.h>

#include <criterion/criterion.h>

using Trefoil::BootTime;
using Trefoil::FloodLimiter;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};

}

// Guards against a flood that fills the log, and against lines that vanish without being counted.
Test(FloodLimiter, floodIsCountedAndSummarised)
{
    FloodLimiter limiter;
    cr_assert(limiter.takeSummaries(s_start).empty());
    int written = 0;
    for (int i = 0; i < 1000; ++i) {
        written += limiter.admit("upstream-error", s_start + std::chrono::microseconds(i)) ? 1 : 0;
    }
    cr_assert_eq(written, 20);
    cr_assert(limiter.admit("lease-expired", s_start));
    cr_assert(limiter.takeSummaries(s_start + std::chrono::milliseconds(999)).empty());
    const auto summaries = limiter.takeSummaries(s_start + std::chrono::milliseconds(2000));
    cr_assert_eq(summaries.size(), 1);
    cr_assert_eq(summaries[0].suppressed, 980);
    cr_assert(summaries[0].event == "upstream-error");
    cr_assert(limiter.admit("upstream-error", s_start + std::chrono::seconds(3)));
}

// Guards against a flood that lasts longer than a second and is never summarised, since its window keeps being renewed.
Test(FloodLimiter, lastingFloodIsSummarisedEachSecond)
{
    FloodLimiter limiter;
    std::uint64_t written = 0;
    std::uint64_t summarised = 0;
    limiter.takeSummaries(s_start - std::chrono::milliseconds(500));
    for (int i = 0; i < 5000; ++i) {
        const auto now = s_start + std::chrono::milliseconds(i);
        for (const auto &summary : limiter.takeSummaries(now)) {
            summarised += summary.suppressed;
        }
        written += limiter.admit("upstream-error", now) ? 1 : 0;
    }
    cr_assert_geq(summarised, 3900);
    cr_assert_leq(written, 100);
}

// Guards against memory that grows with the number of event names.
Test(FloodLimiter, eventNamesAreBounded)
{
    FloodLimiter limiter;
    int written = 0;
    for (int i = 0; i < 1000; ++i) {
        written += limiter.admit("event-" + std::to_string(i), s_start) ? 1 : 0;
    }
    cr_assert_eq(written, 256 + 20);
}
