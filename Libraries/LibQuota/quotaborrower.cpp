#include <LibQuota/quotaborrower.h>

#include <algorithm>
#include <cmath>

namespace Trefoil
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// A lender that did not reply, or does not lend, is not asked again for this long unless it replies, and for twice as long after each further time.
/// The first pause is longer than the time in which three others are asked, so that a host without any lender gives up after asking each one once.
constexpr std::chrono::milliseconds s_firstSilencePause{200};
constexpr std::uint32_t s_maximumSilenceDoublings = 2;
/// The expected need is that of this time, at the rate of the requests of about the last second.
constexpr Seconds s_needHorizon{0.3};
constexpr Seconds s_arrivalDecay{1.0};
/// Time after the last request of a customer until its state is forgotten.
constexpr std::chrono::seconds s_idleLifetime{60};

} // namespace

QuotaBorrower::QuotaBorrower(HostId self, QuotaRules rules, std::uint64_t seed)
    : m_self(std::move(self))
    , m_rules(rules)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_nextNumber(seed)
{
}

void QuotaBorrower::setHosts(std::vector<HostId> registeredHosts)
{
    m_hosts = std::move(registeredHosts);
    ++m_hostsVersion;
}

void QuotaBorrower::arrive(CustomerHash customer, BootTime now)
{
    State &state = m_customers[customer];
    state.arrivals = state.arrivals * std::exp(-Seconds(now - state.arrivedAt) / s_arrivalDecay) + 1;
    state.arrivedAt = now;
    ++state.waiting;
}

void QuotaBorrower::giveUp(CustomerHash customer)
{
    --m_customers[customer].waiting;
}

void QuotaBorrower::chooseLenders(CustomerHash customer, State &state) const
{
    if (state.hostsVersion == m_hostsVersion) {
        return;
    }
    std::map<HostId, LenderState> lenders;
    for (const HostId &host : lendersOf(customer, m_hosts)) {
        lenders.emplace(host, state.lenders[host]);
    }
    state.lenders = std::move(lenders);
    state.hostsVersion = m_hostsVersion;
}

void QuotaBorrower::dropExpired(State &state, BootTime now)
{
    while (!state.pool.empty() && state.pool.begin()->first <= now) {
        m_expiredPermits += state.pool.begin()->second;
        state.pool.erase(state.pool.begin());
    }
}

void QuotaBorrower::recordSilence(LenderState &lender, BootTime now)
{
    lender.silentUntil = now + s_firstSilencePause * (1U << lender.silences);
    lender.silences = std::min(lender.silences + 1, s_maximumSilenceDoublings);
}

std::uint32_t QuotaBorrower::neededPermits(const State &state, BootTime now) const
{
    const double recent = state.arrivals * std::exp(-Seconds(now - state.arrivedAt) / s_arrivalDecay);
    const double expected = recent / s_arrivalDecay.count() * s_needHorizon.count();
    // Permits that nobody uses are lost to the customer, so that only those are requested that are likely to be used: one standard deviation less
    // than expected.
    const double likely = std::max(0.0, expected - std::sqrt(expected));
    return std::min(std::max(1U, state.waiting) + static_cast<std::uint32_t>(likely), maximumPermits);
}

const HostId *QuotaBorrower::nextLender(const State &state, BootTime now)
{
    std::vector<const HostId *> usable;
    for (const auto &[host, lender] : state.lenders) {
        if (lender.emptyUntil > now || lender.silentUntil > now) {
            continue;
        }
        if (host == m_self) {
            // This costs no datagram.
            return &host;
        }
        usable.push_back(&host);
    }
    if (usable.empty()) {
        return nullptr;
    }
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random)];
}

PermitsNeeded QuotaBorrower::request(CustomerHash customer, State &state, const HostId &lender, const QuotaLimit &limit, BootTime now)
{
    const std::uint64_t number = m_nextNumber++;
    const std::uint32_t count = neededPermits(state, now);
    // The lifetime counts from now: the lender can't have lent the permits before.
    m_sent[number] = {customer, lender, count, now, now + permitLifetime(m_rules, limit)};
    state.awaited = number;
    return {lender, {m_self, number, customer, count}};
}

QuotaBorrower::Step QuotaBorrower::nextStep(CustomerHash customer, const QuotaLimit &limit, BootTime now)
{
    State &state = m_customers[customer];
    dropExpired(state, now);
    if (!state.pool.empty()) {
        const auto first = state.pool.begin();
        const Permit permit{first->first};
        if (--first->second == 0) {
            state.pool.erase(first);
        }
        --state.waiting;
        return permit;
    }
    if (state.awaited) {
        const auto sent = m_sent.find(*state.awaited);
        if (sent != m_sent.end() && now < sent->second.sentAt + lenderReplyTimeout) {
            return ReplyAwaited{sent->second.sentAt + lenderReplyTimeout};
        }
        const auto lender = sent != m_sent.end() ? state.lenders.find(sent->second.lender) : state.lenders.end();
        if (lender != state.lenders.end()) {
            recordSilence(lender->second, now);
        }
        state.awaited.reset();
    }
    chooseLenders(customer, state);
    if (const HostId *lender = nextLender(state, now)) {
        return request(customer, state, *lender, limit, now);
    }
    --state.waiting;
    std::optional<BootTime> room;
    for (const auto &[host, lender] : state.lenders) {
        if (lender.emptyUntil > now) {
            room = std::min(room.value_or(lender.emptyUntil), lender.emptyUntil);
        }
    }
    if (!room) {
        return QuotaUnavailable{};
    }
    return QuotaExceeded{*room - now};
}

std::optional<CustomerHash> QuotaBorrower::receive(const PermitReply &reply, BootTime now)
{
    const auto sent = m_sent.find(reply.number);
    if (sent == m_sent.end() || sent->second.lender != reply.from || reply.granted > sent->second.count) {
        return std::nullopt;
    }
    const SentRequest request = sent->second;
    m_sent.erase(sent);
    State &state = m_customers[request.customer];
    if (state.awaited == reply.number) {
        state.awaited.reset();
    }
    m_borrowedPermits += reply.granted;
    if (reply.granted > 0) {
        state.pool[request.expiresAt] += reply.granted;
        dropExpired(state, now);
    }
    const auto lender = state.lenders.find(reply.from);
    if (lender != state.lenders.end()) {
        const bool isEmpty = reply.isLending && reply.granted < request.count;
        lender->second.emptyUntil = isEmpty ? now + reply.timeUntilRoom : BootTime{};
        if (reply.isLending) {
            lender->second.silentUntil = {};
            lender->second.silences = 0;
        } else {
            recordSilence(lender->second, now);
        }
    }
    return request.customer;
}

void QuotaBorrower::release(CustomerHash customer, const Permit &permit, BootTime now)
{
    State &state = m_customers[customer];
    ++state.pool[permit.expiresAt];
    dropExpired(state, now);
}

void QuotaBorrower::prune(BootTime now)
{
    for (auto it = m_sent.begin(); it != m_sent.end();) {
        it = now < std::max(it->second.expiresAt, it->second.sentAt + lenderReplyTimeout) ? std::next(it) : m_sent.erase(it);
    }
    for (auto it = m_customers.begin(); it != m_customers.end();) {
        dropExpired(it->second, now);
        const bool isIdle = it->second.waiting == 0 && it->second.pool.empty() && now - it->second.arrivedAt > s_idleLifetime;
        it = isIdle ? m_customers.erase(it) : std::next(it);
    }
}

} // namespace Trefoil
