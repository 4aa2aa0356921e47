/// Runs the shared structures of the request path from several threads, for the thread sanitizer.

#include <LibCore/snapshot.h>
#include <LibSteering/upstreamslots.h>

#include <array>
#include <cstdio>
#include <functional>
#include <thread>

namespace
{

using namespace Trefoil;

constexpr int s_rounds = 20000;
constexpr BootTime s_start{std::chrono::seconds(100)};

void runInThreads(const std::function<void()> &body)
{
    std::array<std::thread, 4> threads;
    for (auto &thread : threads) {
        thread = std::thread(body);
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

struct View
{
    int first;
    int second;
};

// Guards against a reader that sees a half-replaced or freed view while the control thread publishes.
int checkSnapshot()
{
    Snapshot<View> snapshot(std::make_unique<View>(View{0, 0}));
    std::atomic<int> torn{0};
    std::thread publisher([&snapshot] {
        for (int i = 1; i <= s_rounds; ++i) {
            snapshot.publish(std::make_unique<View>(View{i, i}));
        }
    });
    runInThreads([&] {
        const SnapshotReaderThread registration;
        for (int i = 0; i < s_rounds; ++i) {
            snapshot.read([&torn](const View &view) { torn += view.first == view.second ? 0 : 1; });
        }
    });
    publisher.join();
    return torn.load();
}

// Guards against more reservations than the grant while the control thread changes grant and lease.
int checkSlots()
{
    constexpr int highestGrant = 3;
    const auto slots = UpstreamSlots::create();
    LeaseGuard lease;
    std::atomic<int> running{0};
    std::atomic<int> violations{0};
    std::atomic<bool> stop{false};
    std::thread control([&] {
        while (!stop.load()) {
            lease.extend(s_start + std::chrono::seconds(3));
            slots->setGranted(SlotCount(highestGrant));
            slots->setGranted(SlotCount(1));
            lease.revoke();
        }
    });
    runInThreads([&] {
        for (int i = 0; i < s_rounds; ++i) {
            const auto reservation = slots->tryReserve(lease, s_start);
            if (!reservation) {
                continue;
            }
            violations += ++running > highestGrant ? 1 : 0;
            --running;
        }
    });
    stop = true;
    control.join();
    return violations.load();
}

} // namespace

int main()
{
    const int torn = checkSnapshot();
    const int violations = checkSlots();
    std::printf("torn views %d, grant violations %d\n", torn, violations);
    return torn + violations == 0 ? 0 : 1;
}
