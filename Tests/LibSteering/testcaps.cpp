#include <LibSteering/linkbudget.h>
#include <LibSteering/retrybudget.h>
#include <LibSteering/shiftwindow.h>

#include <array>
#include <criterion/criterion.h>
#include <deque>
#include <list>
#include <pcg_random.hpp>
#include <thread>
#include <vector>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};
constexpr unsigned s_seeds = 200;

/// Moves shares of a total between hosts as the grant table does: one share is lowered, then another is raised from the free remainder.
template<typename Quantity, typename Object>
void moveGrant(std::vector<Object> &hosts, std::vector<std::int64_t> &grants, std::int64_t &rest, pcg32 &generator, BootTime now)
{
    const std::size_t host = generator(static_cast<std::uint32_t>(hosts.size()));
    const std::int64_t next = generator(2) == 0 ? grants[host] / (1 + generator(100)) * generator(2) : grants[host] + rest;
    rest += grants[host] - next;
    grants[host] = next;
    hosts[host]->setGranted(Quantity(next), now);
}

} // namespace

// Guards against more moved requests than the cap in any window, summed over all hosts, while grants move between the hosts.
Test(ShiftWindow, capHoldsInEveryWindowOverAllHosts)
{
    constexpr auto interval = 1000ms;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        const std::int64_t cap = 1 + generator(60);
        std::vector<std::unique_ptr<ShiftWindow>> hosts(4);
        for (auto &host : hosts) {
            host = std::make_unique<ShiftWindow>(interval);
        }
        std::vector<std::int64_t> grants(hosts.size());
        std::int64_t rest = cap;
        std::deque<BootTime> acquired;
        std::size_t total = 0;
        BootTime now = s_start;
        for (int event = 0; event < 4000; ++event) {
            now += std::chrono::microseconds(generator(20) == 0 ? generator(400000) : generator(8000));
            if (generator(50) == 0) {
                moveGrant<RequestCount>(hosts, grants, rest, generator, now);
            }
            if (!hosts[generator(4)]->tryAcquire(now)) {
                continue;
            }
            ++total;
            acquired.push_back(now);
            while (acquired.front() <= now - interval) {
                acquired.pop_front();
            }
            cr_assert_leq(static_cast<std::int64_t>(acquired.size()), cap, "seed %u event %d", seed, event);
        }
        cr_assert_gt(total, static_cast<std::size_t>(cap), "seed %u: the cap was hardly used", seed);
    }
}

// Guards against a new grant that is used while the previous holder's use still counts, and against a raise that never becomes usable.
Test(ShiftWindow, newGrantWaitsOneInterval)
{
    ShiftWindow window(1s);
    window.setGranted(RequestCount(2), s_start);
    cr_assert_not(window.tryAcquire(s_start + 999ms));
    cr_assert(window.tryAcquire(s_start + 1s));
    window.setGranted(RequestCount(3), s_start + 1s);
    cr_assert(window.tryAcquire(s_start + 1s));
    cr_assert_not(window.tryAcquire(s_start + 1999ms));
    cr_assert(window.tryAcquire(s_start + 2s));
    // More raises than there are entries still become usable.
    for (int i = 0; i < 20; ++i) {
        window.setGranted(RequestCount(4 + i), s_start + 3s + std::chrono::milliseconds(i));
    }
    cr_assert_eq(window.usable(s_start + 4100ms).value(), 23);
    window.setGranted(RequestCount(1), s_start + 4100ms);
    cr_assert_eq(window.usable(s_start + 10s).value(), 1);
}

// Guards against permits that concurrent threads count twice, lose, or acquire beyond the grant while the buckets advance.
Test(ShiftWindow, concurrentAcquisitionsStayWithinGrant)
{
    constexpr std::int64_t granted = 100;
    constexpr int milliseconds = 400;
    ShiftWindow window(20ms);
    window.setGranted(RequestCount(granted), s_start);
    std::array<std::atomic<int>, milliseconds> acquired{};
    std::atomic<int> arrived{0};
    std::array<std::thread, 4> threads;
    for (auto &thread : threads) {
        thread = std::thread([&] {
            for (int now = 20; now < milliseconds; ++now) {
                while (window.tryAcquire(s_start + std::chrono::milliseconds(now))) {
                    ++acquired[static_cast<std::size_t>(now)];
                }
                // All threads start each millisecond together, so that they advance the buckets concurrently and none counts late.
                ++arrived;
                while (arrived.load() < static_cast<int>(threads.size()) * (now - 19)) {
                    std::this_thread::yield();
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    int sum = 0;
    int total = 0;
    for (int now = 0; now < milliseconds; ++now) {
        sum += acquired[static_cast<std::size_t>(now)];
        total += acquired[static_cast<std::size_t>(now)];
        sum -= now >= 20 ? acquired[static_cast<std::size_t>(now - 20)].load() : 0;
        cr_assert_leq(sum, granted, "at %d ms", now);
    }
    cr_assert_geq(total, granted * 10);
}

// Guards against more bytes on a link than its capacity in any second, summed over all hosts, while sizes differ from the estimates.
Test(LinkBudget, capacityHoldsInEverySecondOverAllHosts)
{
    struct Sent
    {
        BootTime at;
        std::int64_t bytes;
    };
    struct Open
    {
        LinkReservation reservation;
        std::int64_t actual;
        BootTime endsAt;
    };
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        pcg32 generator(seed);
        constexpr std::int64_t capacity = 8000;
        constexpr std::int64_t bytesPerSecond = capacity * 125;
        std::vector<std::shared_ptr<LinkBudget>> hosts(3);
        for (auto &host : hosts) {
            host = LinkBudget::create();
        }
        std::vector<std::int64_t> grants(hosts.size());
        std::int64_t rest = capacity;
        std::vector<Sent> sent;
        std::list<Open> open;
        std::size_t oldest = 0;
        BootTime now = s_start;
        std::int64_t inWindow = 0;
        std::int64_t total = 0;
        // Demand of up to several times the capacity, so that the budget limits the bytes.
        const std::uint32_t pause = 200 + generator(8000);
        for (int event = 0; event < 5000; ++event) {
            now += std::chrono::microseconds(generator(200) == 0 ? generator(300000) : generator(pause));
            if (generator(100) == 0) {
                moveGrant<KilobitsPerSecond>(hosts, grants, rest, generator, now);
            }
            for (auto it = open.begin(); it != open.end();) {
                if (it->endsAt > now) {
                    ++it;
                    continue;
                }
                it->reservation.settle(Bytes(it->actual), now);
                it = open.erase(it);
            }
            const std::int64_t estimate = 100 + generator(8000);
            auto reservation = hosts[generator(3)]->tryReserve(Bytes(estimate), now);
            if (!reservation) {
                continue;
            }
            // Periods with exact estimates follow periods in which estimates are far too high.
            const std::int64_t actual = seed % 2 == 0 || event / 700 % 2 == 1 ? estimate : 1 + generator(10);
            sent.push_back({now, actual});
            inWindow += actual;
            total += actual;
            while (sent[oldest].at <= now - 1s) {
                inWindow -= sent[oldest++].bytes;
            }
            cr_assert_leq(inWindow, bytesPerSecond, "seed %u event %d", seed, event);
            open.push_back({std::move(*reservation), actual, now + std::chrono::milliseconds(generator(400))});
        }
        cr_assert_gt(total, 0, "seed %u", seed);
    }
}

// Guards against an excess over the estimate that is never repaid, and against an estimate above the bucket size that is never admitted.
Test(LinkBudget, excessIsPaidBackAndLargeEstimatesPass)
{
    const auto link = LinkBudget::create();
    link->setGranted(KilobitsPerSecond(8000), s_start);
    cr_assert_not(link->tryReserve(Bytes(1000), s_start));
    auto large = link->tryReserve(Bytes(500'000), s_start + 1s);
    cr_assert(large.has_value());
    cr_assert_not(link->tryReserve(Bytes(1000), s_start + 1400ms));
    cr_assert(link->tryReserve(Bytes(1000), s_start + 1600ms));
    auto small = link->tryReserve(Bytes(1000), s_start + 3s);
    small->settle(Bytes(951'000), s_start + 3s);
    cr_assert_not(link->tryReserve(Bytes(1000), s_start + 3900ms));
    cr_assert(link->tryReserve(Bytes(1000), s_start + 4100ms));
}

// Guards against a late refund to a bucket that has refilled in the meantime, and against estimates that are never refunded.
Test(LinkBudget, refundsOnlyWhatWouldNotHaveOverflowed)
{
    const auto link = LinkBudget::create();
    link->setGranted(KilobitsPerSecond(8000), s_start);
    auto late = link->tryReserve(Bytes(20'000), s_start + 1s);
    auto burst = link->tryReserve(Bytes(50'000), s_start + 2s);
    late->settle(Bytes(1), s_start + 2s);
    cr_assert_not(link->tryReserve(Bytes(1000), s_start + 2s));
    burst->settle(Bytes(50'000), s_start + 2s);
    auto soon = link->tryReserve(Bytes(20'000), s_start + 2022ms);
    cr_assert_not(link->tryReserve(Bytes(10'000), s_start + 2023ms));
    soon->settle(Bytes(1), s_start + 2023ms);
    cr_assert(link->tryReserve(Bytes(10'000), s_start + 2023ms));
}

// Guards against retries that multiply the load of a failing region, and against no retries at all at low rates.
Test(RetryBudget, tenthOfSuccessesAndOnePerSecond)
{
    RetryBudget budget;
    cr_assert(budget.tryAcquire(s_start));
    cr_assert_not(budget.tryAcquire(s_start + 900ms));
    cr_assert(budget.tryAcquire(s_start + 1100ms));
    for (int i = 0; i < 2000; ++i) {
        budget.recordSuccess(s_start + 2s + std::chrono::milliseconds(i * 5));
    }
    int acquired = 0;
    while (budget.tryAcquire(s_start + 12s)) {
        ++acquired;
    }
    cr_assert_eq(acquired, 20);
}
