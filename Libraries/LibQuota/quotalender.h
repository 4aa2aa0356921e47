#pragma once

#include <LibQuota/quotamessages.h>
#include <LibQuota/quotarules.h>

#include <map>
#include <vector>

namespace Trefoil
{

struct LimitedCustomer
{
    CustomerHash hash;
    QuotaLimit limit;
};

/// Token buckets of the customers for which this host lends permits. A bucket starts empty when the host becomes a lender, so that its permits
/// and those of the lender before it stay within the limit.
/// Thread safety: one thread at a time.
class QuotaLender
{
public:
    QuotaLender(HostId self, QuotaRules rules);

    /// Sets the registered hosts, the customers with a limit, and the time from which on this host lends; nothing when it does not.
    /// Precondition: now does not go back.
    void update(const std::vector<HostId> &registeredHosts, const std::vector<LimitedCustomer> &customers, std::optional<BootTime> lendsFrom, BootTime now);

    /// Ends lending for good. Precondition: none.
    void stop();

    /// Grants as many permits as there are. Precondition: now does not go back.
    PermitReply reply(const PermitRequest &request, BootTime now);

    /// Number of permits lent since the start. Precondition: none.
    std::uint64_t lentPermits() const
    {
        return m_lentPermits;
    }

    /// Number of customers for which this host lends. Precondition: none.
    std::size_t customerCount() const
    {
        return m_buckets.size();
    }

private:
    struct Bucket
    {
        LenderShare share;
        double permits = 0;
        BootTime at{};
        /// Time for which borrowers were last told to come back.
        BootTime promisedUntil{};
    };

    static void advance(Bucket &bucket, BootTime now);
    static std::chrono::milliseconds timeUntilRoom(Bucket &bucket, BootTime now);

    HostId m_self;
    QuotaRules m_rules;
    std::map<CustomerHash, Bucket> m_buckets;
    std::uint64_t m_lentPermits = 0;
    bool m_isStopped = false;
};

} // namespace Trefoil
