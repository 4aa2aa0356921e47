#include <LibCore/snapshot.h>

#include <criterion/criterion.h>

#include <array>
#include <thread>

namespace
{

struct Pair
{
    int first;
    int second;
};

} // namespace

// Guards against readers that see a half-replaced or freed value while a writer publishes.
Test(Snapshot, readersSeeWholeValues)
{
    Trefoil::Snapshot<Pair> snapshot(std::make_unique<Pair>(Pair{0, 0}));
    std::atomic<bool> stop{false};
    std::atomic<int> torn{0};
    std::array<std::thread, 3> readers;
    for (auto &reader : readers) {
        reader = std::thread([&] {
            const Trefoil::SnapshotReaderThread registration;
            while (!stop.load()) {
                snapshot.read([&torn](const Pair &pair) { torn += pair.first == pair.second ? 0 : 1; });
            }
        });
    }
    for (int i = 1; i <= 2000; ++i) {
        snapshot.publish(std::make_unique<Pair>(Pair{i, i}));
    }
    stop = true;
    for (auto &reader : readers) {
        reader.join();
    }
    const Trefoil::SnapshotReaderThread registration;
    cr_assert_eq(torn.load(), 0);
    cr_assert_eq(snapshot.read([](const Pair &pair) { return pair.first; }), 2000);
}
