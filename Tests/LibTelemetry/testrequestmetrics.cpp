#include <LibTelemetry/requestmetrics.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <thread>

using Trefoil::ClassId;
using Trefoil::RequestMetrics;
using Trefoil::RequestOutcome;
using Trefoil::ScrapeWriter;
using Trefoil::SnapshotReaderThread;
using Trefoil::TenantId;

namespace
{

std::string scrape(const RequestMetrics &metrics)
{
    ScrapeWriter writer;
    metrics.writeTo(writer);
    return writer.text();
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + part.size())) {
        ++count;
    }
    return count;
}

struct ScrapeCase
{
    std::int64_t latencyMicroseconds;
    std::uint32_t retries;
    RequestOutcome outcome;
    char reason[20];
    char expected[96];
};

} // namespace

// Guards against samples in the wrong bucket, series or unit.
ParameterizedTestParameters(RequestMetrics, scrapedLines)
{
    static ScrapeCase cases[] = {
        {250, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_bucket{tenant=\"museum\",class=\"browse\",le=\"0.0003\"} 1\n"},
        {250, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_bucket{tenant=\"museum\",class=\"browse\",le=\"0.0002\"} 0\n"},
        {250, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_sum{tenant=\"museum\",class=\"browse\"} 0.00025\n"},
        {90000000, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_bucket{tenant=\"museum\",class=\"browse\",le=\"60\"} 0\n"},
        {90000000, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_bucket{tenant=\"museum\",class=\"browse\",le=\"+Inf\"} 1\n"},
        {-5, 0, RequestOutcome::Answered, "", "trefoil_request_seconds_bucket{tenant=\"museum\",class=\"browse\",le=\"5e-05\"} 1\n"},
        {1, 1, RequestOutcome::Answered, "", "trefoil_retries_bucket{tenant=\"museum\",class=\"browse\",le=\"0\"} 0\n"},
        {1, 1, RequestOutcome::Answered, "", "trefoil_retries_bucket{tenant=\"museum\",class=\"browse\",le=\"1\"} 1\n"},
        {1, 9, RequestOutcome::Answered, "", "trefoil_retries_count{tenant=\"museum\",class=\"browse\"} 1\n"},
        {1, 0, RequestOutcome::NotRun, "queue-full", "trefoil_refusals_total{tenant=\"museum\",class=\"browse\",reason=\"queue-full\"} 1\n"},
        {1, 0, RequestOutcome::NotRun, "made-up", "trefoil_refusals_total{tenant=\"museum\",class=\"browse\",reason=\"other\"} 1\n"},
        {1, 0, RequestOutcome::Unknown, "timeout", "trefoil_requests_total{tenant=\"museum\",class=\"browse\",outcome=\"unknown\"} 1\n"},
    };
    return cr_make_param_array(ScrapeCase, cases, std::size(cases));
}

ParameterizedTest(ScrapeCase *testCase, RequestMetrics, scrapedLines)
{
    const SnapshotReaderThread registration;
    RequestMetrics metrics;
    metrics.declare({TenantId("museum")}, {ClassId("browse")});
    const auto series = metrics.series(TenantId("museum"), ClassId("browse"));
    series->started();
    series->finished({testCase->outcome, testCase->reason, std::chrono::microseconds(testCase->latencyMicroseconds), {}, testCase->retries});
    const std::string text = scrape(metrics);
    cr_assert(text.find(testCase->expected) != std::string::npos, "no line %s in\n%s", testCase->expected, text.c_str());
}

// Guards against memory and scrape text that grow with the names callers send or operators declare.
Test(RequestMetrics, seriesAreBounded)
{
    const SnapshotReaderThread registration;
    RequestMetrics metrics;
    std::vector<TenantId> tenants;
    std::vector<ClassId> classes;
    for (int i = 0; i < 1000; ++i) {
        tenants.emplace_back("tenant-" + std::to_string(i));
        classes.emplace_back("class-" + std::to_string(i));
    }
    metrics.declare(tenants, classes);
    for (int i = 0; i < 1000; ++i) {
        metrics.series(tenants[i], classes[i])->started();
        metrics.series(TenantId("undeclared-" + std::to_string(i)), ClassId("\"\n\\"))->started();
    }
    const std::string text = scrape(metrics);
    cr_assert_leq(countOf(text, "trefoil_in_flight{"), std::size_t(65) * 17);
    cr_assert_eq(countOf(text, "trefoil_in_flight{tenant=\"other\",class=\"other\"}"), 1);
    cr_assert_eq(countOf(text, "undeclared"), 0);
}

// Guards against counts that are lost when the configuration changes, and against series freed while a request holds one.
Test(RequestMetrics, countsSurviveDeclaration)
{
    const SnapshotReaderThread registration;
    RequestMetrics metrics;
    metrics.declare({TenantId("museum"), TenantId("school")}, {ClassId("browse")});
    const auto kept = metrics.series(TenantId("museum"), ClassId("browse"));
    const auto dropped = metrics.series(TenantId("school"), ClassId("browse"));
    kept->started();
    dropped->started();
    metrics.declare({TenantId("museum")}, {ClassId("browse"), ClassId("order")});
    cr_assert_eq(metrics.series(TenantId("museum"), ClassId("browse"))->inFlight(), 1);
    cr_assert_neq(metrics.series(TenantId("school"), ClassId("browse")).get(), dropped.get());
    dropped->finished({});
    cr_assert_eq(dropped->inFlight(), 0);
}

// Guards against samples that are lost when several worker threads record at once while declarations change.
Test(RequestMetrics, concurrentRecording)
{
    constexpr int requests = 20000;
    const SnapshotReaderThread registration;
    RequestMetrics metrics;
    metrics.declare({TenantId("museum")}, {ClassId("browse")});
    std::array<std::thread, 4> threads;
    for (auto &thread : threads) {
        thread = std::thread([&metrics] {
            const SnapshotReaderThread threadRegistration;
            for (int i = 0; i < requests; ++i) {
                const auto series = metrics.series(TenantId("museum"), ClassId("browse"));
                series->started();
                series->finished({RequestOutcome::Answered, {}, std::chrono::microseconds(i), {}, 0});
            }
        });
    }
    for (int i = 0; i < 50; ++i) {
        metrics.declare({TenantId("museum"), TenantId("t" + std::to_string(i))}, {ClassId("browse")});
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const std::string text = scrape(metrics);
    cr_assert(text.find("trefoil_request_seconds_count{tenant=\"museum\",class=\"browse\"} 80000\n") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("trefoil_in_flight{tenant=\"museum\",class=\"browse\"} 0\n") != std::string::npos);
}
