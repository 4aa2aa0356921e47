#pragma once

#include "deployment.h"
#include "measures.h"
#include "virtualtime.h"

#include <LibSteering/admissionqueue.h>
#include <LibSteering/dispatchgate.h>
#include <LibSteering/hostranking.h>
#include <LibSteering/regionselector.h>
#include <LibSteering/relaytargets.h>
#include <LibSteering/retrybudget.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Trefoil::Bench
{

/// One request of a caller.
struct Request
{
    std::uint64_t id = 0;
    std::size_t service = 0;
    std::size_t home = 0;
    std::size_t client = 0;
    std::size_t tenant = 0;
    bool mayWait = false;
    bool mayRepeat = true;
    BootTime start;
    BootTime deadline;
    /// Host that the caller talks to.
    std::size_t entryHost = 0;
    bool relayed = false;
    /// The relay under way, if any.
    std::shared_ptr<RelayPlace> relay;
    int attempts = 0;
    /// Rises when the caller gives an unanswered host up, so that a late pick-up there is ignored.
    int sends = 0;
    bool pickedUp = false;
    bool ended = false;
};

using RequestPointer = std::shared_ptr<Request>;

/// An upstream with its true state, which no host sees.
struct FakeUpstream
{
    std::size_t service = 0;
    std::size_t region = 0;
    std::size_t zone = 0;
    int slots = 0;
    double slowness = 1;
    bool lies = false;
    bool alive = true;
    /// Dead without an answer: connections time out instead of being refused.
    bool silent = false;
    bool leaving = false;
    BootTime leavingSince;
    int inFlight = 0;
    int servedSinceStart = 0;
    int life = 0;
    float reported = 0;
};

/// What a host keeps for one service.
struct HostService
{
    std::shared_ptr<UpstreamGroup> group;
    /// In the order of the region's upstreams of the service.
    std::vector<std::shared_ptr<UpstreamSlots>> slots;
    std::vector<std::shared_ptr<UpstreamTracker>> trackers;
    std::shared_ptr<UpstreamSlots> limit;
    std::shared_ptr<ShiftWindow> shift;
    std::shared_ptr<UpstreamSelector> selector;
    std::unique_ptr<DispatchGate> gate;
    std::unique_ptr<RegionSelector> regions;
    std::shared_ptr<RegionBalance> balance;
    std::unique_ptr<AdmissionQueue> queue;
    std::unordered_map<std::uint64_t, RequestPointer> waiting;
    std::unique_ptr<RetryBudget> retries;
    double serviceSeconds = 0.03;
    std::unique_ptr<RelayTargets> targets;
    /// Hosts of the targets, in their order.
    std::vector<std::size_t> targetHosts;
    std::map<std::size_t, std::shared_ptr<RelayCounter>> relaysToHost;
    std::map<std::size_t, std::shared_ptr<RelayCounter>> relaysToRegion;
    /// Mean of the free slots over about the time between two heartbeats.
    double meanFree = 0;
};

struct FakeHost
{
    std::size_t region = 0;
    std::size_t zone = 0;
    bool alive = true;
    bool silent = false;
    BootTime pausedUntil;
    BootTime diedAt;
    BootTime lastSeen;
    bool reclaimed = false;
    int life = 0;
    std::unique_ptr<LeaseGuard> lease;
    BootTime leaseEnd;
    std::vector<HostService> services;
    /// Budgets of the links to the other regions, by region.
    std::vector<std::shared_ptr<LinkBudget>> links;
    std::vector<VirtualTime::Action> inbox;
};

/// Drives the decisions of all hosts of a deployment through one case in virtual time. The fakes around the decisions are: upstreams with
/// slots, service times, cold starts and shedding; reports that lag by a second; a grant table; heartbeats; callers with look-ups.
class DecisionRun
{
public:
    DecisionRun(const Deployment &deployment, const CaseModel &model, const PolicyModel &policy, std::uint64_t seed);

    Measures run();

private:
    using Duration = std::chrono::nanoseconds;

    struct Client
    {
        std::vector<std::uint16_t> order;
        std::size_t place = 0;
        BootTime resolvedAt;
    };

    void createUpstreams();
    void createHosts();
    void resetServices(FakeHost &host);
    void startTimers();
    void every(Duration interval, std::function<void()> action);
    void scheduleCase();

    void arriveNext(std::size_t region, std::size_t service);
    double demand(std::size_t region, std::size_t service) const;
    void send(const RequestPointer &request);
    void giveHostUp(const RequestPointer &request, std::size_t host, Duration after);
    void onHost(std::size_t host, int life, VirtualTime::Action action, VirtualTime::Action lost);
    void serve(std::size_t host, const RequestPointer &request, bool ownShiftFull = false);
    bool relayWithinRegion(std::size_t host, const RequestPointer &request);
    void relayToRegion(std::size_t host, const RequestPointer &request, std::size_t region, const std::shared_ptr<LinkReservation> &link);
    void sampleFreeSlots();
    void dispatchOrQueue(std::size_t host, const RequestPointer &request);
    void enqueue(std::size_t host, const RequestPointer &request);
    void retryLater(std::size_t host, const RequestPointer &request);
    void pump(std::size_t host, std::size_t service);
    void expire(std::size_t host, std::size_t service);
    void startOn(std::size_t host, const RequestPointer &request, const std::shared_ptr<Dispatch> &dispatch);
    void arriveAtUpstream(
        std::size_t host, int life, const RequestPointer &request, const std::shared_ptr<Dispatch> &dispatch, FakeUpstream &upstream, BootTime sent);
    void finishOnHost(std::size_t host,
        int life,
        const RequestPointer &request,
        const std::shared_ptr<Dispatch> &dispatch,
        UpstreamOutcome outcome,
        BootTime sent,
        Duration after);
    void retryOrEnd(std::size_t host, const RequestPointer &request, UpstreamOutcome outcome);
    void answer(std::size_t host, const RequestPointer &request);
    enum class End {
        Answered,
        NotRun,
        Unknown,
    };
    void end(const RequestPointer &request, End how);

    void heartbeats();
    void rebuildRegions(FakeHost &host);
    void reclaimSilentHosts();
    void moveGrants();
    void moveSlotGrants(std::size_t region, std::size_t service, const std::vector<std::size_t> &members);
    void applyLimit(HostService &service);
    void reportLoads();
    void resolveHosts();
    void sampleHeadroom();
    void watchDrain();

    void killUpstream(FakeUpstream &upstream, bool silent);
    void restartUpstream(std::size_t index);
    void setLeavingOnHosts(std::size_t index, bool leaving, bool restarted);
    void killHost(std::size_t host, bool silent);
    void startHost(std::size_t host);
    void loseZone(std::size_t region, int zone);
    void disturbHosts();

    bool isRunning(const FakeHost &host) const;
    bool isRegionOpen(std::size_t region) const;
    std::vector<std::size_t> upstreamsOf(std::size_t region, std::size_t service) const;
    std::size_t indexOfUpstream(const UpstreamTracker &tracker) const;
    Duration zoneDelay(std::size_t zoneA, std::size_t zoneB) const;
    Duration regionDelay(std::size_t a, std::size_t b) const;
    static double uniform(pcg32 &generator);
    static double exponential(pcg32 &generator, double mean);

    Deployment m_deployment;
    CaseModel m_case;
    PolicyModel m_policy;
    pcg32 m_generator;
    /// Arrivals and faults have generators of their own, so that all policies meet the same ones.
    pcg32 m_arrivals;
    pcg32 m_faults;
    VirtualTime m_time;
    std::vector<FakeUpstream> m_upstreams;
    std::vector<FakeHost> m_hosts;
    std::vector<RegionId> m_regionIds;
    std::vector<std::vector<Client>> m_clients;
    std::unique_ptr<HostRanking> m_ranking;
    /// Slots granted by the table: by upstream and host.
    std::map<std::pair<std::size_t, std::size_t>, int> m_held;
    std::vector<std::size_t> m_membersOfShares;
    std::vector<bool> m_drained;
    std::vector<BootTime> m_regionSeen;
    /// By service and region.
    std::map<std::pair<std::size_t, std::size_t>, ExactWindow> m_shifted;
    /// By region pair.
    std::map<std::pair<std::size_t, std::size_t>, ExactWindow> m_linkBytes;
    std::vector<double> m_freeSum;
    /// Slot seconds that the requests refused in this second would have needed.
    std::vector<double> m_unmet;
    int m_freeSamples = 0;
    bool m_frozen = false;
    std::uint64_t m_nextRequest = 0;
    Measures m_measures;
};

/// Requests that may be moved into a region in each interval: 40% of what its upstreams can do in that time.
std::int64_t shiftCap(const ServiceModel &service, std::size_t regions);

} // namespace Trefoil::Bench
