#include <LibSteering/leaseguard.h>

namespace Trefoil
{

bool LeaseGuard::isValid(BootTime now) const
{
    return now.time_since_epoch().count() < m_validUntilNanoseconds.load(std::memory_order_acquire);
}

void LeaseGuard::extend(BootTime validUntil)
{
    const std::int64_t wanted = validUntil.time_since_epoch().count();
    std::int64_t current = m_validUntilNanoseconds.load(std::memory_order_relaxed);
    while (current < wanted && !m_validUntilNanoseconds.compare_exchange_weak(current, wanted, std::memory_order_release)) { }
}

void LeaseGuard::revoke()
{
    m_validUntilNanoseconds.store(0, std::memory_order_release);
}

} // namespace Trefoil
