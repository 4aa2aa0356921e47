#include "quotasimulation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdio>

using namespace Trefoil;
using namespace Trefoil::QuotaTests;

namespace
{

constexpr auto s_changeAt = 20s;
constexpr auto s_end = 60s;
/// All hosts know a changed limit after this time.
constexpr auto s_knownAfter = 3s;
constexpr std::size_t s_changedCustomer = 0;
constexpr std::size_t s_burstingCustomer = 3;

enum class Event {
    None,
    /// A customer sends ten times its usual rate for 10 s.
    Tenfold,
    RollingRestart,
    HostsAdded,
    ThirdCutOff,
    /// Hosts are added while a third is cut off and doesn't learn of them.
    AddedDuringCut,
    ThirdKilled,
    AllRestarted,
    LimitLowered,
    LimitRaised,
};

struct SimulationCase
{
    char name[48];
    Event event;
    int hosts;
    double lost;
    double headroom;
    int tableLagMs;
    /// Time after the change at which all customers begin to send ten times their usual rate, after a pause in which their bursts accumulate;
    /// 0 for never. The bursts are then in the same window as what the change adds.
    int surgeAtMs;
};

using Events = std::map<Event, void (*)(QuotaSimulation &, std::size_t)>;

void changeLimit(QuotaSimulation &simulation, double factor)
{
    simulation.at(s_changeAt, [&simulation, factor] {
        const QuotaLimit limit = simulation.customers[s_changedCustomer].limit;
        simulation.setLimit(s_changedCustomer, {limit.rate * factor, limit.burst * factor});
    });
}

/// All customers pause, and then send ten times their usual rate for the rest of the time.
void surge(QuotaSimulation &simulation, std::chrono::milliseconds time)
{
    for (std::size_t i = 0; i < simulation.customers.size(); ++i) {
        simulation.at(time - 8s, [&simulation, i] { simulation.setDemand(i, 0); });
        simulation.at(time, [&simulation, i] { simulation.setDemand(i, 10); });
    }
}

void cutOffThird(QuotaSimulation &simulation, std::size_t hosts)
{
    for (std::size_t i = 0; i < hosts / 3; ++i) {
        simulation.at(s_changeAt, [&simulation, i] { simulation.cutOff(i, true); });
        simulation.at(s_changeAt + 12s, [&simulation, i] { simulation.cutOff(i, false); });
    }
}

void addHosts(QuotaSimulation &simulation, std::size_t hosts)
{
    for (std::size_t i = 0; i < std::max<std::size_t>(1, hosts / 3); ++i) {
        simulation.at(s_changeAt + 1s, [&simulation] { simulation.addHost(); });
    }
}

void restart(QuotaSimulation &simulation, std::size_t count, std::chrono::milliseconds downTime)
{
    for (std::size_t i = 0; i < count; ++i) {
        simulation.at(s_changeAt, [&simulation, i] { simulation.killHost(i); });
        simulation.at(s_changeAt + downTime, [&simulation, i] { simulation.startHost(i); });
    }
}

const Events s_events = {
    {Event::None, [](QuotaSimulation &, std::size_t) {}},
    {Event::Tenfold,
        [](QuotaSimulation &simulation, std::size_t) {
            simulation.at(s_changeAt, [&simulation] { simulation.setDemand(s_burstingCustomer, 10); });
            simulation.at(s_changeAt + 10s, [&simulation] { simulation.setDemand(s_burstingCustomer, 1); });
        }},
    {Event::RollingRestart,
        [](QuotaSimulation &simulation, std::size_t hosts) {
            for (std::size_t i = 0; i < hosts; ++i) {
                const auto time = s_changeAt + std::chrono::milliseconds(30000 * i / hosts);
                simulation.at(time, [&simulation, i] { simulation.stopHost(i); });
                simulation.at(time + 6s, [&simulation, i] { simulation.startHost(i); });
            }
        }},
    {Event::HostsAdded, addHosts},
    {Event::ThirdCutOff, cutOffThird},
    {Event::AddedDuringCut,
        [](QuotaSimulation &simulation, std::size_t hosts) {
            cutOffThird(simulation, hosts);
            addHosts(simulation, hosts);
        }},
    {Event::ThirdKilled, [](QuotaSimulation &simulation, std::size_t hosts) { restart(simulation, hosts / 3, 8s); }},
    {Event::AllRestarted, [](QuotaSimulation &simulation, std::size_t hosts) { restart(simulation, hosts, 1s); }},
    {Event::LimitLowered, [](QuotaSimulation &simulation, std::size_t) { changeLimit(simulation, 0.3); }},
    {Event::LimitRaised, [](QuotaSimulation &simulation, std::size_t) { changeLimit(simulation, 3); }},
};

double allowed(const QuotaRules &rules, const QuotaLimit &limit)
{
    const double window = std::chrono::duration<double>(rules.window).count();
    return (limit.rate * window + limit.burst) * (1 + rules.overage) + rules.slack;
}

/// The largest count in a window of those that start from a time on and before another, and the number of runs in it.
std::size_t largestWindow(std::vector<BootTime> runs, const QuotaRules &rules, BootTime from, BootTime to)
{
    std::sort(runs.begin(), runs.end());
    std::size_t largest = 0;
    auto end = runs.begin();
    for (auto begin = runs.begin(); begin != runs.end(); ++begin) {
        while (end != runs.end() && *end - *begin < rules.window) {
            ++end;
        }
        if (*begin >= from && *begin < to) {
            largest = std::max(largest, static_cast<std::size_t>(end - begin));
        }
    }
    return largest;
}

void report(const char *name, const QuotaSimulation &simulation)
{
    int arrived = 0;
    int below = 0;
    int above = 0;
    int unavailable = 0;
    int lacking = 0;
    for (const SimulatedCustomer &customer : simulation.customers) {
        arrived += customer.arrived;
        below += customer.rejectedBelow;
        above += customer.admittedAbove;
        unavailable += customer.unavailable;
        // Above a limit it does not matter which requests run, but how many.
        lacking += std::max(0, customer.rejectedBelow - customer.admittedAbove);
        if (customer.rejectedBelow > 0 || customer.admittedAbove > 0) {
            std::printf("  %s: %d arrived, %d rejected below the limit, %d admitted above it, %d over the limit, %d without a lender\n",
                customer.name.c_str(),
                customer.arrived,
                customer.rejectedBelow,
                customer.admittedAbove,
                customer.exceeded,
                customer.unavailable);
        }
    }
    std::printf("%s: %d arrived, %d rejected below the limit, %d admitted above it, %d fewer than the limit allows, %d without a lender, %llu datagrams\n",
        name,
        arrived,
        below,
        above,
        lacking,
        unavailable,
        static_cast<unsigned long long>(simulation.datagrams));
    std::fflush(stdout);
}

} // namespace

// Guards against more requests of a customer in a window than its limit allows on all hosts together, whatever the hosts and the links do.
ParameterizedTestParameters(QuotaSimulation, windowsKeepToTheLimit)
{
    static SimulationCase cases[] = {
        {"calm, 10 hosts", Event::None, 10, 0, 1.6, 3000, 0},
        {"calm, 70 hosts", Event::None, 70, 0, 1.6, 3000, 0},
        {"lost datagrams", Event::None, 70, 0.1, 1.6, 3000, 0},
        {"all above their limits", Event::None, 70, 0.02, 0.2, 3000, 0},
        {"one above its limit", Event::Tenfold, 70, 0, 1.6, 3000, 0},
        {"one above its limit, lost datagrams", Event::Tenfold, 10, 0.1, 1.6, 3000, 0},
        {"rolling restart", Event::RollingRestart, 70, 0.01, 1.6, 3000, 0},
        {"rolling restart above the limits", Event::RollingRestart, 30, 0.01, 0.4, 8000, 0},
        {"hosts added", Event::HostsAdded, 40, 0.01, 1.6, 3000, 0},
        {"hosts added above the limits, old tables", Event::HostsAdded, 10, 0.01, 0.4, 8000, 0},
        {"a third cut off", Event::ThirdCutOff, 30, 0.01, 1.6, 3000, 0},
        {"a third cut off above the limits", Event::ThirdCutOff, 30, 0.01, 0.4, 8000, 0},
        {"hosts added during a cut", Event::AddedDuringCut, 30, 0.01, 0.4, 8000, 0},
        {"a third killed", Event::ThirdKilled, 70, 0.01, 1.6, 3000, 0},
        {"a third killed above the limits", Event::ThirdKilled, 30, 0.01, 0.4, 3000, 0},
        {"all killed and restarted", Event::AllRestarted, 30, 0, 0.4, 3000, 0},
        {"limit lowered", Event::LimitLowered, 70, 0.01, 1.0, 3000, 0},
        {"limit raised", Event::LimitRaised, 70, 0.01, 0.5, 3000, 0},
        {"three hosts", Event::HostsAdded, 3, 0.01, 0.4, 3000, 0},
        {"surge", Event::None, 70, 0, 1.6, 3000, 1000},
        {"surge, few hosts", Event::None, 5, 0, 1.6, 3000, 1000},
        {"surge before hosts are added", Event::HostsAdded, 12, 0, 1.6, 8000, 900},
        {"surge after hosts are added", Event::HostsAdded, 12, 0, 1.6, 8000, 2000},
        {"surge while a third is cut off", Event::ThirdCutOff, 30, 0, 1.6, 8000, 500},
        {"surge when the cut ends", Event::ThirdCutOff, 30, 0, 1.6, 8000, 11500},
        {"surge, hosts added during a cut", Event::AddedDuringCut, 12, 0, 1.6, 8000, 1500},
        {"surge before a third is killed", Event::ThirdKilled, 12, 0, 1.6, 8000, -1000},
        {"surge before all are killed and restarted", Event::AllRestarted, 30, 0, 1.6, 8000, -1000},
        {"surge in a rolling restart", Event::RollingRestart, 12, 0, 1.6, 8000, 5000},
        {"surge when a limit is lowered", Event::LimitLowered, 30, 0, 1.6, 3000, 3000},
    };
    return cr_make_param_array(SimulationCase, cases, std::size(cases));
}

ParameterizedTest(SimulationCase *testCase, QuotaSimulation, windowsKeepToTheLimit)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        SimulationSettings settings;
        settings.hostCount = testCase->hosts;
        settings.lost = testCase->lost;
        settings.tableLag = std::chrono::milliseconds(testCase->tableLagMs);
        settings.headroom = testCase->headroom;
        settings.seed = seed;
        // The first is as large as the largest customer of kitami.
        settings.totalRate = 816;
        QuotaSimulation simulation(settings);
        const auto initial = simulation.customers;
        s_events.at(testCase->event)(simulation, static_cast<std::size_t>(testCase->hosts));
        if (testCase->surgeAtMs != 0) {
            surge(simulation, s_changeAt + std::chrono::milliseconds(testCase->surgeAtMs));
        }
        simulation.runUntil(s_end);
        report(testCase->name, simulation);
        const BootTime binding = QuotaSimulation::start + s_changeAt + s_knownAfter;
        for (std::size_t i = 0; i < simulation.customers.size(); ++i) {
            const SimulatedCustomer &customer = simulation.customers[i];
            const double before = std::max(allowed(settings.rules, initial[i].limit), allowed(settings.rules, customer.limit));
            const double after = allowed(settings.rules, customer.limit);
            const auto earlier = largestWindow(customer.runs, settings.rules, BootTime{}, binding);
            const auto later = largestWindow(customer.runs, settings.rules, binding, BootTime::max());
            cr_expect_leq(static_cast<double>(earlier), before, "%s, seed %u, %s", testCase->name, static_cast<unsigned>(seed), customer.name.c_str());
            cr_expect_leq(static_cast<double>(later), after, "%s, seed %u, %s", testCase->name, static_cast<unsigned>(seed), customer.name.c_str());
        }
    }
}

// Guards against customers that lose requests although they stay below their limits, while another one sends ten times its usual rate.
Test(QuotaSimulation, othersKeepTheirRequestsBesideABurst)
{
    SimulationSettings settings;
    settings.hostCount = 70;
    QuotaSimulation simulation(settings);
    s_events.at(Event::Tenfold)(simulation, 70);
    // The buckets are empty at the start.
    simulation.runUntil(10s);
    const auto warm = simulation.customers;
    simulation.runUntil(s_end);
    for (std::size_t i = 0; i < simulation.customers.size(); ++i) {
        if (i != s_burstingCustomer) {
            cr_assert_eq(simulation.customers[i].rejectedBelow - warm[i].rejectedBelow, 0, "%s", simulation.customers[i].name.c_str());
        }
    }
}

// Guards against datagrams for each request of a customer far above its limit: with them, a flood of requests is a flood on the links, too.
Test(QuotaSimulation, burstsCostFewDatagrams)
{
    SimulationSettings settings;
    settings.hostCount = 70;
    settings.customerCount = 1;
    QuotaSimulation simulation(settings);
    simulation.setDemand(0, 10);
    simulation.runUntil(20s);
    std::printf("%d requests of a customer ten times its usual rate: %llu datagrams\n",
        simulation.customers.front().arrived,
        static_cast<unsigned long long>(simulation.datagrams));
    std::fflush(stdout);
    cr_assert_lt(simulation.datagrams, static_cast<std::uint64_t>(simulation.customers.front().arrived));
}
