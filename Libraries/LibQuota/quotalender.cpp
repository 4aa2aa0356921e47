#include <LibQuota/quotalender.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// An empty lender tells borrowers to come back one after the other, as permits accumulate, within these bounds. The lower one limits the datagrams of
/// large customers. With an upper one of 0.5 s, 70 hosts sent two datagrams for each request of a customer at ten times its usual rate, with 2 s less
/// than one; with 5 s they did without permits that others had left over.
constexpr std::chrono::milliseconds s_minimumPause{50};
constexpr std::chrono::milliseconds s_maximumPause{2000};
/// Permits are counted in binary fractions, whose sum may fall short of a whole number.
constexpr double s_rounding = 1e-6;

BootTime::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<BootTime::duration>(Seconds(seconds));
}

} // namespace

QuotaLender::QuotaLender(HostId self, QuotaRules rules)
    : m_self(std::move(self))
    , m_rules(rules)
{
}

void QuotaLender::update(
    const std::vector<HostId> &registeredHosts, const std::vector<LimitedCustomer> &customers, std::optional<BootTime> lendsFrom, BootTime now)
{
    std::map<CustomerHash, Bucket> buckets;
    if (m_isStopped || !lendsFrom) {
        m_buckets.clear();
        return;
    }
    for (const LimitedCustomer &customer : customers) {
        const auto lenders = lendersOf(customer.hash, registeredHosts);
        if (customer.limit.rate <= 0 || std::find(lenders.begin(), lenders.end(), m_self) == lenders.end()) {
            continue;
        }
        const auto known = m_buckets.find(customer.hash);
        const bool hasBegun = known != m_buckets.end() && known->second.at <= now;
        Bucket bucket = hasBegun ? known->second : Bucket{{}, 0, std::max(now, *lendsFrom), {}};
        // Until now the bucket filled at its earlier rate.
        advance(bucket, now);
        bucket.share = lenderShare(m_rules, customer.limit, lenders.size());
        bucket.permits = std::min(bucket.permits, bucket.share.depth);
        buckets[customer.hash] = bucket;
    }
    m_buckets = std::move(buckets);
}

void QuotaLender::stop()
{
    m_isStopped = true;
    m_buckets.clear();
}

void QuotaLender::advance(Bucket &bucket, BootTime now)
{
    if (now <= bucket.at) {
        return;
    }
    bucket.permits = std::min(bucket.share.depth, bucket.permits + bucket.share.rate * Seconds(now - bucket.at).count());
    bucket.at = now;
}

std::chrono::milliseconds QuotaLender::timeUntilRoom(Bucket &bucket, BootTime now)
{
    const BootTime nextPermit = now + toDuration(std::max(0.0, 1 - bucket.permits) / bucket.share.rate);
    const BootTime nextTurn = bucket.promisedUntil > now ? bucket.promisedUntil + toDuration(1 / bucket.share.rate) : nextPermit;
    bucket.promisedUntil = std::min(nextTurn, now + s_maximumPause);
    const BootTime room = std::max({nextPermit, bucket.promisedUntil, now + s_minimumPause});
    return std::min(std::chrono::ceil<std::chrono::milliseconds>(room - now), maximumTimeUntilRoom);
}

PermitReply QuotaLender::reply(const PermitRequest &request, BootTime now)
{
    const auto found = m_buckets.find(request.customer);
    PermitReply reply{m_self, request.number};
    if (found == m_buckets.end() || now < found->second.at) {
        return reply;
    }
    Bucket &bucket = found->second;
    advance(bucket, now);
    reply.isLending = true;
    reply.granted = std::min(request.count, static_cast<std::uint32_t>(std::min<double>(bucket.permits + s_rounding, maximumPermits)));
    bucket.permits -= reply.granted;
    m_lentPermits += reply.granted;
    if (reply.granted < request.count) {
        reply.timeUntilRoom = timeUntilRoom(bucket, now);
    }
    return reply;
}

} // namespace Trefoil
