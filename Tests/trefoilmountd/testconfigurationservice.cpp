#include "configurationcluster.h"

#include <LibConfiguration/digest.h>
#include <LibConfiguration/json.h>

#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct FaultMode
{
    char name[16];
};

bool isInRegion(const HostId &host, const std::string &region)
{
    return host.value().rfind(region, 0) == 0;
}

template<typename Message>
bool is(const PeerMessage &message)
{
    return std::holds_alternative<Message>(message);
}

std::string describe(const ChangeOutcome &outcome)
{
    return std::string(changeStatusName(outcome.status)) + ": " + outcome.message;
}

} // namespace

// Guards against a change that is accepted before it is in force in every region, and against hosts that stay on the old version.
Test(ConfigurationService, acceptedChangeIsInForceEverywhere)
{
    ConfigurationCluster cluster;
    cr_assert(cluster.allAt(1));
    const auto outcome = cluster.change(4, "set tenant museum weight 7", 1);
    cr_assert(outcome.status == ChangeStatus::Accepted, "%s", describe(outcome).c_str());
    cr_assert_eq(outcome.version.value(), 2);
    cr_assert_eq(outcome.changes.size(), 1);
    cluster.runFor(20);
    cr_assert(cluster.allAt(2));
    for (const auto &host : cluster.hosts) {
        cr_assert_eq(host->state.routing.read([](const RoutingView &view) { return view.configuration->tenants[0].weight; }), 7);
    }
}

// Guards against the acceptance of two changes on the same base version, and against a conflict without the changes that caused it.
Test(ConfigurationService, conflictingOperators)
{
    ConfigurationCluster cluster;
    std::optional<ChangeOutcome> first;
    std::optional<ChangeOutcome> second;
    cluster.startChange(0, "set tenant museum weight 5", first, 1);
    cluster.startChange(2, "drain region hill", second, 1);
    cr_assert(cluster.runUntil([&] { return first && second; }, 8000));
    const auto &loser = first->status == ChangeStatus::Accepted ? *second : *first;
    cr_assert(first->status == ChangeStatus::Accepted || second->status == ChangeStatus::Accepted);
    cr_assert(loser.status == ChangeStatus::Conflict, "%s", describe(loser).c_str());
    cr_assert_eq(loser.changes.size(), 1);
    cluster.runFor(20);
    cr_assert(cluster.allAt(2));
    cr_assert_eq(cluster.headVersion(), 2);

    const auto late = cluster.change(1, "set tenant museum weight 9", 1);
    cr_assert(late.status == ChangeStatus::Conflict, "%s", describe(late).c_str());
    cr_assert_eq(late.changes.size(), 1);
}

// Guards against a commit that is reported as refused, or applied twice, because its response was lost.
Test(ConfigurationService, lostCommitResponse)
{
    ConfigurationCluster cluster;
    cluster.control(cluster.tableServer.address(), {{"mode", "lose-answers"}, {"only", "writes"}, {"count", 2}});
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Accepted, "%s", describe(outcome).c_str());
    cr_assert_eq(cluster.headVersion(), 2);
}

// Guards against a conflict that is reported for a committed change when another operator's change follows it before the retry.
Test(ConfigurationService, lostCommitResponseFollowedByAnotherChange)
{
    ConfigurationCluster cluster(1, "");
    ConfigurationStore store(cluster.hosts[0]->table, cluster.hosts[0]->objects);
    bool done = false;
    boost::asio::spawn(cluster.context, [&](const boost::asio::yield_context &yield) {
        const auto deadline = BootClock::now() + std::chrono::seconds(2);
        const auto base = std::get<ConfigurationHead>(store.readHead(deadline, yield));
        const ConfigurationHead first{ConfigurationVersion(1), std::string(32, 'a'), "first", "operation-1"};
        cr_assert(std::holds_alternative<HeadCommitted>(store.commit(base, first, "{}", deadline, yield)));
        const auto next = std::get<ConfigurationHead>(store.readHead(deadline, yield));
        const ConfigurationHead second{ConfigurationVersion(2), std::string(32, 'b'), "second", "operation-2"};
        cr_assert(std::holds_alternative<HeadCommitted>(store.commit(next, second, "{}", deadline, yield)));
        // The first operator's host has no response and retries its commit.
        cr_assert(std::holds_alternative<HeadCommitted>(store.commit(base, first, "{}", deadline, yield)));
        const ConfigurationHead other{ConfigurationVersion(1), std::string(32, 'c'), "other", "operation-3"};
        cr_assert(std::holds_alternative<HeadConflict>(store.commit(base, other, "{}", deadline, yield)));
        done = true;
    });
    cr_assert(cluster.runUntil([&] { return done; }, 4000));
}

// Guards against a change that is reported as refused but takes effect when its delayed transaction arrives.
Test(ConfigurationService, delayedCommitIsFenced)
{
    ConfigurationCluster cluster(1, "");
    ConfigurationStore store(cluster.hosts[0]->table, cluster.hosts[0]->objects);
    // All attempts of the transaction time out; the fence gets a response.
    cluster.control(cluster.tableServer.address(), {{"mode", "frozen"}, {"only", "writes"}, {"count", 4}});
    std::optional<HeadCommitResult> result;
    boost::asio::spawn(cluster.context, [&](const boost::asio::yield_context &yield) {
        const ConfigurationHead next{ConfigurationVersion(1), std::string(32, 'a'), "author", "operation-1"};
        result = store.commit(ConfigurationHead{}, next, "{}", BootClock::now() + std::chrono::milliseconds(600), yield);
    });
    cr_assert(cluster.runUntil([&] { return result.has_value(); }, 5000));
    cr_assert(std::holds_alternative<Unavailable>(*result), "alternative %zu", result->index());
    const auto delayed = cluster.tableStore.transact({{"transaction", "t"},
        {"conditions", {{{"key", "configuration/head"}, {"version", 0U}}}},
        {"puts", {{{"key", "configuration/head"}, {"value", {{"version", 1U}, {"operation", "operation-1"}}}}}},
        {"deletes", nlohmann::json::array()}});
    cr_assert_eq(delayed.status, 409, "%s", delayed.body.c_str());
}

// Guards against stale reads of the table service that revert a host or lead to a commit on an old version.
Test(ConfigurationService, staleReader)
{
    ConfigurationCluster cluster;
    cluster.control(cluster.tableServer.address(), {{"mode", "stale-reads"}});
    cr_assert(cluster.change(0, "set tenant museum weight 5", 1).status == ChangeStatus::Accepted);
    cluster.runFor(20);
    cr_assert(cluster.allAt(2));

    const auto onStale = cluster.change(1, "set tenant museum weight 6");
    cr_assert(onStale.status == ChangeStatus::Refused || onStale.status == ChangeStatus::Conflict, "%s", describe(onStale).c_str());
    cr_assert_eq(cluster.headVersion(), 2);

    // A restarted host reads version 1 from the store and receives version 2 from its peers.
    cluster.kill(5);
    cluster.add(5);
    cr_assert(cluster.runUntil([&] { return cluster.hosts[5]->version() == 1; }, 2000));
    cluster.exchangeDigests();
    cr_assert(cluster.runUntil([&] { return cluster.allAt(2); }, 2000));
    cluster.runFor(1200);
    cr_assert(cluster.allAt(2));
}

// Guards against a restarted host that gets no configuration while the store or all peers are unavailable.
Test(ConfigurationService, restartedHost)
{
    ConfigurationCluster cluster;
    cluster.kill(5);
    cr_assert(cluster.change(0, "set tenant museum weight 5", 1).status == ChangeStatus::Refused, "hill has one of two hosts, which is no majority");
    cluster.add(5);
    cr_assert(cluster.runUntil([&] { return cluster.hosts[5]->version() == 1; }, 2000));

    cluster.control(cluster.tableServer.address(), {{"mode", "down"}});
    cluster.kill(5);
    cluster.add(5);
    cluster.runFor(100);
    cr_assert_not(cluster.hosts[5]->service->isStarted());
    cluster.exchangeDigests();
    cr_assert(cluster.runUntil([&] { return cluster.hosts[5]->version() == 1; }, 2000));
    cr_assert(cluster.hosts[5]->service->isStarted());
}

// Guards against a change that is committed although the hosts of one region are unreachable.
Test(ConfigurationService, unreachableRegionBlocksChanges)
{
    ConfigurationCluster cluster;
    cluster.dropsMessage = [](const HostId &from, const HostId &to, const PeerMessage & /*message*/) {
        return isInRegion(from, "hill") != isInRegion(to, "hill");
    };
    for (const std::size_t operatorHost : {0, 2}) {
        const auto outcome = cluster.change(operatorHost, "set tenant museum weight 5", 1);
        cr_assert(outcome.status == ChangeStatus::Refused, "%s", describe(outcome).c_str());
        const auto named = [&](const char *region) {
            return std::find(outcome.regions.begin(), outcome.regions.end(), RegionId(region)) != outcome.regions.end();
        };
        cr_assert(operatorHost == 0 ? named("hill") : named("gulf") && named("plains"));
    }
    cr_assert(cluster.allAt(1));
    cr_assert_eq(cluster.headVersion(), 1);
}

// Guards against a change that is accepted before every region has confirmed it, and against hosts that never catch up after a lost commit message.
Test(ConfigurationService, lostPushIsPendingAndRepaired)
{
    ConfigurationCluster cluster;
    cluster.dropsMessage = [](const HostId & /*from*/, const HostId &to, const PeerMessage &message) { return isInRegion(to, "hill") && is<Commit>(message); };
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Pending, "%s", describe(outcome).c_str());
    cr_assert_eq(outcome.regions.size(), 1);
    cr_assert_eq(outcome.regions[0].value(), "hill");
    cr_assert_eq(cluster.hosts[2]->version(), 1);
    cluster.exchangeDigests();
    cr_assert(cluster.runUntil([&] { return cluster.allAt(2); }, 1000));
}

// Guards against a zone that misses a change because the host that should forward the commit is unresponsive.
Test(ConfigurationService, unresponsiveForwarderIsReplaced)
{
    ConfigurationCluster cluster;
    // Both hosts of hill are in one zone; the first one prepares the change but never receives the commit.
    cluster.members[5].zone = cluster.members[2].zone;
    cluster.hosts[0]->state.updateRouting([&](RoutingView &view) { view.hosts = cluster.members; });
    cluster.dropsMessage = [](const HostId & /*from*/, const HostId &to, const PeerMessage &message) { return to.value() == "hill-a" && is<Commit>(message); };
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Accepted, "%s", describe(outcome).c_str());
    cr_assert_eq(cluster.hosts[2]->version(), 1);
    cr_assert_eq(cluster.hosts[5]->version(), 2);
}

// Guards against a host that receives the commit and does not forward it, so that the rest of its zone gets the change only by heartbeats.
Test(ConfigurationService, pushIsForwardedInTheZone)
{
    ConfigurationCluster cluster;
    cluster.members[5].zone = cluster.members[2].zone;
    cluster.hosts[0]->state.updateRouting([&](RoutingView &view) { view.hosts = cluster.members; });
    cluster.dropsMessage = [](const HostId &from, const HostId &to, const PeerMessage &message) {
        return from.value() == "gulf-a" && to.value() == "hill-b" && is<Commit>(message);
    };
    cr_assert(cluster.change(0, "set tenant museum weight 5", 1).status == ChangeStatus::Accepted);
    cluster.runFor(30);
    cr_assert(cluster.allAt(2));
}

// Guards against a change that is accepted without the store, or reported with a wrong outcome while the store is unavailable.
ParameterizedTestParameters(ConfigurationService, storeUnavailable)
{
    static FaultMode modes[] = {{"down"}, {"frozen"}};
    return cr_make_param_array(FaultMode, modes, std::size(modes));
}

ParameterizedTest(FaultMode *mode, ConfigurationService, storeUnavailable)
{
    ConfigurationCluster cluster;
    cluster.control(cluster.tableServer.address(), {{"mode", mode->name}});
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Refused, "%s", describe(outcome).c_str());
    cr_assert(cluster.change(0, "set tenant museum weight 5", 1, true).status == ChangeStatus::DryRun);
    cr_assert(cluster.change(0, "set tenant musem weight 5", 1, true).status == ChangeStatus::Invalid);
    cluster.control(cluster.tableServer.address(), {{"mode", "normal"}});
    cr_assert_eq(cluster.headVersion(), 1);
    cr_assert(cluster.allAt(1));
    cr_assert(cluster.change(0, "set tenant museum weight 5", 1).status == ChangeStatus::Accepted);
}

// Guards against a wrong outcome when the store fails between the check and the commit.
Test(ConfigurationService, storeUnavailableBeforeCommit)
{
    ConfigurationCluster cluster;
    cluster.control(cluster.tableServer.address(), {{"mode", "frozen"}, {"only", "writes"}});
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Refused || outcome.status == ChangeStatus::Unknown, "%s", describe(outcome).c_str());
    cluster.control(cluster.tableServer.address(), {{"mode", "normal"}});
    cluster.runFor(800);
    cr_assert(cluster.allAt(cluster.headVersion()));
    cr_assert(outcome.status == ChangeStatus::Unknown || cluster.headVersion() == 1);
}

// Guards against a host without contact to others that gets a change only at the next periodic read of the store, although
// another store row has already shown the newer version.
Test(ConfigurationService, versionReadFromTheStoreIsFetched)
{
    ConfigurationCluster cluster;
    cluster.members[3].region = RegionId("hill");
    for (const auto &host : cluster.hosts) {
        host->state.updateRouting([&](RoutingView &view) { view.hosts = cluster.members; });
    }
    cluster.dropsMessage = [](const HostId &from, const HostId &to, const PeerMessage & /*message*/) {
        return from.value() == "hill-b" || to.value() == "hill-b";
    };
    const auto outcome = cluster.change(0, "set tenant museum weight 5", 1);
    cr_assert(outcome.status == ChangeStatus::Accepted, "%s", describe(outcome).c_str());
    cr_assert_eq(cluster.hosts[5]->version(), 1);
    cluster.hosts[5]->service->recordCommittedVersion(ConfigurationVersion(2));
    cr_assert(cluster.runUntil([&] { return cluster.hosts[5]->version() == 2; }, 1500), "version %lu", cluster.hosts[5]->version());
}

// Guards against a host that keeps dispatching with an old configuration when it can't fetch the newer one.
Test(ConfigurationService, hostThatCannotFollowIsNotCurrent)
{
    ConfigurationCluster cluster;
    cluster.control(cluster.tableServer.address(), {{"mode", "down"}});
    auto &service = *cluster.hosts[0]->service;
    service.handle(HostId("gulf-b"), HeartbeatAck{1, Epoch(1), ConfigurationVersion(2), true});
    cr_assert(service.isCurrent(BootClock::now() + std::chrono::milliseconds(1900)));
    cr_assert_not(service.isCurrent(BootClock::now() + std::chrono::milliseconds(2000)));
}

// Guards against configuration copies that come into force although they are damaged or of an old version.
Test(ConfigurationService, invalidCopiesAreRejected)
{
    ConfigurationCluster cluster;
    auto &service = *cluster.hosts[0]->service;
    Configuration next = *service.configuration();
    next.version = ConfigurationVersion(5);
    next.tenants[0].weight = 55;
    const std::string document = toJson(next).dump();
    service.handle(HostId("gulf-b"), ConfigurationCopy{next.version, std::string(32, '0'), document});
    service.handle(HostId("gulf-b"), ConfigurationCopy{ConfigurationVersion(6), digest(next), document});
    service.handle(HostId("gulf-b"), ConfigurationCopy{next.version, digest(next), "{"});
    cr_assert_eq(service.configuration()->version.value(), 1);
    service.handle(HostId("gulf-b"), ConfigurationCopy{next.version, digest(next), document});
    cr_assert_eq(service.configuration()->version.value(), 5);
    next.version = ConfigurationVersion(4);
    service.handle(HostId("gulf-b"), ConfigurationCopy{next.version, digest(next), toJson(next).dump()});
    cr_assert_eq(service.configuration()->version.value(), 5);
}

// Guards against slot counters that are reset by a change, and against a drain that does not reach the request path.
Test(ConfigurationService, upstreamStateSurvivesChanges)
{
    ConfigurationCluster cluster;
    const auto upstream = [&] { return cluster.hosts[0]->state.routing.read([](const RoutingView &view) { return view.upstreams.at(0); }); };
    const auto before = upstream();
    cr_assert_not(before->leaving);
    for (const char *drain : {"drain upstream u", "undrain upstream u; drain zone gulf-a", "undrain zone gulf-a; drain region gulf"}) {
        cr_assert(cluster.change(0, drain).status == ChangeStatus::Accepted);
        cr_assert(upstream()->leaving, "%s", drain);
    }
    cr_assert(cluster.change(0, "undrain region gulf; set upstream u weight 3").status == ChangeStatus::Accepted);
    cr_assert_not(upstream()->leaving);
    cluster.hosts[0]->service->setLeavingUpstreams({UpstreamId("u")});
    cr_assert(upstream()->leaving);
    cr_assert_eq(upstream()->configuration.weight, 3);
    cr_assert_eq(upstream()->slots, before->slots);
    cr_assert(cluster.hosts[1]->state.routing.read([](const RoutingView &view) { return view.upstreams.empty(); }));
}
