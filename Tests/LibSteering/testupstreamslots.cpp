#include <LibSteering/upstreamslots.h>

#include <criterion/criterion.h>

#include <array>
#include <thread>

using Trefoil::BootTime;
using Trefoil::LeaseGuard;
using Trefoil::SlotCount;
using Trefoil::UpstreamSlots;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};

}

// Guards against a host that dispatches after its lease has expired, for example after a pause.
Test(UpstreamSlots, nothingAfterLeaseExpiry)
{
    const auto slots = UpstreamSlots::create();
    slots->setGranted(SlotCount(1));
    LeaseGuard lease;
    cr_assert_not(slots->tryReserve(lease, s_start).has_value());
    lease.extend(s_start + std::chrono::seconds(3));
    cr_assert(slots->tryReserve(lease, s_start).has_value());
    cr_assert_not(slots->tryReserve(lease, s_start + std::chrono::seconds(3)).has_value());
    lease.extend(s_start);
    cr_assert(slots->tryReserve(lease, s_start + std::chrono::seconds(2)).has_value());
    lease.revoke();
    cr_assert_not(slots->tryReserve(lease, s_start).has_value());
}

// Guards against more requests in flight than granted when several threads reserve at once.
Test(UpstreamSlots, concurrentReservationsStayWithinGrant)
{
    constexpr int granted = 3;
    const auto slots = UpstreamSlots::create();
    slots->setGranted(SlotCount(granted));
    LeaseGuard lease;
    lease.extend(s_start + std::chrono::seconds(1));
    std::atomic<int> running{0};
    std::atomic<int> highest{0};
    std::array<std::thread, 6> threads;
    for (auto &thread : threads) {
        thread = std::thread([&] {
            for (int i = 0; i < 20000; ++i) {
                const auto reservation = slots->tryReserve(lease, s_start);
                if (!reservation) {
                    continue;
                }
                const int now = ++running;
                int previous = highest.load();
                while (previous < now && !highest.compare_exchange_weak(previous, now)) { }
                --running;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    cr_assert_leq(highest.load(), granted);
    cr_assert_eq(slots->inFlight().value(), 0);
}
