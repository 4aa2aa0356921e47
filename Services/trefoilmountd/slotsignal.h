#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace Trefoil
{

/// Wakes worker threads with queued requests when another worker releases a slot. Workers share the slots but have
/// separate queues.
class SlotSignal
{
public:
    /// Precondition: the number of workers is fixed before requests arrive.
    explicit SlotSignal(std::size_t workers);

    /// Sets the function that is posted to a worker's context when a slot is free. Precondition: before requests arrive; context outlives this object.
    void attach(std::size_t worker, boost::asio::io_context &context, std::function<void()> wake);

    /// Sets whether a worker has queued requests. Thread safety: the worker's thread.
    void setWaiting(std::size_t worker, bool waiting);

    /// Wakes one worker with queued requests other than the given one, in rotation. Thread safety: safe from any thread.
    void slotFreed(std::size_t fromWorker);

private:
    struct Worker
    {
        boost::asio::io_context *context = nullptr;
        std::function<void()> wake;
        std::atomic<bool> waiting{false};
        /// A wake-up was posted and has not run yet; further ones would only fill the worker's event queue.
        std::atomic<bool> wakePending{false};
    };

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<std::size_t> m_next{0};
};

} // namespace Trefoil
