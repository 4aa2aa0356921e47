#include <LibHttp/connectionlimit.h>

#include <cassert>
#include <utility>

namespace Trefoil
{

ConnectionPermit::ConnectionPermit(std::shared_ptr<ConnectionLimit> limit)
    : m_limit(std::move(limit))
{
}

ConnectionPermit::~ConnectionPermit()
{
    if (m_limit) {
        m_limit->m_open.fetch_sub(1);
    }
}

ConnectionLimit::ConnectionLimit(ConnectionCount granted)
    : m_granted(granted.value())
{
}

std::shared_ptr<ConnectionLimit> ConnectionLimit::create(ConnectionCount granted)
{
    return std::shared_ptr<ConnectionLimit>(new ConnectionLimit(granted));
}

std::optional<ConnectionPermit> ConnectionLimit::tryAcquire()
{
    std::int32_t open = m_open.load();
    while (open < m_granted.load()) {
        if (m_open.compare_exchange_weak(open, open + 1)) {
            return ConnectionPermit(shared_from_this());
        }
    }
    return std::nullopt;
}

void ConnectionLimit::setGranted(ConnectionCount granted)
{
    assert(granted.value() >= 0);
    m_granted.store(granted.value());
}

ConnectionCount ConnectionLimit::granted() const
{
    return ConnectionCount(m_granted.load());
}

ConnectionCount ConnectionLimit::open() const
{
    return ConnectionCount(m_open.load());
}

} // namespace Trefoil
