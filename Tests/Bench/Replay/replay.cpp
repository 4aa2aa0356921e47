#include <Bench/Replay/replay.h>

#include <LibSteering/affinityranking.h>
#include <LibSteering/retryafter.h>

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <pcg_random.hpp>
#include <queue>
#include <random>

namespace Trefoil::Replay
{

namespace
{

using std::chrono::milliseconds;

// Sizes of one region of the users' smaller sites.
constexpr int s_hosts = 4;
constexpr int s_upstreams = 8;
constexpr int s_slots = 4;
constexpr int s_queue = 9;
constexpr int s_keysPerClass = 24;
/// Keys that an upstream remembers, and the part of the work that they save.
constexpr std::size_t s_remembered = 21;
constexpr double s_warmGain = 0.7;
constexpr double s_workSpread = 0.15;
constexpr Milliseconds s_networkTime{0.5};
constexpr Milliseconds s_length{40000};
constexpr Milliseconds s_faultFrom{10000};
constexpr Milliseconds s_faultUntil{20000};
constexpr Milliseconds s_burstFrom{12000};
constexpr Milliseconds s_burstUntil{16000};
constexpr Milliseconds s_surgeFrom{10000};
constexpr Milliseconds s_surgeUntil{30000};
/// A customer's limit, relative to its usual rate.
constexpr double s_customerLimit = 1.6;
constexpr double s_longWork = 7;
/// Time for which a machine keeps its speed.
constexpr Milliseconds s_speedInterval{100};
constexpr double s_lateWorth = 0.2;
/// Stream of the generator for the arrivals of patterns with customers.
constexpr std::uint64_t s_arrivalStream = 1;
/// Enough to break ties between upstreams.
constexpr double s_spreadingRankCost = 0.02;
constexpr int s_mostAttempts = 2;
/// Callers come back this often after a rejection.
constexpr int s_mostReturns = 4;
/// Time until room, as told when upstreams shed.
constexpr Milliseconds s_shedRetryAfter{20};

/// Share between 0 and 1 that is the same for all policies.
double shareOf(std::uint64_t seed, std::string_view what, std::uint64_t number)
{
    return unitInterval(stableHash(fmt::format("{}/{}/{}", seed, what, number)));
}

bool isOwn(Policy policy)
{
    static const std::set<Policy> own = {Policy::Own,
        Policy::OwnWithoutPrice,
        Policy::OwnSpreading,
        Policy::OwnWithoutCost,
        Policy::OwnWithoutRemainingWork,
        Policy::OwnWithFactorsOnly,
        Policy::OwnWithThreeFigures,
        Policy::OwnWithoutCustomerShares};
    return own.count(policy) > 0;
}

struct Request
{
    std::size_t requestClass = 0;
    std::uint64_t keyHash = 0;
    std::size_t host = 0;
    Milliseconds bornAt{0};
    int returns = 0;
    std::set<UpstreamId> tried{};
    /// Index in the pattern's customers.
    std::size_t customer = 0;
};

/// An upstream with slots, a bounded queue, and a memory of the keys it handled last.
struct EmulatedUpstream
{
    struct Work
    {
        std::uint64_t key = 0;
        Milliseconds cold{0};
        std::function<void(Milliseconds now)> done;
    };

    std::list<std::uint64_t> remembered;
    std::deque<Work> waiting;
    int running = 0;

    LoadReport report() const
    {
        return {running, static_cast<std::int32_t>(waiting.size())};
    }
};

class World
{
public:
    World(const Pattern &pattern, Policy policy, std::uint64_t seed)
        : m_pattern(pattern)
        , m_policy(policy)
        , m_seed(seed)
        , m_random(seed)
        , m_arrivalRandom(seed, s_arrivalStream)
        , m_upstreams(s_upstreams)
        , m_customers(createCustomers(pattern))
        , m_customerCounts(pattern.customers.size())
    {
        for (std::size_t i = 0; i < m_pattern.classes.size(); ++i) {
            Route route;
            route.id = RouteId(m_pattern.classes[i].name);
            route.targetLatency = std::chrono::duration_cast<milliseconds>(m_pattern.classes[i].target);
            route.timeout = std::chrono::duration_cast<milliseconds>(m_pattern.classes[i].limit);
            route.priority = m_pattern.classes[i].priority;
            route.services = {{ServiceId("service"), 1}};
            m_routes.push_back(std::move(route));
        }
        for (int host = 0; host < s_hosts; ++host) {
            m_hosts.push_back(createHost(host));
        }
    }

    Score run()
    {
        scheduleArrival(Milliseconds(0));
        while (!m_events.empty()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            (*event.action)();
        }
        return score();
    }

private:
    struct Event
    {
        Milliseconds at{0};
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> action;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::unique_ptr<GatewayState> createHost(int host) const
    {
        GatewayStateSettings settings;
        settings.host = HostId(fmt::format("host-{}", host));
        settings.placement.zone = ZoneId("zone");
        settings.placement.region = RegionId("region");
        settings.regions = {{ZoneId("zone"), RegionId("region")}};
        if (m_policy == Policy::OwnSpreading) {
            settings.placement.rankCost = s_spreadingRankCost;
        }
        if (m_policy == Policy::OwnWithoutPrice || m_policy == Policy::OwnSpreading) {
            settings.placement.slotPrice = 0;
        }
        settings.usesRequestCost = m_policy != Policy::OwnWithoutCost && m_policy != Policy::OwnWithFactorsOnly;
        settings.usesRemainingWork = m_policy != Policy::OwnWithoutRemainingWork && m_policy != Policy::OwnWithFactorsOnly;
        settings.usesCustomerShares = m_policy != Policy::OwnWithoutCustomerShares;
        auto state = std::make_unique<GatewayState>(settings);
        for (int i = 0; i < s_upstreams; ++i) {
            UpstreamRegistration registration;
            registration.id = UpstreamId(fmt::format("u{}", i));
            registration.service = ServiceId("service");
            registration.address = "127.0.0.1:1";
            registration.zone = ZoneId("zone");
            registration.slots = SlotCount(s_slots);
            state->upstreamStarted(registration, BootTime());
        }
        if (!m_customers.empty()) {
            RoutingConfiguration configuration;
            configuration.version = ConfigurationVersion(1);
            configuration.customers = m_customers;
            state->setConfiguration(std::move(configuration));
        }
        return state;
    }

    /// Requests per millisecond at a load.
    static double requestRate(const Pattern &pattern, double load)
    {
        Milliseconds meanWork(0);
        for (const RequestClass &requestClass : pattern.classes) {
            meanWork += requestClass.work * requestClass.share;
        }
        return load * s_upstreams * s_slots / meanWork.count();
    }

    static std::vector<Customer> createCustomers(const Pattern &pattern)
    {
        std::vector<Customer> customers;
        for (const CustomerLoad &load : pattern.customers) {
            Customer customer;
            customer.id = CustomerId(load.name);
            customer.requestsPerSecond = s_customerLimit * load.share * requestRate(pattern, pattern.load) * 1000;
            customers.push_back(std::move(customer));
        }
        return customers;
    }

    static bool isInSurge(Milliseconds time)
    {
        return time >= s_surgeFrom && time < s_surgeUntil;
    }

    /// The part of all requests that a customer sends at a time, relative to what all customers usually send.
    static double demandOf(const CustomerLoad &customer, Milliseconds time)
    {
        return customer.share * (isInSurge(time) ? customer.surge : 1);
    }

    /// Factor on the load at a time; 1 without customers.
    double customerDemand(Milliseconds time) const
    {
        if (m_pattern.customers.empty()) {
            return 1;
        }
        double demand = 0;
        for (const CustomerLoad &customer : m_pattern.customers) {
            demand += demandOf(customer, time);
        }
        return demand;
    }

    /// Draws the sender of a request that arrives at a time. Precondition: the pattern has customers.
    std::size_t drawCustomer(Milliseconds time)
    {
        double left = std::uniform_real_distribution<double>(0, customerDemand(time))(arrivalRandom());
        for (std::size_t i = 0; i + 1 < m_pattern.customers.size(); ++i) {
            left -= demandOf(m_pattern.customers[i], time);
            if (left < 0) {
                return i;
            }
        }
        return m_pattern.customers.size() - 1;
    }

    static BootTime bootTime(Milliseconds time)
    {
        return BootTime(std::chrono::hours(1)) + std::chrono::duration_cast<BootClock::duration>(time);
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    /// Source of randomness for arrivals. In patterns with customers it is separate, so that all policies get the same requests.
    pcg32 &arrivalRandom()
    {
        return m_customers.empty() ? m_random : m_arrivalRandom;
    }

    void at(Milliseconds time, std::function<void()> action)
    {
        m_events.push({time, ++m_order, std::make_shared<std::function<void()>>(std::move(action))});
    }

    void scheduleArrival(Milliseconds from)
    {
        const bool isBurst = from >= s_burstFrom && from < s_burstUntil;
        const double perMillisecond = requestRate(m_pattern, m_pattern.load * (isBurst ? m_pattern.burst : 1)) * customerDemand(from);
        const Milliseconds next = from + Milliseconds(std::exponential_distribution<double>(perMillisecond)(arrivalRandom()));
        if (next >= s_length) {
            return;
        }
        at(next, [this, next] {
            Request request;
            request.requestClass = std::uniform_real_distribution<double>(0, 1)(arrivalRandom()) < m_pattern.classes[0].share ? 0 : 1;
            request.keyHash = stableHash(fmt::format("{}/{}", request.requestClass, arrivalRandom()(s_keysPerClass)));
            request.host = m_random(s_hosts);
            request.bornAt = next;
            ++m_born[request.requestClass];
            if (!m_customers.empty()) {
                request.customer = drawCustomer(next);
                m_customerCounts[request.customer].arrived += isInSurge(next) ? 1 : 0;
            }
            arrive(std::move(request));
            scheduleArrival(next);
        });
    }

    RequestPlacement placement(const Request &request) const
    {
        const Route &route = m_routes[request.requestClass];
        RequestPlacement result{
            &route, ServiceId("service"), request.keyHash, bootTime(m_now), bootTime(request.bornAt + m_pattern.classes[request.requestClass].limit)};
        result.customer = m_customers.empty() ? nullptr : &m_customers[request.customer];
        return result;
    }

    void arrive(Request request)
    {
        request.host = m_random(s_hosts);
        request.tried.clear();
        m_hosts[request.host]->recordArrival(placement(request));
        attempt(std::move(request));
    }

    void attempt(Request request)
    {
        GatewayState &host = *m_hosts[request.host];
        const BootTime now = bootTime(m_now);
        const auto usable = host.usableUpstreams(ServiceId("service"), m_routes[request.requestClass], request.tried, now);
        const RequestPlacement asked = placement(request);
        const PlacementResult result = choose(host, request, usable, asked);
        const auto *placed = std::get_if<Placed>(&result);
        if (!placed) {
            const auto *noRoom = std::get_if<NoRoom>(&result);
            reject(std::move(request), noRoom ? noRoom->retryAfter : s_shedRetryAfter);
            return;
        }
        send(std::move(request), usable[placed->candidate], *placed, asked);
    }

    PlacementResult choose(GatewayState &host, const Request &request, const std::vector<std::shared_ptr<Upstream>> &usable, const RequestPlacement &asked)
    {
        if (usable.empty()) {
            return NoUpstream{};
        }
        if (isOwn(m_policy)) {
            return host.place(asked, usable, bootTime(m_now));
        }
        const auto loadOf = [&](std::size_t i) { return usable[i]->model.occupancy(bootTime(m_now), 0); };
        const auto random = [&] { return static_cast<std::size_t>(m_random(static_cast<std::uint32_t>(usable.size()))); };
        std::size_t chosen = m_next++ % usable.size();
        if (m_policy == Policy::TwoChoices) {
            const std::size_t first = random();
            const std::size_t second = random();
            chosen = loadOf(second) < loadOf(first) ? second : first;
        }
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const auto score = [&](std::size_t j) { return affinityScore(request.keyHash, usable[j]->model.hash(), s_slots); };
            const bool isBetter = m_policy == Policy::LeastLoaded ? loadOf(i) < loadOf(chosen) : m_policy == Policy::AffinityOnly && score(i) > score(chosen);
            chosen = isBetter ? i : chosen;
        }
        return Placed{chosen};
    }

    void send(Request request, const std::shared_ptr<Upstream> &upstream, const Placed &placed, const RequestPlacement &asked)
    {
        request.tried.insert(upstream->model.identity().id);
        const Milliseconds sentAt = m_now;
        const auto token = m_hosts[request.host]->recordStart(asked, *upstream, placed, bootTime(m_now));
        auto end = [this, request, upstream, placed, asked, sentAt, token](AttemptOutcome outcome, const LoadReport &report) mutable {
            m_hosts[request.host]->recordAttempt(asked, *upstream, placed, {outcome, false, m_now - sentAt, report, false, {}, token}, bootTime(m_now));
            if (outcome == AttemptOutcome::Success) {
                served(request);
            } else if (request.tried.size() < s_mostAttempts) {
                attempt(std::move(request));
            } else {
                reject(std::move(request), s_shedRetryAfter);
            }
        };
        const auto index = static_cast<std::size_t>(std::stoul(upstream->model.identity().id.value().substr(1)));
        const Milliseconds cold = m_pattern.classes[request.requestClass].work * uniform(1 - s_workSpread, 1 + s_workSpread) * costFactor(request);
        at(m_now + s_networkTime, [this, index, cold, key = request.keyHash, end]() mutable { receive(index, key, cold, std::move(end)); });
    }

    /// Work of the request relative to that of its class.
    double costFactor(const Request &request) const
    {
        const double logRange = std::log(m_pattern.keyRange);
        const double ofKey = std::exp(logRange * (shareOf(m_seed, "key", request.keyHash) - 0.5));
        const auto born = static_cast<std::uint64_t>(request.bornAt.count() * 1000);
        const bool isLong = m_pattern.longShare > 0 && shareOf(m_seed, "long", born) < m_pattern.longShare;
        return ofKey * (isLong ? s_longWork : 1);
    }

    /// Time that work takes on the machine at a time, relative to the usual one.
    double workFactor(std::size_t index, Milliseconds at) const
    {
        const auto interval = static_cast<std::uint64_t>(at / s_speedInterval);
        const double ofMachine = shareOf(m_seed, "machine", index) - 0.5;
        const double ofInterval = m_pattern.speedRange > 1 ? shareOf(m_seed, "speed", interval * s_upstreams + index) - 0.5 : 0;
        return std::exp(std::log(m_pattern.machineRange) * ofMachine + std::log(m_pattern.speedRange) * ofInterval);
    }

    /// Time that work takes which begins now.
    Milliseconds timeOf(std::size_t index, Milliseconds work) const
    {
        if (!reportsFactors()) {
            return work;
        }
        Milliseconds at = m_now;
        while (true) {
            const Milliseconds intervalEnd = s_speedInterval * (std::floor(at / s_speedInterval) + 1);
            const double factor = workFactor(index, at);
            if (at + work * factor <= intervalEnd) {
                return at + work * factor - m_now;
            }
            work -= (intervalEnd - at) / factor;
            at = intervalEnd + Milliseconds(1e-6);
        }
    }

    bool reportsFactors() const
    {
        return m_pattern.machineRange > 1 || m_pattern.speedRange > 1;
    }

    LoadReport report(std::size_t index) const
    {
        LoadReport result = m_upstreams[index].report();
        if (reportsFactors() && m_policy != Policy::OwnWithThreeFigures) {
            result.workFactor = workFactor(index, m_now);
        }
        return result;
    }

    bool isFaulty(std::size_t index) const
    {
        return index == 0 && m_now >= s_faultFrom && m_now < s_faultUntil;
    }

    template<typename End>
    void receive(std::size_t index, std::uint64_t key, Milliseconds cold, End end)
    {
        EmulatedUpstream &upstream = m_upstreams[index];
        const bool sheds = isFaulty(index) && uniform(0, 1) < m_pattern.sheds;
        if (sheds || (upstream.running >= s_slots && upstream.waiting.size() >= s_queue)) {
            at(m_now + s_networkTime, [end, report = report(index)]() mutable { end(AttemptOutcome::Shed, report); });
            return;
        }
        upstream.waiting.push_back({key, cold, [this, index, end](Milliseconds now) mutable {
                                        at(now + s_networkTime, [end, report = report(index)]() mutable { end(AttemptOutcome::Success, report); });
                                    }});
        startWork(index);
    }

    void startWork(std::size_t index)
    {
        EmulatedUpstream &upstream = m_upstreams[index];
        while (upstream.running < s_slots && !upstream.waiting.empty()) {
            EmulatedUpstream::Work work = std::move(upstream.waiting.front());
            upstream.waiting.pop_front();
            ++upstream.running;
            const auto known = std::find(upstream.remembered.begin(), upstream.remembered.end(), work.key);
            Milliseconds time = work.cold * (isFaulty(index) ? m_pattern.slowness : 1);
            if (known != upstream.remembered.end()) {
                time *= 1 - s_warmGain;
                upstream.remembered.erase(known);
            }
            at(m_now + timeOf(index, time), [this, index, work = std::move(work)]() mutable {
                EmulatedUpstream &working = m_upstreams[index];
                // What was worked on last is remembered; the rest goes in the order of its last use.
                working.remembered.remove(work.key);
                working.remembered.push_front(work.key);
                if (working.remembered.size() > s_remembered) {
                    working.remembered.pop_back();
                }
                work.done(m_now);
                --working.running;
                startWork(index);
            });
        }
    }

    void served(const Request &request)
    {
        const Milliseconds time = m_now - request.bornAt;
        const RequestClass &requestClass = m_pattern.classes[request.requestClass];
        if (time > requestClass.limit) {
            return;
        }
        const bool isInTime = time <= requestClass.target;
        ++(isInTime ? m_inTime : m_late);
        m_worth[request.requestClass] += requestClass.worth * (isInTime ? 1 : s_lateWorth);
        m_times.push_back(time);
        m_timesByKind[request.requestClass].push_back(time);
        m_inTimeByKind[request.requestClass] += isInTime ? 1 : 0;
        if (!m_customers.empty() && isInSurge(request.bornAt)) {
            ++m_customerCounts[request.customer].served;
        }
    }

    void reject(Request request, Milliseconds untilRoom)
    {
        ++m_rejected;
        const Milliseconds back = m_now + retryAfter(untilRoom, uniform(0, 1));
        if (++request.returns > s_mostReturns || back >= request.bornAt + m_pattern.classes[request.requestClass].limit) {
            return;
        }
        at(back, [this, request]() mutable { arrive(std::move(request)); });
    }

    Score score()
    {
        double possible = 0;
        double worth = 0;
        double requests = 0;
        for (std::size_t i = 0; i < m_pattern.classes.size(); ++i) {
            possible += m_born[i] * m_pattern.classes[i].worth;
            worth += m_worth[i];
            requests += m_born[i];
        }
        std::sort(m_times.begin(), m_times.end());
        std::array<KindScore, 2> kinds;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            std::vector<Milliseconds> &times = m_timesByKind[i];
            std::sort(times.begin(), times.end());
            kinds[i] = {m_inTimeByKind[i] / m_born[i], percentile(times, 0.5), percentile(times, 0.95), percentile(times, 0.99)};
        }
        return {worth / possible,
            m_worth[0] / (m_born[0] * m_pattern.classes[0].worth),
            m_inTime / requests,
            m_late / requests,
            m_rejected / requests,
            m_times.empty() ? Milliseconds(0) : m_times[m_times.size() / 2],
            kinds,
            m_customerCounts};
    }

    /// Precondition: times are sorted.
    static Milliseconds percentile(const std::vector<Milliseconds> &times, double part)
    {
        return times.empty() ? Milliseconds(0) : times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
    }

    const Pattern &m_pattern;
    Policy m_policy;
    std::uint64_t m_seed;
    pcg32 m_random;
    pcg32 m_arrivalRandom;
    std::vector<Route> m_routes;
    std::vector<std::unique_ptr<GatewayState>> m_hosts;
    std::vector<EmulatedUpstream> m_upstreams;
    std::vector<Customer> m_customers;
    std::vector<CustomerCount> m_customerCounts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::size_t m_next = 0;
    Milliseconds m_now{0};
    std::array<double, 2> m_born{};
    std::array<double, 2> m_worth{};
    double m_inTime = 0;
    double m_late = 0;
    double m_rejected = 0;
    std::vector<Milliseconds> m_times;
    std::array<std::vector<Milliseconds>, 2> m_timesByKind;
    std::array<double, 2> m_inTimeByKind{};
};

} // namespace

const std::vector<Policy> &allPolicies()
{
    static const std::vector<Policy> all = {
        Policy::Own, Policy::OwnWithoutPrice, Policy::OwnSpreading, Policy::RoundRobin, Policy::LeastLoaded, Policy::TwoChoices, Policy::AffinityOnly};
    return all;
}

const std::vector<Policy> &costPolicies()
{
    static const std::vector<Policy> all = {
        Policy::OwnWithThreeFigures, Policy::OwnWithFactorsOnly, Policy::OwnWithoutRemainingWork, Policy::OwnWithoutCost, Policy::Own};
    return all;
}

std::string_view toText(Policy policy)
{
    switch (policy) {
    case Policy::Own:
        return "own";
    case Policy::OwnWithoutPrice:
        return "own, no price";
    case Policy::OwnSpreading:
        return "own, spreading";
    case Policy::OwnWithoutCost:
        return "own, without cost";
    case Policy::OwnWithoutRemainingWork:
        return "own, without remaining work";
    case Policy::OwnWithFactorsOnly:
        return "own, work factors only";
    case Policy::OwnWithThreeFigures:
        return "own, three figures";
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastLoaded:
        return "least loaded";
    case Policy::TwoChoices:
        return "two choices";
    case Policy::AffinityOnly:
        return "affinity only";
    case Policy::OwnWithoutCustomerShares:
        return "own, without customer shares";
    }
    return "";
}

const std::vector<Pattern> &allPatterns()
{
    // The users' service whose slots short urgent work shares with long work that can wait.
    static const std::vector<RequestClass> longWorkOfLowRank = {
        {"urgent", 0, 0.63, Milliseconds(720), Milliseconds(400), Milliseconds(3000), 3},
        {"long", 2, 0.37, Milliseconds(4224), Milliseconds(2000), Milliseconds(20000), 1},
    };
    static const std::vector<Pattern> all = {
        {"half load", 0.5},
        {"full load", 1.0},
        {"overload 1.4", 1.4},
        {"overload 1.9", 1.9},
        {"overload 2.6", 2.6},
        {"burst of 2.5", 0.9, 2.5},
        {"slow upstream", 1.0, 1, 5},
        {"shedding upstream", 1.0, 1, 1, 0.45},
        {"long work of low rank 1.4", 1.4, 1, 1, 0, longWorkOfLowRank},
        {"long work of low rank 2.2", 2.2, 1, 1, 0, longWorkOfLowRank},
    };
    return all;
}

const std::vector<Pattern> &costPatterns()
{
    // Lengths of work of the users' service with long tails.
    static const std::vector<RequestClass> longTails = {
        {"urgent", 0, 0.3, Milliseconds(340), Milliseconds(400), Milliseconds(3000), 3},
        {"ordinary", 2, 0.7, Milliseconds(650), Milliseconds(600), Milliseconds(4000), 1},
    };
    static const std::vector<Pattern> all = {
        {"uneven cost, load 0.7", 0.7, 1, 1, 0, longTails, 0.03, 1, 2, 3},
        {"uneven cost, load 1.2", 1.2, 1, 1, 0, longTails, 0.03, 1, 2, 3},
        {"uneven cost, load 1.8", 1.8, 1, 1, 0, longTails, 0.03, 1, 2, 3},
        {"uneven cost and keys, load 0.7", 0.7, 1, 1, 0, longTails, 0.03, 6, 2, 3},
        {"uneven cost and keys, load 1.2", 1.2, 1, 1, 0, longTails, 0.03, 6, 2, 3},
        {"uneven cost and keys, load 1.8", 1.8, 1, 1, 0, longTails, 0.03, 6, 2, 3},
    };
    return all;
}

Score play(const Pattern &pattern, Policy policy, std::uint64_t seed)
{
    return World(pattern, policy, seed).run();
}

} // namespace Trefoil::Replay
