#include <LibSteering/shiftwindow.h>

#include <algorithm>
#include <cassert>

namespace Trefoil
{

ShiftWindow::ShiftWindow(std::chrono::nanoseconds interval)
    : m_acquired(interval)
{
    assert(interval >= std::chrono::milliseconds(1));
}

bool ShiftWindow::tryAcquire(BootTime now)
{
    return m_acquired.tryAdd(usable(now).value(), now);
}

void ShiftWindow::setGranted(RequestCount granted, BootTime now)
{
    assert(granted.value() >= 0 && granted.value() <= 16'000'000);
    mergeUsableRaises(now);
    if (granted.value() > m_granted) {
        addRaise(granted.value() - m_granted, now + m_acquired.window());
        m_granted = granted.value();
        return;
    }
    std::int64_t surplus = m_granted - granted.value();
    m_granted = granted.value();
    for (auto &raise : m_raises) {
        const std::int64_t removed = std::min(surplus, raise.requests.load());
        raise.requests.fetch_sub(removed);
        surplus -= removed;
    }
    m_usable.fetch_sub(surplus);
}

RequestCount ShiftWindow::usable(BootTime now) const
{
    std::int64_t sum = m_usable.load();
    for (const auto &raise : m_raises) {
        const std::int64_t requests = raise.requests.load();
        if (requests > 0 && raise.usableAtNanoseconds.load() <= now.time_since_epoch().count()) {
            sum += requests;
        }
    }
    return RequestCount(sum);
}

void ShiftWindow::mergeUsableRaises(BootTime now)
{
    for (auto &raise : m_raises) {
        if (raise.usableAtNanoseconds.load() <= now.time_since_epoch().count()) {
            // Removed from the entry before it is added to m_usable, so a concurrent reader may count too few requests. It would count too many only
            // if it read m_usable after the addition and the entry before its removal, which the order of its reads excludes.
            const std::int64_t requests = raise.requests.exchange(0);
            m_usable.fetch_add(requests);
        }
    }
}

void ShiftWindow::addRaise(std::int64_t requests, BootTime usableAt)
{
    Raise *entry = &m_raises[0];
    for (auto &raise : m_raises) {
        if (raise.requests.load() == 0) {
            entry = &raise;
            break;
        }
        if (raise.usableAtNanoseconds.load() > entry->usableAtNanoseconds.load()) {
            entry = &raise;
        }
    }
    // If no entry is free, the newest raise absorbs this one, and both become usable at the later time.
    entry->usableAtNanoseconds.store(usableAt.time_since_epoch().count());
    entry->requests.fetch_add(requests);
}

} // namespace Trefoil
