#include <Services/trefoilmountd/slotsignal.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace Trefoil
{

SlotSignal::SlotSignal(std::size_t workers)
{
    for (std::size_t i = 0; i < workers; ++i) {
        m_workers.push_back(std::make_unique<Worker>());
    }
}

void SlotSignal::attach(std::size_t worker, boost::asio::io_context &context, std::function<void()> wake)
{
    m_workers[worker]->context = &context;
    m_workers[worker]->wake = std::move(wake);
}

void SlotSignal::setWaiting(std::size_t worker, bool waiting)
{
    m_workers[worker]->waiting.store(waiting);
}

void SlotSignal::slotFreed(std::size_t fromWorker)
{
    const std::size_t count = m_workers.size();
    if (count < 2) {
        return;
    }
    const std::size_t start = m_next.fetch_add(1, std::memory_order_relaxed);
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = (start + i) % count;
        Worker &worker = *m_workers[index];
        if (index == fromWorker || !worker.waiting.load() || worker.wakePending.exchange(true)) {
            continue;
        }
        boost::asio::post(*worker.context, [&worker] {
            worker.wakePending.store(false);
            worker.wake();
        });
        return;
    }
}

} // namespace Trefoil
