#include <LibSteering/linkbudget.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Trefoil
{

namespace
{

/// Percentage of a second's capacity that may be spent in one burst. A smaller bucket rejects single large responses; a larger one takes more away
/// from the sustained rate.
constexpr std::int64_t s_burstPercent = 5;
/// Time in which the sustained rate fills the bucket: 5% of a second's capacity at 95% of the rate.
constexpr std::int64_t s_fillNanoseconds = 1'000'000'000 * s_burstPercent / (100 - s_burstPercent);

/// Time in which the sustained rate of a grant transmits the bytes, rounded up.
std::int64_t transmissionNanoseconds(Bytes bytes, std::int64_t kilobitsPerSecond)
{
    const std::int64_t sustained = std::max<std::int64_t>(1, kilobitsPerSecond * (100 - s_burstPercent) / 100);
    return (bytes.value() * 8'000'000 + sustained - 1) / sustained;
}

} // namespace

LinkReservation::LinkReservation(std::shared_ptr<LinkBudget> budget, Bytes reserved, BootTime reservedAt)
    : m_budget(std::move(budget))
    , m_reserved(reserved)
    , m_reservedAt(reservedAt)
{
}

void LinkReservation::settle(Bytes actual, BootTime now)
{
    assert(m_budget);
    const std::shared_ptr<LinkBudget> budget = std::move(m_budget);
    const std::int64_t rate = budget->m_granted.load();
    if (rate <= 0) {
        return;
    }
    const std::int64_t change = transmissionNanoseconds(actual, rate) - transmissionNanoseconds(m_reserved, rate);
    budget->recordContent(budget->m_emptyAtNanoseconds.load(), now);
    const bool stayedBelowHalf = budget->m_halfFullAtNanoseconds.load() < m_reservedAt.time_since_epoch().count();
    if (change >= 0) {
        const std::int64_t oldest = now.time_since_epoch().count() - s_fillNanoseconds;
        std::int64_t emptyAt = budget->m_emptyAtNanoseconds.load();
        while (!budget->m_emptyAtNanoseconds.compare_exchange_weak(emptyAt, std::max(emptyAt, oldest) + change)) { }
    } else if (stayedBelowHalf && -change <= s_fillNanoseconds / 2) {
        budget->recordContent(budget->m_emptyAtNanoseconds.fetch_add(change) + change, now);
    }
}

std::shared_ptr<LinkBudget> LinkBudget::create()
{
    return std::shared_ptr<LinkBudget>(new LinkBudget);
}

std::optional<LinkReservation> LinkBudget::tryReserve(Bytes estimate, BootTime now)
{
    assert(estimate.value() > 0);
    const std::int64_t rate = m_granted.load();
    if (rate <= 0) {
        return std::nullopt;
    }
    const std::int64_t cost = transmissionNanoseconds(estimate, rate);
    const std::int64_t clock = now.time_since_epoch().count();
    std::int64_t emptyAt = m_emptyAtNanoseconds.load();
    recordContent(emptyAt, now);
    std::int64_t next = 0;
    do {
        const std::int64_t start = std::max(emptyAt, clock - s_fillNanoseconds);
        if (start + std::min(cost, s_fillNanoseconds) > clock) {
            return std::nullopt;
        }
        next = start + cost;
    } while (!m_emptyAtNanoseconds.compare_exchange_weak(emptyAt, next));
    if (m_granted.load() != rate) {
        // The grant has changed in the meantime, so the cost was computed for the wrong rate. The charge is not refunded, which is safe.
        return std::nullopt;
    }
    return LinkReservation(shared_from_this(), estimate, now);
}

void LinkBudget::setGranted(KilobitsPerSecond granted, BootTime now)
{
    assert(granted.value() >= 0);
    const std::int64_t previous = m_granted.load();
    if (previous == granted.value()) {
        return;
    }
    // No reservation succeeds during the change, so that none combines the content at one rate with the other rate.
    m_granted.store(0);
    const std::int64_t clock = now.time_since_epoch().count();
    std::int64_t emptyAt = m_emptyAtNanoseconds.load();
    std::int64_t next = 0;
    do {
        const std::int64_t debt = std::max<std::int64_t>(0, emptyAt - clock);
        // The debt is preserved in bytes: at a lower rate it takes longer to repay.
        const double scale = granted.value() > 0 ? static_cast<double>(previous) / static_cast<double>(granted.value()) : 1.0;
        next = clock + static_cast<std::int64_t>(static_cast<double>(debt) * scale);
    } while (!m_emptyAtNanoseconds.compare_exchange_weak(emptyAt, next));
    m_halfFullAtNanoseconds.store(clock);
    m_granted.store(granted.value());
}

void LinkBudget::recordContent(std::int64_t emptyAt, BootTime now)
{
    const std::int64_t clock = now.time_since_epoch().count();
    if (clock - emptyAt < s_fillNanoseconds / 2) {
        return;
    }
    std::int64_t recorded = m_halfFullAtNanoseconds.load();
    while (recorded < clock && !m_halfFullAtNanoseconds.compare_exchange_weak(recorded, clock)) { }
}

KilobitsPerSecond LinkBudget::granted() const
{
    return KilobitsPerSecond(m_granted.load());
}

} // namespace Trefoil
