#pragma once

#include <LibQuota/quotaborrower.h>
#include <LibQuota/quotalender.h>

#include <functional>
#include <memory>
#include <random>

/// Hosts that lend and borrow permits in virtual time. Datagrams are delayed and lost, hosts learn of changes late.
namespace Trefoil::QuotaTests
{

using namespace std::chrono_literals;

struct SimulatedCustomer
{
    std::string name;
    double usualRate = 1;
    QuotaLimit limit;
    double presentRate = 1;
    /// Number of changes of the present rate.
    int rateChanges = 0;
    /// Times at which requests were sent to upstreams.
    std::vector<BootTime> runs{};
    int arrived = 0;
    int exceeded = 0;
    int unavailable = 0;
    /// Requests that a single bucket of the limit for all hosts would have admitted, and did not run; and the opposite.
    int rejectedBelow = 0;
    int admittedAbove = 0;
    /// The single bucket.
    double reference = 0;
    BootTime referenceAt{};
};

struct SimulationSettings
{
    QuotaRules rules{5000ms, 0.1, 20};
    int hostCount = 10;
    int customerCount = 12;
    /// Requests per second of all customers together; the first has a fifth.
    double totalRate = 200;
    /// Limit relative to the usual rate, and burst in seconds of that limit.
    double headroom = 1.6;
    double burstSeconds = 1;
    double lost = 0;
    /// Longest time until a host knows a change of the table of hosts, and of the configuration.
    std::chrono::milliseconds tableLag{3000};
    std::chrono::milliseconds configurationLag{3000};
    std::uint64_t seed = 1;
};

class QuotaSimulation
{
public:
    explicit QuotaSimulation(const SimulationSettings &settings);

    /// Runs a function at a time after the start. Precondition: the time has not come.
    void at(std::chrono::milliseconds time, const std::function<void()> &function);

    void runUntil(std::chrono::milliseconds end);

    /// Adds a host that was not registered before.
    void addHost();
    /// Sends SIGTERM to a host, whose row is removed later; then the process ends.
    void stopHost(std::size_t host);
    /// Kills a host; its row stays.
    void killHost(std::size_t host);
    /// Starts a process of a stopped or killed host.
    void startHost(std::size_t host);
    /// Cuts a host off from the store and from the hosts that are not cut off; strict revocation ends its requests after 5 s.
    void cutOff(std::size_t host, bool isCutOff);
    /// Sets the present rate of a customer, relative to its usual one.
    void setDemand(std::size_t customer, double factor);
    void setLimit(std::size_t customer, const QuotaLimit &limit);

    std::vector<SimulatedCustomer> customers;
    std::uint64_t datagrams = 0;
    std::uint64_t lentPermits = 0;
    static inline const BootTime start{1h};

private:
    struct Request
    {
        std::size_t host = 0;
        std::size_t customer = 0;
        bool isReferenceAdmitted = false;
        bool isDone = false;
        /// Number of steps taken; of the timer and the reply that follow a step, only the first one counts.
        int steps = 0;
    };
    struct Host
    {
        HostId id;
        bool isRunning = true;
        bool isStopping = false;
        bool isCutOff = false;
        BootTime cutOffAt{};
        /// Identifies the process, so that events of an earlier one are ignored.
        int process = 0;
        std::vector<HostId> table{};
        std::vector<QuotaLimit> limits{};
        std::unique_ptr<QuotaLender> lender{};
        std::unique_ptr<QuotaBorrower> borrower{};
        std::unique_ptr<LendingStart> start{};
        std::map<CustomerHash, std::vector<std::shared_ptr<Request>>> waiting{};
    };

    HostId hostId(std::size_t index) const;
    void schedule(BootTime time, std::function<void()> function);
    BootTime::duration randomTime(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    void startProcess(std::size_t index, bool isFirstStart, bool hasEarlierRow);
    void publishTable();
    void learnTable(std::size_t index, const std::vector<HostId> &table);
    void update(Host &host);
    void scheduleArrival(std::size_t customer);
    void arrive(std::size_t customer);
    void advance(const std::shared_ptr<Request> &request, int process, int lastStep);
    void finish(Request &request, bool hasRun);
    void send(std::size_t from, const HostId &to, const QuotaMessage &message);
    void deliver(std::size_t from, std::size_t to, const QuotaMessage &message);

    SimulationSettings m_settings;
    std::mt19937_64 m_random;
    BootTime m_now = start;
    std::multimap<BootTime, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    std::map<HostId, std::size_t> m_indices;
    /// Rows in the store.
    std::vector<HostId> m_rows;
};

} // namespace Trefoil::QuotaTests
