#include <LibSteering/affinityranking.h>
#include <LibSteering/coldpacer.h>
#include <LibSteering/placement.h>
#include <LibSteering/retryallowance.h>
#include <LibSteering/slotdemand.h>
#include <LibSteering/spillshare.h>
#include <LibSteering/trafficsplit.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <list>
#include <map>
#include <pcg_random.hpp>
#include <set>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

UpstreamIdentity identity(const std::string &id, const std::string &zone, const std::string &region, int slots = 4)
{
    return {UpstreamId(id), ServiceId("service"), "127.0.0.1:1", ZoneId(zone), RegionId(region), SlotCount(slots), 0};
}

PlacementSettings settings()
{
    PlacementSettings result;
    result.zone = ZoneId("gulf-a");
    result.region = RegionId("gulf");
    return result;
}

PlacementQuery query(const WorkEstimate &work, std::uint64_t key, BootTime now)
{
    PlacementQuery result;
    result.keyHash = key;
    result.targetLatency = 600ms;
    result.timeLeft = 4000ms;
    result.work = &work;
    result.slotTime = 264ms;
    result.now = now;
    return result;
}

} // namespace

// Load pattern: many keys over several upstreams. Guards against hosts that disagree, and against a joining upstream that moves keys between the
// others, which would make their caches useless.
Test(AffinityRanking, joiningUpstreamMovesOnlyItsOwnKeys)
{
    constexpr int keys = 6000;
    std::map<int, int> perUpstream;
    int moved = 0;
    for (int key = 0; key < keys; ++key) {
        const std::uint64_t keyHash = stableHash("key" + std::to_string(key));
        const auto best = [keyHash](int upstreams) {
            int first = 0;
            for (int i = 1; i < upstreams; ++i) {
                const auto score = [keyHash](int upstream) { return affinityScore(keyHash, stableHash("u" + std::to_string(upstream)), 4); };
                first = score(i) > score(first) ? i : first;
            }
            return first;
        };
        ++perUpstream[best(6)];
        moved += best(6) != best(7) && best(7) != 6 ? 1 : 0;
    }
    cr_assert_eq(moved, 0);
    for (const auto &[upstream, count] : perUpstream) {
        cr_assert(std::abs(count - keys / 6) < keys / 30, "upstream %d has %d keys", upstream, count);
    }
}

// Load pattern: a split 90:10 in short runs. Guards against a part that receives none of 300 requests, or more than its weight.
Test(TrafficSplit, anyRunFollowsTheWeights)
{
    TrafficSplit split({90, 10, 0});
    std::array<int, 3> counts{};
    for (int i = 1; i <= 300; ++i) {
        ++counts[split.next()];
        cr_assert(std::abs(counts[1] - i * 0.1) <= 1, "after %d requests", i);
    }
    cr_assert_eq(counts[2], 0);
}

// Load pattern: every request fails at its first upstream, on 12 hosts at once. Guards against more retries in any window than all hosts together may
// send.
Test(RetryAllowance, allHostsTogetherStayWithinTheBudget)
{
    constexpr std::size_t hosts = 12;
    const RetryAllowanceSettings budget{0.2, 60, 10000ms};
    std::list<RetryAllowance> allowances;
    for (std::size_t i = 0; i < hosts; ++i) {
        allowances.emplace_back(budget);
    }
    std::vector<std::pair<std::int64_t, bool>> events;
    for (std::int64_t millisecond = 0; millisecond < 40000; millisecond += 60) {
        for (RetryAllowance &allowance : allowances) {
            const BootTime now = s_start + std::chrono::milliseconds(millisecond);
            allowance.recordRequest(now);
            events.emplace_back(millisecond, false);
            if (allowance.tryAcquire(now, hosts)) {
                events.emplace_back(millisecond, true);
            }
        }
    }
    int retriesInAll = 0;
    for (std::int64_t begin = 0; begin < 30000; begin += 500) {
        double requests = 0;
        double retries = 0;
        for (const auto &[at, isRetry] : events) {
            if (at >= begin && at < begin + 10000) {
                (isRetry ? retries : requests) += 1;
            }
        }
        cr_assert(retries <= 0.2 * requests + 60, "window at %ld ms", static_cast<long>(begin));
        retriesInAll += static_cast<int>(retries);
    }
    cr_assert(retriesInAll > 0);
}

namespace
{

struct EarnedSlackCase
{
    char name[48];
    bool isFirstStart;
    std::int64_t ageMilliseconds;
    int requests;
    int expected;
};

} // namespace

// Guards against a new process that uses the share which the process before it has used up, and against one that never gets its share.
ParameterizedTestParameters(RetryAllowance, aNewProcessEarnsItsShare)
{
    // The share of one of two hosts is 0.7 * 60 / 2 = 21; 0.4 of it is earned in the first 10 s.
    static EarnedSlackCase cases[] = {
        {"first start of the deployment", true, 0, 0, 21},
        {"first start of the deployment, requests", true, 0, 100, 35},
        {"at the start", false, 0, 0, 0},
        {"at the start, requests count at once", false, 0, 100, 14},
        {"half a window", false, 5000, 0, 4},
        {"a window", false, 10000, 0, 8},
        {"a window, requests", false, 10000, 100, 22},
        {"two windows", false, 20000, 0, 16},
        {"two and a half windows", false, 25000, 0, 21},
        {"an hour", false, 3600000, 0, 21},
        {"a clock before the start", false, -1000, 100, 14},
    };
    return cr_make_param_array(EarnedSlackCase, cases, std::size(cases));
}

ParameterizedTest(EarnedSlackCase *testCase, RetryAllowance, aNewProcessEarnsItsShare)
{
    RetryAllowanceSettings budget{0.2, 60, 10000ms};
    if (!testCase->isFirstStart) {
        budget.startedAt = s_start;
    }
    RetryAllowance allowance(budget);
    const BootTime now = s_start + std::chrono::milliseconds(testCase->ageMilliseconds);
    for (int i = 0; i < testCase->requests; ++i) {
        allowance.recordRequest(now);
    }
    int acquired = 0;
    while (acquired < 1000 && allowance.tryAcquire(now, 2)) {
        ++acquired;
    }
    cr_assert_eq(acquired, testCase->expected, "%s: %d", testCase->name, acquired);
}

namespace
{

struct RestartCase
{
    char name[48];
    /// Of ten hosts, how many are killed each time.
    std::size_t killed;
    int intervalMilliseconds;
    /// Whether processes live long enough to earn a whole retry, at two requests a second.
    bool isRetryEarned;
};

} // namespace

// Load pattern: every attempt of ten hosts fails, while hosts are killed again and again and start within 0.2 s. Guards against more
// retries in any window than all hosts together may send, because each new process has a share of its own.
ParameterizedTestParameters(RetryAllowance, restartsInSeriesStayWithinTheBudget)
{
    static RestartCase cases[] = {
        {"every 0.5 s, 6 of 10", 6, 500, false},
        {"every 1.3 s, 6 of 10", 6, 1300, true},
        {"every 1.3 s, all", 10, 1300, false},
        {"every 4.9 s, all", 10, 4900, true},
        {"every 9.9 s, all", 10, 9900, true},
        {"every 10.1 s, all", 10, 10100, true},
        {"every 13 s, all", 10, 13000, true},
        {"every 24 s, all", 10, 24000, true},
    };
    return cr_make_param_array(RestartCase, cases, std::size(cases));
}

ParameterizedTest(RestartCase *testCase, RetryAllowance, restartsInSeriesStayWithinTheBudget)
{
    constexpr std::size_t hosts = 10;
    constexpr std::int64_t firstKill = 15000;
    constexpr std::int64_t end = 80000;
    constexpr std::int64_t downTime = 200;
    constexpr std::int64_t window = 10000;
    RetryAllowanceSettings budget{0.2, 60, std::chrono::milliseconds(window)};
    std::vector<std::unique_ptr<RetryAllowance>> allowances;
    std::vector<std::int64_t> upSince(hosts, 0);
    for (std::size_t i = 0; i < hosts; ++i) {
        allowances.push_back(std::make_unique<RetryAllowance>(budget));
    }
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;
    std::size_t nextKilled = 0;
    for (std::int64_t millisecond = 0; millisecond < end; millisecond += 20) {
        const BootTime now = s_start + std::chrono::milliseconds(millisecond);
        if (millisecond >= firstKill && (millisecond - firstKill) % testCase->intervalMilliseconds == 0) {
            for (std::size_t i = 0; i < testCase->killed; ++i) {
                const std::size_t host = nextKilled++ % hosts;
                upSince[host] = millisecond + downTime;
                budget.startedAt = s_start + std::chrono::milliseconds(upSince[host]);
                allowances[host] = std::make_unique<RetryAllowance>(budget);
            }
        }
        if (millisecond % 500 != 0) {
            continue;
        }
        for (std::size_t host = 0; host < hosts; ++host) {
            if (millisecond < upSince[host]) {
                continue;
            }
            allowances[host]->recordRequest(now);
            requests.push_back(millisecond);
            // As many as four more attempts for each request.
            for (int attempt = 0; attempt < 4 && allowances[host]->tryAcquire(now, hosts); ++attempt) {
                retries.push_back(millisecond);
            }
        }
    }
    const auto countIn = [](const std::vector<std::int64_t> &times, std::int64_t begin) {
        return std::count_if(times.begin(), times.end(), [begin](std::int64_t time) { return time >= begin && time < begin + window; });
    };
    for (std::int64_t begin = 0; begin <= end - window; begin += 100) {
        const auto allowed = budget.ratio * static_cast<double>(countIn(requests, begin)) + budget.slack;
        const auto counted = countIn(retries, begin);
        cr_assert(static_cast<double>(counted) <= allowed,
            "%s: %ld retries from %ld ms, %g allowed",
            testCase->name,
            static_cast<long>(counted),
            static_cast<long>(begin),
            allowed);
    }
    cr_assert_eq(countIn(retries, end - window) > 0,
        testCase->isRetryEarned,
        "%s: %ld retries in the last window",
        testCase->name,
        static_cast<long>(countIn(retries, end - window)));
}

// Guards against a burst of requests that acquired their permits at intervals but then waited for connections.
Test(ColdPacer, requestsAreCountedWhenTheyAreSent)
{
    const ColdRateLimit limit{2, 1000ms};
    ColdPacer pacer;
    cr_assert(pacer.canSend(s_start, limit));
    pacer.recordSent(s_start, limit);
    cr_assert(pacer.canSend(s_start + 10ms, limit));
    pacer.recordSent(s_start + 10ms, limit);
    cr_assert_not(pacer.canSend(s_start + 20ms, limit));
    cr_assert_not(pacer.canSend(s_start + 999ms, limit));
    cr_assert(pacer.canSend(s_start + 1000ms, limit));
    pacer.recordSent(s_start + 1000ms, limit);
    cr_assert_not(pacer.canSend(s_start + 1009ms, limit));
    pacer.pauseUntil(s_start + 5s);
    pacer.pauseUntil(s_start + 3s);
    cr_assert_not(pacer.canSend(s_start + 4999ms, limit));
    cr_assert(pacer.canSend(s_start + 5s, limit));
}

// Load pattern: every host has requests for an upstream that has just started. Guards against a rate of all hosts together that crashes the upstream,
// also while hosts have different lists of live hosts.
Test(ColdPacer, allHostsTogetherStayBelowTheRate)
{
    constexpr double rate = 3.2 * 1.5 + 5;
    constexpr std::size_t warmUpHosts = 2;
    std::vector<std::uint64_t> hosts;
    hosts.reserve(12);
    for (int i = 0; i < 12; ++i) {
        hosts.push_back(stableHash("host" + std::to_string(i)));
    }
    const std::vector<std::uint64_t> halfOfTheHosts(hosts.begin(), hosts.begin() + 6);
    std::vector<std::int64_t> sent;
    for (int i = 0; i < 12; ++i) {
        // Half of the hosts do not have the other half in their list.
        const auto &liveHosts = i < 6 ? halfOfTheHosts : hosts;
        ColdPacer pacer;
        for (std::int64_t millisecond = 0; millisecond < 3000; millisecond += 7) {
            const bool isWarmUp = isWarmUpHost(stableHash("upstream"), hosts[static_cast<std::size_t>(i)], liveHosts, warmUpHosts);
            const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(warmUpHosts / (rate * 0.5)));
            if (isWarmUp && pacer.tryAcquire(s_start + std::chrono::milliseconds(millisecond), interval)) {
                sent.push_back(millisecond);
            }
        }
    }
    cr_assert(!sent.empty());
    for (std::int64_t begin = 0; begin < 2000; begin += 10) {
        const auto inSecond = std::count_if(sent.begin(), sent.end(), [begin](std::int64_t at) { return at >= begin && at < begin + 1000; });
        cr_assert(static_cast<double>(inSecond) <= rate, "%ld requests in the second at %ld ms", static_cast<long>(inSecond), static_cast<long>(begin));
    }
}

namespace
{

struct SpillCase
{
    char name[40];
    /// Load per slot of the host's region, before and after the tenth second.
    double before;
    double after;
    /// Slots of the host's region before and after the tenth second, and of the others.
    double slotsBefore;
    double slotsAfter;
    double others;
    double minimumEnd;
    double maximumEnd;
};

} // namespace

// Load pattern: load or free slots that change suddenly. Guards against more than 15% of a region's requests that change their region between two
// windows of 2 s, and against a share that never converges.
ParameterizedTestParameters(SpillShare, changesSlowlyAndConverges)
{
    static SpillCase cases[] = {
        {"steady load", 0.6, 0.6, 24, 24, 32, 0, 0},
        {"a region short of slots", 0.6, 0.6, 8, 8, 48, 0.5, 0.65},
        {"sudden overload", 0.5, 3, 24, 24, 32, 0.9, 1},
        {"sudden calm", 0.6, 0.1, 8, 8, 48, 0.1, 0.4},
        {"half of the slots lost", 0.6, 0.6, 24, 8, 32, 0.35, 0.45},
    };
    return cr_make_param_array(SpillCase, cases, std::size(cases));
}

ParameterizedTest(SpillCase *testCase, SpillShare, changesSlowlyAndConverges)
{
    SpillShare share({testCase->before * testCase->slotsBefore, testCase->slotsBefore, testCase->others}, {3, 0.15}, s_start);
    std::vector<double> history;
    for (int tick = 0; tick < 500; ++tick) {
        const bool isAfter = tick >= 100;
        const double slots = isAfter ? testCase->slotsAfter : testCase->slotsBefore;
        share.observe({(isAfter ? testCase->after : testCase->before) * slots, slots, testCase->others}, s_start + tick * 100ms);
        history.push_back(share.share());
        if (tick >= 20) {
            cr_assert(std::abs(history[static_cast<std::size_t>(tick)] - history[static_cast<std::size_t>(tick) - 20]) <= 0.075 + 1e-9,
                "%s: tick %d",
                testCase->name,
                tick);
        }
    }
    cr_assert(history.back() >= testCase->minimumEnd && history.back() <= testCase->maximumEnd, "%s: ends at %f", testCase->name, history.back());
}

namespace
{

enum class Expected {
    First,
    Second,
    Rejected,
};

struct PlaceCase
{
    char name[56];
    /// This host's requests at the first and at the second upstream, which have 4 slots each.
    int busyFirst;
    int busySecond;
    double meanLoad;
    double displacedValue;
    /// Failed attempts at the first upstream.
    int failures;
    bool isFirstRemote;
    Expected expected;
};

} // namespace

// Load patterns: idle, busy and overloaded upstreams, where only the first one holds the key. Guards against keys that leave their warm upstream too
// early or never, and against requests on a cold cache that take the slots of others under overload.
ParameterizedTestParameters(Placement, warmUpstreamAgainstColdOne)
{
    static PlaceCase cases[] = {
        {"idle", 0, 0, 0.0, 1, 0, false, Expected::First},
        {"warm one in use", 3, 0, 0.4, 1, 0, false, Expected::First},
        {"warm one with a short queue", 5, 0, 0.4, 1, 0, false, Expected::First},
        {"warm one with a long queue", 11, 0, 0.4, 1, 0, false, Expected::Second},
        {"long queue under overload, least urgent", 11, 0, 1.5, 3, 0, false, Expected::Rejected},
        {"both full", 12, 12, 1.5, 1, 0, false, Expected::Rejected},
        {"warm one fails", 0, 0, 0.2, 1, 8, false, Expected::Second},
        {"warm one in another region", 0, 0, 0.2, 1, 0, true, Expected::First},
    };
    return cr_make_param_array(PlaceCase, cases, std::size(cases));
}

ParameterizedTest(PlaceCase *testCase, Placement, warmUpstreamAgainstColdOne)
{
    const std::uint64_t key = stableHash("key");
    WorkEstimate work(600ms);
    for (int i = 0; i < 100; ++i) {
        work.record(CacheState::Cached, 264ms);
        work.record(CacheState::Likely, 300ms);
        work.record(CacheState::Unlikely, 880ms);
    }
    const std::string firstId = affinityScore(key, stableHash("a"), 4) > affinityScore(key, stableHash("b"), 4) ? "a" : "b";
    UpstreamModel first(identity(firstId, testCase->isFirstRemote ? "hill-a" : "gulf-a", testCase->isFirstRemote ? "hill" : "gulf"));
    UpstreamModel second(identity(firstId == "a" ? "b" : "a", "gulf-a", "gulf"));
    first.recordKey(key, s_start);
    for (int i = 0; i < testCase->busyFirst; ++i) {
        first.recordStart();
    }
    for (int i = 0; i < testCase->busySecond; ++i) {
        second.recordStart();
    }
    PlacementQuery request = query(work, key, s_start);
    // Only this host's own requests count here: the report leaves none for other hosts.
    for (UpstreamModel *model : {&first, &second}) {
        model->recordStart();
        model->recordEnd(AttemptOutcome::Success, std::nullopt, LoadReport{1, model->inFlight() - 1}, s_start);
    }
    for (int i = 0; i < testCase->failures; ++i) {
        first.recordStart();
        first.recordEnd(AttemptOutcome::Failed, std::nullopt, std::nullopt, s_start);
    }
    request.meanLoad = testCase->meanLoad;
    request.displacedValue = testCase->displacedValue;
    const PlacementResult result = place({&first, &second}, request, settings());
    const auto *placed = std::get_if<Placed>(&result);
    const Expected actual = !placed ? Expected::Rejected : placed->candidate == 0 ? Expected::First : Expected::Second;
    cr_assert_eq(static_cast<int>(actual), static_cast<int>(testCase->expected), "%s: %d", testCase->name, static_cast<int>(actual));
}

namespace
{

struct PricedCase
{
    char name[48];
    double load;
    double displacedValue;
    bool isPlaced;
};

} // namespace

// Load pattern: requests that keep more urgent ones from the slots. Guards against such requests that are accepted while all slots are in use, and
// that are rejected while slots are free.
ParameterizedTestParameters(Placement, requestsPayForDisplacedValue)
{
    static PricedCase cases[] = {
        {"urgent, overload", 1.5, 0.6, true},
        {"alone at its service, overload", 1.5, 1, true},
        {"long work of a low rank, overload", 1.5, 4, false},
        {"long work of a low rank, room", 0.6, 4, true},
    };
    return cr_make_param_array(PricedCase, cases, std::size(cases));
}

ParameterizedTest(PricedCase *testCase, Placement, requestsPayForDisplacedValue)
{
    WorkEstimate work(600ms);
    for (int i = 0; i < 100; ++i) {
        work.record(CacheState::Cached, 264ms);
    }
    PlacementQuery request = query(work, stableHash("key"), s_start);
    request.displacedValue = testCase->displacedValue;
    request.meanLoad = testCase->load;
    UpstreamModel upstream(identity("a", "gulf-a", "gulf"));
    upstream.recordKey(request.keyHash, s_start);
    upstream.recordStart();
    upstream.recordEnd(AttemptOutcome::Success, std::nullopt, LoadReport{1, 0}, s_start);
    cr_assert_eq(std::holds_alternative<Placed>(place({&upstream}, request, settings())), testCase->isPlaced, "%s", testCase->name);
}

// Load pattern: any mix of ranks and slot times at one service. Guards against a rank that yields to a less urgent one because its own requests take
// longer.
Test(SlotDemand, noRankPaysLessThanAMoreUrgentOne)
{
    pcg32 random(20261204);
    for (int round = 0; round < 2000; ++round) {
        SlotDemand demand;
        const auto ranks = static_cast<std::int32_t>(1 + random(5));
        std::vector<std::uint32_t> weights(static_cast<std::size_t>(ranks));
        std::generate(weights.begin(), weights.end(), [&random] { return 1 + random(20); });
        std::vector<Milliseconds> slotTimes(static_cast<std::size_t>(ranks));
        std::generate(slotTimes.begin(), slotTimes.end(), [&random] { return Milliseconds(10 + random(5000)); });
        for (int i = 0; i < 200; ++i) {
            const auto rank = static_cast<std::int32_t>(random(static_cast<std::uint32_t>(ranks)));
            if (random(20) < weights[static_cast<std::size_t>(rank)]) {
                demand.recordArrival(rank);
                demand.recordSlotTime(rank, slotTimes[static_cast<std::size_t>(rank)]);
            }
        }
        for (std::int32_t rank = 1; rank < ranks; ++rank) {
            cr_assert(demand.displacedValue(rank) >= demand.displacedValue(rank - 1) - 1e-9, "round %d, rank %d", round, rank);
        }
    }
}

// Load pattern: short urgent requests beside long requests of a low rank. Guards against long requests that cost no more than the requests of their
// own rank.
Test(SlotDemand, longRequestsOfALowRankDisplaceMuch)
{
    SlotDemand demand;
    for (int i = 0; i < 1000; ++i) {
        const bool isUrgent = i % 3 != 0;
        demand.recordArrival(isUrgent ? 0 : 2);
        demand.recordSlotTime(isUrgent ? 0 : 2, isUrgent ? 240ms : 1500ms);
    }
    cr_assert_lt(demand.displacedValue(0), 1);
    cr_assert_gt(demand.displacedValue(2), 3);
}

// Load pattern: the first requests for a key, when all upstreams are idle, cold and in another region. Guards against a rejection while slots are
// free.
Test(Placement, idleUpstreamsServeLateAndRemoteRequests)
{
    WorkEstimate work(600ms);
    for (int i = 0; i < 100; ++i) {
        work.record(CacheState::Likely, 880ms);
        work.record(CacheState::Unlikely, 880ms);
    }
    UpstreamModel far(identity("far", "hill-a", "hill"));
    for (const double load : {0.0, 0.5}) {
        PlacementQuery request = query(work, stableHash("key"), s_start);
        request.meanLoad = load;
        cr_assert(std::holds_alternative<Placed>(place({&far}, request, settings())), "load %f", load);
    }
}

namespace
{

/// Upstreams in virtual time: a request for a key that an upstream has not served yet takes longer.
class WarmingUpstreams
{
public:
    WarmingUpstreams(int count, int slots)
        : m_slots(slots)
        , m_free(static_cast<std::size_t>(count), std::vector<BootTime>(static_cast<std::size_t>(slots), s_start))
        , m_warmSince(static_cast<std::size_t>(count))
    {
        for (int i = 0; i < count; ++i) {
            m_models.emplace_back(identity("u" + std::to_string(i), "gulf-a", "gulf", slots));
        }
    }

    std::vector<UpstreamModel *> models()
    {
        std::vector<UpstreamModel *> result;
        for (UpstreamModel &model : m_models) {
            result.push_back(&model);
        }
        return result;
    }

    /// Runs one request and returns the time at which it ends.
    BootTime run(std::size_t upstream, std::uint64_t key, BootTime now)
    {
        auto slot = std::min_element(m_free[upstream].begin(), m_free[upstream].end());
        const auto warmSince = m_warmSince[upstream].find(key);
        const BootTime begin = std::max(now, *slot);
        const bool isWarm = warmSince != m_warmSince[upstream].end() && warmSince->second <= begin;
        *slot = begin + (isWarm ? 264ms : 880ms);
        if (warmSince == m_warmSince[upstream].end()) {
            m_warmSince[upstream].emplace(key, *slot);
        }
        return *slot;
    }

    int slots() const
    {
        return m_slots;
    }

private:
    int m_slots;
    std::list<UpstreamModel> m_models;
    std::vector<std::vector<BootTime>> m_free;
    std::vector<std::map<std::uint64_t, BootTime>> m_warmSince;
};

struct End
{
    BootTime at;
    std::size_t upstream;
    std::uint64_t key;
    BootTime sentAt;
    Placed placed;
};

/// Fraction of the requests that end within 600 ms, over the last half of 40 s.
double fractionServedInTime(double requestsPerSecond, std::uint64_t seed)
{
    constexpr int upstreams = 6;
    constexpr std::uint32_t keys = 72;
    WarmingUpstreams world(upstreams, 4);
    auto models = world.models();
    WorkEstimate work(600ms);
    Milliseconds slotTime{264};
    double load = 0;
    std::vector<End> ends;
    pcg32 random(seed);
    int arrivals = 0;
    int inTime = 0;
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / requestsPerSecond));
    for (BootTime now = s_start; now < s_start + 40s; now += interval) {
        std::sort(ends.begin(), ends.end(), [](const End &a, const End &b) { return a.at < b.at; });
        while (!ends.empty() && ends.front().at <= now) {
            const End end = ends.front();
            ends.erase(ends.begin());
            UpstreamModel &model = *models[end.upstream];
            const LoadReport report{std::min(model.inFlight(), world.slots()), std::max(0, model.inFlight() - world.slots())};
            const Milliseconds duration = end.at - end.sentAt;
            model.recordEnd(AttemptOutcome::Success, work.slowness(end.placed.cache, duration - end.placed.expectedWait), report, end.at);
            model.recordKey(end.key, end.at);
            load += 0.1 * (static_cast<double>(report.running + report.waiting - 1) / world.slots() - load);
            if (end.placed.expectedWait.count() <= 0) {
                work.record(end.placed.cache, duration);
                slotTime += 0.05 * (duration - slotTime);
            }
        }
        const std::uint64_t key = stableHash("key" + std::to_string(random(keys)));
        PlacementQuery request = query(work, key, now);
        request.slotTime = slotTime;
        request.meanLoad = load;
        const PlacementResult result = place(models, request, settings());
        const bool counts = now >= s_start + 20s;
        arrivals += counts ? 1 : 0;
        if (const auto *placed = std::get_if<Placed>(&result)) {
            models[placed->candidate]->recordStart();
            const BootTime at = world.run(placed->candidate, key, now);
            inTime += counts && at - now <= 600ms ? 1 : 0;
            ends.push_back({at, placed->candidate, key, now, *placed});
        }
    }
    return static_cast<double>(inTime) / arrivals;
}

struct OverloadCase
{
    /// Service time on a cold cache times the arrival rate, divided by the slots.
    double coldLoad;
    double minimumServed;
};

} // namespace

// Load pattern: arrivals of up to twice the capacity of cold upstreams, which warm ones can serve. Guards against overload that sustains itself: keys
// move from busy upstreams to cold ones, whose longer service times keep all of them busy. The bounds are the fraction of requests that warm
// upstreams can serve, less a fifth.
ParameterizedTestParameters(Placement, overloadedUpstreamsWarmUp)
{
    static OverloadCase cases[] = {{0.8, 0.8}, {1.4, 0.8}, {1.9, 0.8}};
    return cr_make_param_array(OverloadCase, cases, std::size(cases));
}

ParameterizedTest(OverloadCase *testCase, Placement, overloadedUpstreamsWarmUp)
{
    constexpr double slots = 24;
    constexpr double coldSeconds = 0.88;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const double served = fractionServedInTime(testCase->coldLoad * slots / coldSeconds, seed);
        cr_assert(served >= testCase->minimumServed, "load %f, seed %lu: %f", testCase->coldLoad, static_cast<unsigned long>(seed), served);
    }
}

// Load pattern: an upstream that fails for a while. Guards against an upstream that is never tried again, and one that stays in use while it fails.
Test(UpstreamModel, failureRateDecaysWithTime)
{
    UpstreamModel model(identity("u", "gulf-a", "gulf"));
    for (int i = 0; i < 10; ++i) {
        model.recordStart();
        model.recordEnd(AttemptOutcome::Broken, std::nullopt, std::nullopt, s_start);
    }
    cr_assert(model.failureRate(s_start) > 0.9);
    cr_assert(model.failureRate(s_start + 4s) < 0.5);
    cr_assert(model.failureRate(s_start + 20s) < 0.05);
}

// Load pattern: machines whose speed changes many times a second. Guards against one report that decides alone, against a speed that counts twice
// because the measured slowness holds it, too, and against one that is assumed where none was reported.
Test(UpstreamModel, reportedWorkFactorIsAveraged)
{
    UpstreamModel model(identity("u", "gulf-a", "gulf"));
    const auto end = [&model](std::optional<double> slowness, std::optional<double> factor) {
        model.recordStart();
        model.recordEnd(AttemptOutcome::Success, slowness, LoadReport{1, 0, factor}, s_start);
    };
    end(std::nullopt, std::nullopt);
    cr_assert_eq(model.workFactor(s_start), 1);
    end(std::nullopt, 1e9);
    cr_assert(model.workFactor(s_start) < 3);
    for (int i = 0; i < 100; ++i) {
        end(std::nullopt, i % 2 == 0 ? 1 : 5);
    }
    cr_assert_float_eq(model.workFactor(s_start), 3, 0.3);
    end(model.workFactor(s_start), model.workFactor(s_start));
    cr_assert_float_eq(model.slowness(s_start), 1, 1e-9);
    cr_assert(model.workFactor(s_start + 20s) < 1.1);
}

// Load pattern: uneven machines. Guards against a request that goes to the slower of two idle upstreams although both report their speed.
Test(Placement, reportedWorkFactorScalesServiceTime)
{
    WorkEstimate work(600ms);
    UpstreamModel slow(identity("a", "gulf-a", "gulf"));
    UpstreamModel fast(identity("b", "gulf-a", "gulf"));
    for (int i = 0; i < 200; ++i) {
        for (UpstreamModel *model : {&slow, &fast}) {
            model->recordStart();
            model->recordEnd(AttemptOutcome::Success, std::nullopt, LoadReport{1, 0, model == &slow ? 1.5 : 0.5}, s_start);
        }
    }
    const PlacementResult result = place({&slow, &fast}, query(work, 0, s_start), settings());
    const auto *placed = std::get_if<Placed>(&result);
    cr_assert(placed);
    cr_assert_eq(placed->candidate, 1);
    cr_assert_float_eq(placed->expectedWork.count(), 0.5 * work.expected(placed->cache).count(), 1e-6);
}

// Load pattern: keys that are warmed while upstreams work at their normal speed. Guards against warm-up that is mistaken for slowness.
Test(WorkEstimate, warmUpIsNotSlowness)
{
    WorkEstimate work(600ms);
    for (int i = 0; i < 100; ++i) {
        work.record(CacheState::Cached, 264ms);
        work.record(CacheState::Likely, 500ms);
        work.record(CacheState::Unlikely, 880ms);
    }
    cr_assert(!work.slowness(CacheState::Likely, 880ms).has_value());
    cr_assert_float_eq(*work.slowness(CacheState::Likely, 264ms), 1, 0.05);
    cr_assert_float_eq(*work.slowness(CacheState::Unlikely, 880ms), 1, 0.05);
    cr_assert_float_eq(*work.slowness(CacheState::Cached, 4 * 264ms), 4, 0.1);
    cr_assert_float_eq(*work.slowness(CacheState::Likely, 4 * 880ms), 7, 0.2);
}
