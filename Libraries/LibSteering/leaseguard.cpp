#include <LibSteering/leaseguard.h>

namespace Trefoil
{

bool LeaseGuard::isValid(BootTime now) const
{
    return now.time_since_epoch().count() < m_validUntilNanoseconds.load(std::memory_order_acquire);
}

void LeaseGuard::extend(BootTime validUntil)
{
    const std::int64_t requested = validUntil.time_since_epoch().count();
    std::int64_t current = m_validUntilNanoseconds.load(std::memory_order_relaxed);
    while (current < requested && !m_validUntilNanoseconds.compare_exchange_weak(current, requested, std::memory_order_release)) { }
}

void LeaseGuard::revoke()
{
    m_validUntilNanoseconds.store(0, std::memory_order_release);
}

} // namespace Trefoil
