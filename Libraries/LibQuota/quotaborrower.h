#pragma once

#include <LibQuota/quotamessages.h>
#include <LibQuota/quotarules.h>

#include <deque>
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace Trefoil
{

/// Permission to send one request of a customer to an upstream.
struct Permit
{
    BootTime expiresAt{};
};

/// The customer sends more than its limit.
struct QuotaExceeded
{
    std::chrono::nanoseconds timeUntilRoom{0};
};

/// No lender replied.
struct QuotaUnavailable
{
};

/// A request for permits that is to be sent to a lender now; it may be this host itself.
struct PermitsNeeded
{
    HostId lender;
    PermitRequest request;
};

/// Permits were requested for the customer; their reply, or this time, comes first.
struct ReplyAwaited
{
    BootTime until{};
};

/// Decides for each request of a customer with a limit whether it may be sent: takes a permit of the host's own pool, requests more of the lenders,
/// and remembers which of them have none. At any time at most one request for permits is awaited for each customer.
/// Thread safety: one thread at a time.
class QuotaBorrower
{
public:
    using Step = std::variant<Permit, QuotaExceeded, QuotaUnavailable, PermitsNeeded, ReplyAwaited>;

    /// Numbers of requests for permits start at a random number, so that replies to an earlier process are not taken for those of this one.
    /// Precondition: none.
    QuotaBorrower(HostId self, QuotaRules rules, std::uint64_t seed);

    /// Sets the hosts among which lenders are chosen. Precondition: none.
    void setHosts(std::vector<HostId> registeredHosts);

    /// Records a request that needs a permit. Precondition: nextStep() follows until it returns neither PermitsNeeded nor ReplyAwaited, or giveUp()
    /// ends that; now does not go back.
    void arrive(CustomerHash customer, BootTime now);

    /// What to do next for a request that has arrived. Precondition: arrive() was called; the rate is positive; now does not go back.
    Step nextStep(CustomerHash customer, const QuotaLimit &limit, BootTime now);

    /// Ends the wait of one request that arrived. Precondition: arrive() was called.
    void giveUp(CustomerHash customer);

    /// Takes the permits of a reply into the pool. Returns the customer if the reply is one that this host requested.
    /// Precondition: now does not go back.
    std::optional<CustomerHash> receive(const PermitReply &reply, BootTime now);

    /// Puts a permit back that was not used. Precondition: now does not go back.
    void release(CustomerHash customer, const Permit &permit, BootTime now);

    /// Forgets customers without recent requests. Precondition: now does not go back.
    void prune(BootTime now);

    /// Number of permits borrowed, and of those that expired, since the start. Precondition: none.
    std::uint64_t borrowedPermits() const
    {
        return m_borrowedPermits;
    }
    std::uint64_t expiredPermits() const
    {
        return m_expiredPermits;
    }

private:
    struct LenderState
    {
        BootTime emptyUntil{};
        BootTime silentUntil{};
        /// How often in a row it did not reply, up to the longest pause.
        std::uint32_t silences = 0;
    };
    /// A request for permits that was sent.
    struct SentRequest
    {
        CustomerHash customer;
        HostId lender;
        std::uint32_t count = 0;
        BootTime sentAt{};
        BootTime expiresAt{};
    };
    struct State
    {
        /// By the time at which the permits expire.
        std::map<BootTime, std::uint32_t> pool{};
        std::map<HostId, LenderState> lenders{};
        std::uint64_t hostsVersion = 0;
        /// Number of the request for permits whose reply is awaited.
        std::optional<std::uint64_t> awaited{};
        std::uint32_t waiting = 0;
        /// Count of requests that decays with time.
        double arrivals = 0;
        BootTime arrivedAt{};
    };

    void chooseLenders(CustomerHash customer, State &state) const;
    void dropExpired(State &state, BootTime now);
    static void recordSilence(LenderState &lender, BootTime now);
    std::uint32_t neededPermits(const State &state, BootTime now) const;
    /// The lender to ask next; null when each of them is known to be empty or did not reply.
    const HostId *nextLender(const State &state, BootTime now);
    PermitsNeeded request(CustomerHash customer, State &state, const HostId &lender, const QuotaLimit &limit, BootTime now);

    HostId m_self;
    QuotaRules m_rules;
    std::minstd_rand m_random;
    std::vector<HostId> m_hosts;
    std::uint64_t m_hostsVersion = 1;
    std::uint64_t m_nextNumber;
    std::map<CustomerHash, State> m_customers;
    /// Requests whose replies still bring permits that can be used, by number.
    std::map<std::uint64_t, SentRequest> m_sent;
    std::uint64_t m_borrowedPermits = 0;
    std::uint64_t m_expiredPermits = 0;
};

} // namespace Trefoil
