#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace Trefoil
{

/// Tells worker threads with queued requests that a slot became free on another one. Slots are shared by all workers,
/// queues are not.
class SlotSignal
{
public:
    /// Precondition: the number of workers is fixed before requests arrive.
    explicit SlotSignal(std::size_t workers);

    /// Sets what a worker runs when a slot became free. Precondition: before requests arrive; context outlives this object.
    void attach(std::size_t worker, boost::asio::io_context &context, std::function<void()> wake);

    /// Tells whether a worker has queued requests. Thread safety: the worker's thread.
    void setWaiting(std::size_t worker, bool waiting);

    /// Wakes one waiting worker other than the given one, each in turn. Thread safety: safe from any thread.
    void slotFreed(std::size_t fromWorker);

private:
    struct Worker
    {
        boost::asio::io_context *context = nullptr;
        std::function<void()> wake;
        std::atomic<bool> waiting{false};
        /// A wake-up was posted and has not run yet; more would only fill the worker's event queue.
        std::atomic<bool> wakePending{false};
    };

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<std::size_t> m_next{0};
};

} // namespace Trefoil
