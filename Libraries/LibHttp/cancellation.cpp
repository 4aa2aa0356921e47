#include <LibHttp/cancellation.h>

#include <utility>

namespace Trefoil
{

bool Cancellation::isRequested() const
{
    return m_requested;
}

void Cancellation::request()
{
    if (m_requested) {
        return;
    }
    m_requested = true;
    const auto hook = std::exchange(m_hook, nullptr);
    if (hook) {
        hook();
    }
}

void Cancellation::setHook(std::function<void()> hook)
{
    if (m_requested && hook) {
        hook();
        return;
    }
    m_hook = std::move(hook);
}

} // namespace Trefoil
