#include <LibMembership/granttable.h>
#include <LibMembership/shares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <numeric>
#include <pcg_random.hpp>
#include <random>

using namespace Trefoil;

namespace
{

HostId host(std::size_t number)
{
    return HostId("host-" + std::to_string(1000 + number));
}

std::int64_t held(const GrantTable &table, const HostId &holder, const std::vector<Resource> &resources)
{
    std::int64_t sum = 0;
    for (const Resource &resource : resources) {
        sum += table.grant(holder, resource.id).usable(resource.total);
    }
    return sum;
}

/// Performs one step of a host: lowers and acquires grants according to its plan. True when a grant changed.
bool step(GrantTable &table, const HostId &holder, const std::vector<Resource> &resources)
{
    bool changed = false;
    const auto plan = plannedGrants(table, holder, resources, table.members().size());
    for (const Resource &resource : resources) {
        const Grant grant = table.grant(holder, resource.id);
        const std::int64_t own = grant.usable(resource.total);
        const std::int64_t target = plan.at(resource.id);
        if (grant.amount != 0 && (grant.total != resource.total || target < own)) {
            table.release(holder, resource, std::min(own, target));
            changed = true;
        }
        changed = (target > own && table.acquire(holder, resource, target - own) > 0) || changed;
    }
    return changed;
}

struct ShareCase
{
    std::size_t hosts;
    std::size_t upstreams;
    std::int64_t slots;
    /// Minimum sum of slots that each host has to hold when the grants have converged.
    std::int64_t minimumSlots;
};

} // namespace

// Guards against a sum of grants above the total while totals change and hosts act on different ones, and against
// malformed rows that are accepted as grants.
Test(GrantTable, sumStaysWithinEveryTotal)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        pcg32 random(seed);
        const auto pick = [&random](std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(random); };
        GrantTable table;
        for (std::size_t i = 0; i < 6; ++i) {
            table.addMember(host(i));
        }
        for (int i = 0; i < 100; ++i) {
            const HostId holder = host(static_cast<std::size_t>(pick(0, 5)));
            const Resource resource{ResourceId("r"), {}, pick(1, 60)};
            const std::int64_t own = table.grant(holder, resource.id).usable(resource.total);
            table.release(holder, resource, pick(0, own));
            table.acquire(holder, resource, pick(0, 20));
            if (pick(0, 20) == 0) {
                table.reclaim(holder);
                table.addMember(holder);
            }
            cr_assert(table.isSound(), "seed %lu", seed);
            for (std::int64_t total = 1; total <= 60; ++total) {
                std::int64_t sum = 0;
                for (const HostId &member : table.members()) {
                    sum += table.grant(member, resource.id).usable(total);
                }
                cr_assert_leq(sum, total, "seed %lu: %ld of %ld", seed, sum, total);
            }
        }
        const auto copy = GrantTable::fromJson(nlohmann::json::parse(table.toJson().dump()));
        cr_assert(copy.has_value() && copy.value().toJson() == table.toJson());
    }
    cr_assert(GrantTable::fromJson(nlohmann::json::parse(R"({"members": ["a"], "grants": {"r": {"a": [5, 4]}}})")).has_error());
    cr_assert(GrantTable::fromJson(nlohmann::json::parse(R"({"members": ["a", "b"], "grants": {"r": {"a": [3, 4], "b": [2, 4]}}})")).has_error());
    cr_assert(GrantTable::fromJson(nlohmann::json::parse(R"({"members": [], "grants": {"r": {"a": [1, 4]}}})")).has_error());
}

// Guards against hosts that hold less than seven eighths of a share in the end, and against grants that never converge.
ParameterizedTestParameters(GrantTable, shares)
{
    static ShareCase cases[] = {
        {1, 5, 4, 20},
        {4, 5, 4, 5},
        {4, 16, 3, 11},
        {12, 5, 4, 1},
        {20, 1, 10, 0},
        {50, 40, 4, 3},
        {167, 40, 8, 1},
        {8, 1, 4000000, 437500},
    };
    return cr_make_param_array(ShareCase, cases, std::size(cases));
}

ParameterizedTest(ShareCase *testCase, GrantTable, shares)
{
    std::vector<Resource> resources;
    for (std::size_t i = 0; i < testCase->upstreams; ++i) {
        resources.push_back({ResourceId("slots/" + std::to_string(i)), testCase->upstreams > 1 ? "service" : "", testCase->slots});
    }
    GrantTable table;
    bool changed = true;
    std::size_t rounds = 0;
    for (std::size_t joined = 0; joined < testCase->hosts || changed; ++rounds) {
        changed = false;
        if (joined < testCase->hosts) {
            table.addMember(host(joined++));
        }
        for (const HostId &member : table.members()) {
            changed = step(table, member, resources) || changed;
            cr_assert(table.isSound());
        }
        cr_assert_lt(rounds, testCase->hosts + 50, "grants do not converge");
    }
    for (const HostId &member : table.members()) {
        cr_assert_geq(held(table, member, resources), testCase->minimumSlots, "%s holds %ld", member.value().c_str(), held(table, member, resources));
    }
    std::int64_t granted = 0;
    for (const Resource &resource : resources) {
        granted += table.granted(resource.id);
    }
    const auto total = static_cast<std::int64_t>(testCase->upstreams) * testCase->slots;
    cr_assert_geq(granted * 8, total * 7, "only %ld of %ld are granted", granted, total);
}
