#include <LibMembership/simulation.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

using namespace Trefoil;
using Simulation::Process;
using Simulation::World;
using Simulation::WorldSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

std::vector<Resource> resources(std::int64_t percent = 100)
{
    std::vector<Resource> list;
    for (int i = 0; i < 5; ++i) {
        list.push_back({ResourceId(fmt::format("slots/{}", i)), "service", 4 * percent / 100});
        list.push_back({ResourceId(fmt::format("connections/{}", i)), {}, 360 * percent / 100, Milliseconds(0), ResourceId(fmt::format("slots/{}", i))});
    }
    list.push_back({ResourceId("shift/service"), {}, 90 * percent / 100, Milliseconds(2000)});
    return list;
}

struct FaultMix
{
    char name[24];
    std::uint64_t firstSeed;
    std::uint64_t seeds;
    double pauses;
    double kills;
    double zombies;
    double cuts;
    double store;
    double totals;
};

/// Injects random faults into a world while it runs.
class FaultInjector
{
public:
    FaultInjector(World &world, const FaultMix &mix)
        : m_world(world)
        , m_mix(mix)
    {
    }

    void step()
    {
        Process &process = randomProcess();
        if (process.replaced) {
            return;
        }
        if (happens(m_mix.pauses)) {
            m_world.pause(process, m_world.between(milliseconds(500), seconds(12)));
        }
        if (happens(m_mix.kills) && !process.terminated) {
            process.terminated = true;
            restartLater(process);
        }
        // A new process of the host starts while the earlier one is paused; the earlier one resumes and runs for 3 s more.
        if (happens(m_mix.zombies) && !process.replaced) {
            m_world.pause(process, m_world.between(seconds(4), seconds(12)));
            m_world.at(process.pausedUntil + seconds(3), [&process] { process.terminated = true; });
            restartLater(process);
        }
        if (happens(m_mix.cuts)) {
            process.cutFromPeers = m_world.chance() < 0.7;
            process.cutFromStore = m_world.chance() < 0.5;
            m_world.at(m_world.now() + m_world.between(seconds(1), seconds(15)), [&process] { process.cutFromPeers = process.cutFromStore = false; });
        }
        if (happens(m_mix.store)) {
            injectStoreFault();
        }
        if (happens(m_mix.totals)) {
            m_world.setResources(resources(m_world.chance() < 0.5 ? 50 : 100));
        }
    }

private:
    bool happens(double perSecond)
    {
        return m_world.chance() < perSecond / 4;
    }

    Process &randomProcess()
    {
        auto &processes = m_world.processes();
        return *processes[std::uniform_int_distribution<std::size_t>(0, processes.size() - 1)(m_world.random())];
    }

    void restartLater(Process &process)
    {
        process.replaced = true;
        m_world.at(m_world.now() + m_world.between(milliseconds(50), seconds(8)),
            [this, host = process.host, region = process.region] { m_world.start(host, region); });
    }

    void injectStoreFault()
    {
        m_world.store.rememberState();
        m_world.storeFaults = {
            m_world.chance() < 0.3, m_world.chance() < 0.5 ? 0.3 : 0, m_world.chance() < 0.4 ? seconds(8) : seconds(0), m_world.chance() < 0.3};
        m_world.at(m_world.now() + m_world.between(seconds(1), seconds(12)), [this] { m_world.storeFaults = {}; });
    }

    World &m_world;
    const FaultMix &m_mix;
};

/// The newest process of each host, except those that have terminated.
std::vector<Process *> currentProcesses(World &world)
{
    std::map<HostId, Process *> current;
    for (const auto &process : world.processes()) {
        current[process->host] = process.get();
    }
    std::vector<Process *> result;
    for (const auto &[host, process] : current) {
        if (!process->terminated) {
            result.push_back(process);
        }
    }
    return result;
}

void expectRecovery(World &world, std::uint64_t seed)
{
    for (Process *process : currentProcesses(world)) {
        cr_assert(process->member->isMember(), "seed %lu: %s is no member", seed, process->host.value().c_str());
        cr_assert(world.now() < process->member->leaseValidUntil(), "seed %lu: %s has no lease", seed, process->host.value().c_str());
    }
    for (std::size_t region = 0; region < 3; ++region) {
        std::int64_t sum = 0;
        for (Process *process : currentProcesses(world)) {
            if (process->region != region) {
                continue;
            }
            std::int64_t held = 0;
            for (const auto &[resource, limit] : process->member->limits(world.now())) {
                held += resource.value().compare(0, 5, "slots") == 0 ? limit : 0;
            }
            cr_assert_geq(held, 2, "seed %lu: %s holds %ld slots", seed, process->host.value().c_str(), held);
            sum += held;
        }
        std::int64_t total = 0;
        for (const Resource &resource : world.resources()) {
            total += resource.group.empty() ? 0 : resource.total;
        }
        cr_assert_geq(sum * 8, total * 7, "seed %lu: only %ld of %ld slots are usable", seed, sum, total);
    }
}

} // namespace

// Guards against use beyond a total under any combination of paused, killed, replaced and cut-off hosts, lost, late and
// stale store responses and changed totals, and against hosts that have no lease or grants after the faults have ended.
ParameterizedTestParameters(Membership, totalsHoldUnderFaults)
{
    static FaultMix mixes[] = {
        {"none", 1, 2, 0, 0, 0, 0, 0, 0},
        {"pauses", 100, 6, 0.5, 0, 0, 0, 0, 0},
        {"kills", 200, 6, 0, 0.4, 0, 0, 0, 0},
        {"zombies", 300, 6, 0.1, 0, 0.3, 0, 0, 0},
        {"cuts", 400, 6, 0, 0, 0, 0.6, 0, 0},
        {"store", 500, 6, 0.1, 0.1, 0, 0.1, 0.2, 0},
        {"totals", 600, 6, 0.1, 0.1, 0, 0, 0.1, 0.1},
        {"everything", 700, 12, 0.3, 0.2, 0.1, 0.3, 0.1, 0.05},
    };
    return cr_make_param_array(FaultMix, mixes, std::size(mixes));
}

ParameterizedTest(FaultMix *mix, Membership, totalsHoldUnderFaults)
{
    for (std::uint64_t seed = mix->firstSeed; seed < mix->firstSeed + mix->seeds; ++seed) {
        WorldSettings settings;
        settings.resources = resources();
        World world(settings, seed);
        FaultInjector faults(world, *mix);
        world.runUntil(world.now() + seconds(10));
        for (const BootTime end = world.now() + seconds(60); world.now() < end;) {
            world.runUntil(world.now() + milliseconds(250));
            faults.step();
        }
        world.runUntil(world.now() + seconds(75));
        cr_assert(world.violation().empty(), "%s, seed %lu: %s", mix->name, seed, world.violation().c_str());
        expectRecovery(world, seed);
    }
}

// Guards against a planned stop whose grants stay unused until other hosts reclaim them.
Test(Membership, leavingHostReleasesItsGrants)
{
    WorldSettings settings;
    settings.resources = resources();
    World world(settings, 5);
    world.runUntil(world.now() + seconds(10));
    Process &leaving = *world.processes().front();
    leaving.member->startLeaving();
    world.runUntil(world.now() + seconds(2));
    cr_assert(leaving.member->isMember());
    leaving.member->releaseAll(world.now());
    world.runUntil(world.now() + seconds(2));
    cr_assert(leaving.member->hasLeft());
    leaving.terminated = true;
    for (Process *process : currentProcesses(world)) {
        cr_assert(process->member->grants().members().count(leaving.host) == 0);
    }
    world.runUntil(world.now() + seconds(5));
    cr_assert_eq(world.usableSum(leaving.region, settings.resources.front()), 4);
}

// Guards against grants of a killed host that are reclaimed later than specified in design 2.10.
Test(Membership, killedHostIsReclaimedWithinSevenSeconds)
{
    for (std::uint64_t seed = 20; seed < 30; ++seed) {
        WorldSettings settings;
        settings.resources = resources();
        World world(settings, seed);
        world.runUntil(world.now() + seconds(20));
        Process &killed = *world.processes().front();
        killed.terminated = true;
        world.runUntil(world.now() + milliseconds(8500));
        for (Process *process : currentProcesses(world)) {
            cr_assert(process->region != killed.region || process->member->grants().members().count(killed.host) == 0, "seed %lu", seed);
        }
    }
}

// Guards against leases that end because the store is unavailable, and against grants that change during the outage.
Test(Membership, storeOutageKeepsLeasesAndGrants)
{
    WorldSettings settings;
    settings.resources = resources();
    World world(settings, 6);
    world.runUntil(world.now() + seconds(20));
    const auto before = world.processes().front()->member->grants().toJson();
    world.storeFaults.down = true;
    for (int i = 0; i < 120; ++i) {
        world.runUntil(world.now() + seconds(1));
        for (const auto &process : world.processes()) {
            cr_assert(world.now() < process->member->leaseValidUntil());
        }
    }
    cr_assert(world.processes().front()->member->grants().toJson() == before);
}

namespace
{

struct IsolationCase
{
    /// Time for which the host has been cut off from its peers when the new configuration is committed.
    int isolatedMilliseconds;
    std::uint64_t firstSeed;
};

void commitConfiguration(World &world, std::uint64_t version)
{
    const auto rows = nlohmann::json::parse(world.store.read({{"keys", {configurationHeadKey}}}).body)["rows"];
    const auto present = rows.empty() ? RowVersion(0) : rows[0]["version"].get<RowVersion>();
    const auto response = world.store.transact({{"transaction", fmt::format("commit-{}", version)},
        {"conditions", {{{"key", configurationHeadKey}, {"version", present}}}},
        {"puts", {{{"key", configurationHeadKey}, {"value", {{"version", version}}}}}},
        {"deletes", nlohmann::json::array()}});
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
}

} // namespace

// Guards against a host that reaches the store but no peer, and whose lease stays valid for more than 3 s after the
// configuration that it applies was replaced.
ParameterizedTestParameters(Membership, hostWithoutPeersObeysTheStoresConfiguration)
{
    static IsolationCase cases[] = {{0, 2000}, {700, 2010}, {1600, 2020}, {3500, 2030}, {20000, 2040}};
    return cr_make_param_array(IsolationCase, cases, std::size(cases));
}

ParameterizedTest(IsolationCase *testCase, Membership, hostWithoutPeersObeysTheStoresConfiguration)
{
    for (std::uint64_t seed = testCase->firstSeed; seed < testCase->firstSeed + 10; ++seed) {
        WorldSettings settings;
        settings.resources = resources();
        World world(settings, seed);
        commitConfiguration(world, 1);
        world.runUntil(world.now() + seconds(15) + world.between(seconds(0), seconds(10)));
        Process &isolated = *world.processes().front();
        isolated.cutFromPeers = true;
        world.runUntil(world.now() + milliseconds(testCase->isolatedMilliseconds));
        cr_assert(world.now() < isolated.member->leaseValidUntil(), "seed %lu: no lease before the change", seed);
        commitConfiguration(world, 2);
        const BootTime committedAt = world.now();
        while (world.now() < committedAt + seconds(20)) {
            world.runUntil(world.now() + milliseconds(50));
            const auto excess = std::chrono::duration_cast<milliseconds>(isolated.member->leaseValidUntil() - committedAt - seconds(3));
            cr_assert_leq(excess.count(), 0, "seed %lu: the lease lasts %ld ms too long", seed, excess.count());
        }
        isolated.member->setConfiguration(ConfigurationVersion(2), resources(), world.now());
        world.runUntil(world.now() + seconds(2));
        cr_assert(isolated.member->isMember() && world.now() < isolated.member->leaseValidUntil(), "seed %lu: no lease under the new configuration", seed);
    }
}

// Guards against hosts that get a new configuration only from their peers, which may be as outdated as they are.
Test(Membership, newConfigurationIsSeenInTheStore)
{
    WorldSettings settings;
    settings.resources = resources();
    World world(settings, 7);
    commitConfiguration(world, 1);
    world.runUntil(world.now() + seconds(20));
    commitConfiguration(world, 2);
    world.runUntil(world.now() + milliseconds(1200));
    for (const auto &process : world.processes()) {
        cr_assert_eq(process->member->newestConfiguration().value(), 2, "%s", process->host.value().c_str());
    }
}

// Guards against a region whose hosts lose their leases when it is cut off soon after they joined: by then they need enough
// guardians within the region.
Test(Membership, regionCutOffSoonAfterJoiningKeepsItsLeases)
{
    for (std::uint64_t seed = 1000; seed < 1100; ++seed) {
        WorldSettings settings;
        settings.resources = resources();
        settings.startSpread = milliseconds(300);
        World world(settings, seed);
        const auto isMember = [](const auto &process) { return process->member && process->member->isMember(); };
        while (world.processes().size() < settings.regions * settings.hostsPerRegion
            || !std::all_of(world.processes().begin(), world.processes().end(), isMember)) {
            world.runUntil(world.now() + milliseconds(10));
        }
        world.runUntil(world.now() + seconds(2));
        world.storeFaults.down = true;
        for (const auto &process : world.processes()) {
            process->cutFromPeers = process->region != 0;
        }
        for (int second = 1; second <= 12; ++second) {
            world.runUntil(world.now() + seconds(1));
            for (const auto &process : world.processes()) {
                cr_assert(process->region != 0 || world.now() < process->member->leaseValidUntil(),
                    "seed %lu: %s has no lease %d s after the cut",
                    seed,
                    process->host.value().c_str(),
                    second);
            }
        }
    }
}
