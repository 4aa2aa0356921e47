#pragma once

#include <LibMembership/member.h>
#include <StandIns/tablestore.h>

#include <deque>
#include <memory>
#include <queue>

/// Simulates the members of several regions, their network and the table service in virtual time, with injected faults.
namespace Trefoil::Simulation
{

struct WorldSettings
{
    std::size_t regions = 3;
    std::size_t zonesPerRegion = 2;
    std::size_t hostsPerRegion = 4;
    std::vector<Resource> resources;
    BootClock::duration delayInRegion = std::chrono::microseconds(500);
    BootClock::duration delayBetweenRegions = std::chrono::milliseconds(12);
    /// Maximum difference between the start times of the hosts.
    BootClock::duration startSpread = std::chrono::seconds(1);
    /// The platform's list names all hosts from the start.
    bool listed = true;
    int storeWritesPerSecond = 400;
};

/// Faults that the table service shows at present.
struct StoreFaults
{
    bool down = false;
    /// Fraction of responses that are lost after the request took effect.
    double responseLossRate = 0;
    /// Maximum additional delay before a request takes effect; when that is after the client's deadline, the client gets an
    /// ambiguous result.
    BootClock::duration maximumDelay{0};
    bool staleReads = false;
};

/// One process of a host. A host that was restarted has several, and earlier ones may still be running.
struct Process
{
    HostId host;
    std::size_t region = 0;
    std::unique_ptr<Member> member;
    bool terminated = false;
    /// Another process of the host was started or is scheduled to start.
    bool replaced = false;
    bool cutFromPeers = false;
    bool cutFromStore = false;
    BootTime pausedUntil;
    /// Work in flight by resource. It never increases beyond the limit, and ends after some time.
    std::map<ResourceId, std::int64_t> inUse;
    /// Amounts used of rate-limited resources, with the time of each use.
    std::map<ResourceId, std::deque<std::pair<BootTime, std::int64_t>>> spent;
    /// Actions that run when the process resumes.
    std::vector<std::function<void()>> deferredActions;
    std::uint64_t messageBytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeBytes = 0;
};

class Region;

class World
{
public:
    World(WorldSettings settings, std::uint64_t seed);

    /// Runs all events until the given time, and checks the totals every 10 ms.
    void runUntil(BootTime end);

    BootTime now() const
    {
        return m_now;
    }
    std::vector<std::unique_ptr<Process>> &processes()
    {
        return m_processes;
    }
    pcg32 &random()
    {
        return m_random;
    }
    double chance();
    BootClock::duration between(BootClock::duration low, BootClock::duration high);

    /// Starts a process of the host; an earlier one keeps running.
    Process &start(const HostId &host, std::size_t region);
    void pause(Process &process, BootClock::duration duration);
    void setResources(std::vector<Resource> resources);
    void at(BootTime time, std::function<void()> action);

    StoreFaults storeFaults;
    StandIns::TableStore store;

    /// Sum of the amounts of a resource that the processes of a region with a valid lease may use, or use if that is more.
    std::int64_t usableSum(std::size_t region, const Resource &resource) const;

    /// Describes the first violation of a total; empty when there was none.
    const std::string &violation() const
    {
        return m_violation;
    }
    const std::vector<Resource> &resources() const
    {
        return m_resources;
    }
    std::uint64_t maximumWritesPerSecond() const
    {
        return m_maximumWritesPerSecond;
    }
    std::uint64_t rejectedWrites() const
    {
        return m_rejectedWrites;
    }
    static RegionId regionId(std::size_t region);

private:
    struct Event
    {
        BootTime time;
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> action;

        bool operator>(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void tick(Process &process);
    void run(Process &process, std::function<void()> action);
    void carryOut(Process &process);
    void deliver(Process &from, const SendMessage &message);
    void request(Process &process, const StoreRequest &request);
    StoreResponse execute(const StoreRequest &request);
    bool admitWrite();
    void updateUsage(Process &process);
    void spend(Process &process, const Resource &resource, std::int64_t limit);
    void check();
    void checkWindow(std::size_t region, const Resource &resource);
    BootClock::duration delay(std::size_t from, std::size_t to);
    std::vector<ListedHost> list() const;

    WorldSettings m_settings;
    pcg32 m_random;
    BootTime m_now{std::chrono::seconds(1000)};
    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<HostId, Process *> m_current;
    std::map<HostId, std::size_t> m_hosts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_nextIncarnation = 0;
    std::vector<Resource> m_resources;
    BootTime m_resourcesSince;
    std::string m_violation;
    BootTime m_nextCheck;
    std::int64_t m_writeSecond = 0;
    std::uint64_t m_writesInSecond = 0;
    std::uint64_t m_maximumWritesPerSecond = 0;
    std::uint64_t m_rejectedWrites = 0;
};

} // namespace Trefoil::Simulation
