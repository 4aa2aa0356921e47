#include <LibReplication/startsource.h>
#include <LibReplication/tableimage.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <map>
#include <pcg_random.hpp>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

std::vector<HostId> hosts(std::size_t count)
{
    std::vector<HostId> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.emplace_back("host-" + std::to_string(i));
    }
    return result;
}

PublisherChoiceSettings settingsOf(const HostId &self)
{
    PublisherChoiceSettings settings;
    settings.self = self;
    return settings;
}

struct StartCase
{
    char name[56];
    int sinceStart;
    /// -1 while the rows of the hosts are unknown.
    int sinceHostsKnown;
    std::size_t registered;
    std::size_t live;
    std::size_t ready;
    std::size_t failed;
    /// Index of the expected alternative of StartSource; -1 where the host's place in the order decides.
    int expected;
};

constexpr int s_store = 0;
constexpr int s_await = 1;
constexpr int s_copy = 2;

} // namespace

// Guards against hosts that all read the store when they start together, and against a host that waits although nobody can help it.
ParameterizedTestParameters(StartSource, sources)
{
    static StartCase cases[] = {
        {"the hosts are not known yet", 100, -1, 1, 0, 0, 0, s_await},
        {"the hosts can't be read", 600, -1, 1, 0, 0, 0, s_store},
        {"a small zone", 10, 5, 4, 3, 3, 0, s_store},
        {"others run on", 30, 20, 30, 29, 29, 0, s_copy},
        {"one host has the tables", 30, 20, 30, 12, 1, 0, s_copy},
        {"replies are on their way", 30, 20, 30, 3, 0, 0, s_await},
        {"all start together", 200, 80, 30, 29, 0, 0, -1},
        {"alone among lost hosts", 200, 80, 30, 0, 0, 0, s_store},
        {"nobody gets the tables", 1000, 800, 30, 29, 0, 0, s_store},
        {"one source failed", 200, 80, 30, 29, 29, 1, s_copy},
        {"the only source failed", 200, 80, 30, 0, 1, 1, s_store},
        {"two sources failed", 200, 80, 30, 29, 29, 2, s_store},
    };
    return cr_make_param_array(StartCase, cases, std::size(cases));
}

ParameterizedTest(StartCase *testCase, StartSource, sources)
{
    const auto all = hosts(testCase->registered);
    std::size_t readers = 0;
    for (const HostId &self : all) {
        const auto others = [&](std::size_t count) {
            std::vector<HostId> result;
            std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](const HostId &host) { return host != self; });
            result.resize(std::min(count, result.size()));
            return result;
        };
        StartKnowledge knowledge;
        knowledge.sinceStart = std::chrono::milliseconds(testCase->sinceStart);
        if (testCase->sinceHostsKnown >= 0) {
            knowledge.sinceHostsKnown = std::chrono::milliseconds(testCase->sinceHostsKnown);
        }
        knowledge.registeredHosts = testCase->registered;
        knowledge.live = others(testCase->live);
        knowledge.ready = others(testCase->ready);
        for (std::size_t i = 0; i < testCase->failed; ++i) {
            const StartSource failing = startSource(knowledge, settingsOf(self));
            cr_assert(std::holds_alternative<CopyFrom>(failing), "%s", testCase->name);
            cr_assert(knowledge.failed.insert(std::get<CopyFrom>(failing).host).second, "%s: a failed host is asked again", testCase->name);
        }
        const StartSource source = startSource(knowledge, settingsOf(self));
        readers += source.index() == s_store ? 1 : 0;
        cr_assert(testCase->expected == -1 || static_cast<int>(source.index()) == testCase->expected, "%s: %zu", testCase->name, source.index());
    }
    cr_assert(testCase->expected != -1 || readers == 3, "%s: %zu of %zu hosts read the store", testCase->name, readers, all.size());
}

// Guards against sources that are no publishers, whose tables no store has confirmed, and against one source for all starting hosts.
Test(StartSource, startingHostsSpreadOverThePublishers)
{
    const auto all = hosts(40);
    const std::vector<HostId> ready(all.begin(), all.begin() + 30);
    const auto publishers = publishersAmong(ready, settingsOf(all.back()));
    std::map<HostId, int> copies;
    for (std::size_t i = 30; i < all.size(); ++i) {
        StartKnowledge knowledge;
        knowledge.sinceHostsKnown = 20ms;
        knowledge.registeredHosts = all.size();
        knowledge.live = ready;
        knowledge.ready = ready;
        const StartSource source = startSource(knowledge, settingsOf(all[i]));
        ++copies[std::get<CopyFrom>(source).host];
    }
    for (const auto &[host, count] : copies) {
        cr_assert(std::find(publishers.begin(), publishers.end(), host) != publishers.end(), "%s is no publisher", host.value().c_str());
    }
    cr_assert(copies.size() >= 2);
}

// Guards against a copy of a table that lacks a row, has a removed one or an older value.
Test(TableImage, followsTheTable)
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        pcg32 random(seed);
        TableImage image(1000000);
        cr_assert_not(image.rows());
        std::map<std::string, std::string> expected;
        FeedVersion version = 1;
        FeedRows table;
        for (int i = 0; i < 10; ++i) {
            const std::string key = std::to_string(i);
            table.rows.push_back({key, "first", version, false});
            expected[key] = "first";
        }
        table.version = version;
        image.replace(table);
        for (int step = 0; step < 50; ++step) {
            FeedRows changes;
            for (std::uint32_t i = random(4); i > 0; --i) {
                const std::string key = std::to_string(random(20));
                const bool isRemoved = random(3) == 0;
                changes.rows.push_back({key, isRemoved ? "" : std::to_string(step), ++version, isRemoved});
                if (isRemoved) {
                    expected.erase(key);
                } else {
                    expected[key] = std::to_string(step);
                }
            }
            changes.version = ++version;
            image.apply(changes);
            const auto rows = image.rows();
            cr_assert(rows && rows->isWholeTable && rows->version == version);
            std::map<std::string, std::string> actual;
            for (const FeedRow &row : rows->rows) {
                actual[row.key] = row.value;
            }
            cr_assert(actual == expected && rows->rows.size() == expected.size(), "seed %u, step %d", seed, step);
        }
    }
}

// Guards against a large table that fills the memory of a host, and against one that is served in part.
Test(TableImage, largeTablesAreNotKept)
{
    TableImage image(1000);
    image.replace({{{"a", "1", 1, false}}, 1});
    cr_assert(image.rows());
    image.apply({{{"b", std::string(2000, 'x'), 2, false}}, 2});
    cr_assert_not(image.rows());
    image.apply({{{"c", "1", 3, false}}, 3});
    cr_assert_not(image.rows());
    image.replace({{{"a", "1", 4, false}}, 4});
    cr_assert_eq(image.rows()->rows.size(), 1);
}
