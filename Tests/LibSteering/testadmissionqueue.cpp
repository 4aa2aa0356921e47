#include <LibSteering/admissionqueue.h>
#include <LibSteering/servicetimeestimate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <map>
#include <pcg_random.hpp>
#include <string>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};
constexpr unsigned s_seeds = 200;

QueuedRequest request(std::uint64_t ticket, const std::string &tenant, bool mayWait, BootTime deadline, std::int32_t weight = 100)
{
    return QueuedRequest{ticket, TenantId(tenant), weight, mayWait, deadline};
}

} // namespace

// Guards against requests that are queued although they would complete too late, and against requests that are dispatched too late.
Test(AdmissionQueue, rejectsRequestsThatCannotMeetTheirDeadline)
{
    AdmissionQueue queue(4);
    queue.setServiceTime(100ms);
    cr_assert(queue.push(request(1, "a", false, s_start + 99ms), s_start).outcome == PushOutcome::DeadlineTooClose);
    cr_assert(queue.push(request(2, "a", false, s_start + 100ms), s_start).outcome == PushOutcome::Queued);
    cr_assert(queue.push(request(3, "a", false, s_start + 500ms), s_start).outcome == PushOutcome::Queued);
    cr_assert_eq(queue.pop(s_start + 1ms)->ticket, 3);
    const auto expired = queue.expire(s_start + 1ms);
    cr_assert_eq(expired.size(), 1);
    cr_assert_eq(expired[0].ticket, 2);
    cr_assert_eq(queue.size(), 0);
}

// Guards against an order other than earliest deadline first within a tenant, also after a request was requeued or cancelled.
Test(AdmissionQueue, earliestDeadlineFirstWithinTenant)
{
    AdmissionQueue queue(8);
    for (const int deadline : {30, 10, 20, 40}) {
        queue.push(request(static_cast<std::uint64_t>(deadline), "a", true, s_start + std::chrono::seconds(deadline)), s_start);
    }
    cr_assert(queue.cancel(request(20, "a", true, s_start + 20s)));
    cr_assert_not(queue.cancel(request(20, "a", true, s_start + 20s)));
    auto first = queue.pop(s_start);
    cr_assert_eq(first->ticket, 10);
    queue.requeue(*first);
    for (const std::uint64_t expected : {10, 30, 40}) {
        cr_assert_eq(queue.pop(s_start)->ticket, expected);
    }
}

// Guards against tenants whose dispatches are not in proportion to their weights.
struct WeightCase
{
    std::int32_t weightOfA;
    std::int32_t weightOfB;
    int servedOfA;
};

ParameterizedTestParameters(AdmissionQueue, tenantsShareByWeight)
{
    static WeightCase cases[] = {{100, 100, 30}, {200, 100, 40}, {50, 100, 20}, {7, 14, 20}, {300, 100, 45}};
    return cr_make_param_array(WeightCase, cases, std::size(cases));
}

ParameterizedTest(WeightCase *weights, AdmissionQueue, tenantsShareByWeight)
{
    AdmissionQueue queue(200);
    for (std::uint64_t i = 0; i < 100; ++i) {
        queue.push(request(i, "a", false, s_start + 100s, weights->weightOfA), s_start);
        queue.push(request(i + 1000, "b", false, s_start + 100s, weights->weightOfB), s_start);
    }
    int servedOfA = 0;
    for (int i = 0; i < 60; ++i) {
        servedOfA += queue.pop(s_start)->ticket < 1000 ? 1 : 0;
    }
    cr_assert_leq(std::abs(servedOfA - weights->servedOfA), 1, "served %d, expected %d", servedOfA, weights->servedOfA);
}

// Guards against requests that may wait starving below a stream of requests that may not, and against a tenant that is passed over.
Test(AdmissionQueue, neitherLevelNorTenantStarves)
{
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        AdmissionQueue queue(64);
        int sinceLower = 0;
        std::map<TenantId, int> sinceTenant;
        std::map<TenantId, int> waiting;
        for (std::uint64_t event = 0; event < 2000; ++event) {
            if (generator(2) == 0) {
                const std::string tenant(1, static_cast<char>('a' + generator(4)));
                const auto result = queue.push(request(event, tenant, generator(4) == 0, s_start + 1h), s_start);
                waiting[TenantId(tenant)] += result.outcome == PushOutcome::Queued ? 1 : 0;
                if (result.evicted) {
                    --waiting[result.evicted->tenant];
                }
                continue;
            }
            // Keeps requests that may not wait in the queue at all times.
            queue.push(request(event + 100000, "z", false, s_start + 2h), s_start);
            const std::size_t before = queue.size();
            const auto popped = queue.pop(s_start);
            cr_assert(popped.has_value() && queue.size() == before - 1);
            --waiting[popped->tenant];
            sinceLower = popped->mayWait ? 0 : sinceLower + 1;
            // Each of five tenants on two levels gets a turn; the lower level is served each 16th time.
            for (auto &[tenant, count] : waiting) {
                sinceTenant[tenant] = tenant == popped->tenant || count <= 0 ? 0 : sinceTenant[tenant] + 1;
                cr_assert_leq(sinceTenant[tenant], 16 * 5 * 2, "seed %u: tenant passed over", seed);
            }
            cr_assert_leq(queue.size(), 64);
        }
        // One in 16 dispatches goes to the remaining requests of the lower level.
        for (std::uint64_t i = 0; i < 64; ++i) {
            queue.push(request(i + 200000, "z", false, s_start + 2h), s_start);
        }
        queue.push(request(300000, "y", true, s_start + 1h), s_start);
        int passed = 0;
        while (!queue.pop(s_start)->mayWait) {
            ++passed;
        }
        cr_assert_leq(passed, 15, "seed %u: %d dispatches without the lower level", seed, passed);
    }
}

// Guards against a surge of one tenant that fills the queue or uses up the dispatches of other tenants, on either level.
Test(AdmissionQueue, surgeLeavesOtherTenantsTheirShare)
{
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        AdmissionQueue queue(40);
        BootTime now = s_start;
        std::uint64_t ticket = 0;
        for (int step = 0; step < 500; ++step) {
            now += 10ms;
            for (std::uint32_t i = 0; i < 5 + generator(20); ++i) {
                const auto result = queue.push(request(++ticket, "surge", generator(2) == 0, now + 1h), now);
                cr_assert(!result.evicted || result.evicted->tenant == TenantId("surge"), "seed %u step %d", seed, step);
            }
            // Three tenants request half of their quarter of the four dispatches per step.
            for (const char *tenant : {"a", "b", "c"}) {
                if (generator(2) == 0) {
                    // The request is due within two steps: it expires if the surge delays it.
                    const auto result = queue.push(request(++ticket, tenant, false, now + 25ms), now);
                    cr_assert(result.outcome == PushOutcome::Queued, "seed %u step %d: rejected", seed, step);
                    cr_assert(!result.evicted || result.evicted->tenant == TenantId("surge"), "seed %u step %d: evicted", seed, step);
                }
            }
            for (int dispatch = 0; dispatch < 4; ++dispatch) {
                queue.pop(now);
            }
            for (const auto &expired : queue.expire(now)) {
                cr_assert(expired.tenant == TenantId("surge"), "seed %u step %d: expired", seed, step);
            }
        }
    }
}

// Guards against slots that are wasted on requests dispatched too late to complete in time, when demand is three times the capacity.
struct OverloadCase
{
    char name[24];
    /// Time from dispatch to response: a fixed part, and a random part of up to spread.
    std::chrono::microseconds fixed;
    std::chrono::microseconds spread;
    /// One in this many requests takes ten times as long; 0 for none.
    std::uint32_t slowOneIn;
    /// Upstreams take this many times as long in the second half.
    int slowdown;
};

ParameterizedTestParameters(AdmissionQueue, dispatchedRequestsEndInTime)
{
    static OverloadCase cases[] = {
        {"even", 20ms, 100us, 0, 1},
        {"small spread", 20ms, 2ms, 0, 1},
        {"large spread", 20ms, 20ms, 0, 1},
        {"busy host", 22ms, 60ms, 0, 1},
        {"slow ones", 20ms, 2ms, 50, 1},
        {"upstreams slow down", 20ms, 2ms, 0, 3},
    };
    return cr_make_param_array(OverloadCase, cases, std::size(cases));
}

ParameterizedTest(OverloadCase *load, AdmissionQueue, dispatchedRequestsEndInTime)
{
    constexpr std::size_t slots = 6;
    constexpr auto deadline = 800ms;
    constexpr int minimumTenthsInTime = 9;
    constexpr std::uint64_t requests = 6000;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        pcg32 generator(seed);
        AdmissionQueue queue(512);
        ServiceTimeEstimate estimate;
        const auto mean = load->fixed + load->spread / 2;
        const auto gap = mean / static_cast<int>(slots) / 3;
        std::multimap<BootTime, std::pair<BootTime, BootTime>> running;
        int dispatched = 0;
        int inTime = 0;
        BootTime now = s_start;
        for (std::uint64_t ticket = 1; ticket <= requests; ++ticket) {
            now += gap;
            while (!running.empty() && running.begin()->first <= now) {
                const auto [startedAt, limit] = running.begin()->second;
                const BootTime endedAt = running.begin()->first;
                running.erase(running.begin());
                const bool isInTime = endedAt <= limit;
                inTime += isInTime ? 1 : 0;
                if (isInTime) {
                    estimate.record(endedAt - startedAt);
                } else {
                    estimate.recordTimeout(limit - startedAt);
                }
                queue.setServiceTime(estimate.likelyMaximum());
            }
            queue.push(request(ticket, "a", false, now + deadline), now);
            queue.expire(now);
            while (running.size() < slots) {
                const auto next = queue.pop(now);
                if (!next) {
                    break;
                }
                ++dispatched;
                auto time = load->fixed + std::chrono::microseconds(generator(static_cast<std::uint32_t>(load->spread.count()) + 1));
                time *= load->slowOneIn > 0 && generator(load->slowOneIn) == 0 ? 10 : 1;
                time *= ticket > requests / 2 ? load->slowdown : 1;
                running.emplace(now + time, std::pair(now, next->deadline));
            }
        }
        cr_assert_geq(
            inTime * 10, dispatched * minimumTenthsInTime, "%s, seed %u: %d of %d dispatched requests ended in time", load->name, seed, inTime, dispatched);
    }
}
