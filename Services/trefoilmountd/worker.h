#pragma once

#include <Services/trefoilmountd/requestpath.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

namespace Trefoil
{

/// One worker thread: it accepts callers' connections on the shared address and serves their requests.
/// Thread safety: all methods are called from one thread other than the worker's.
class Worker
{
public:
    /// Binds the address. Precondition: everything in shared outlives the worker.
    static Result<std::unique_ptr<Worker>> create(
        const std::string &address, const RequestPathSettings &settings, const RequestPathShared &shared, std::size_t index);

    /// Stops the thread immediately; requests in flight are aborted.
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Starts the thread. Precondition: called once.
    void start();

    /// Makes further responses close their connections, and rejects requests that aren't read completely after the given time.
    void announceClose(std::chrono::milliseconds readTime);

    /// Closes the listening socket and idle connections.
    void closeIdle();

    /// After closeIdle() not 0 before its thread has closed the listening socket.
    std::size_t openConnections() const;
    std::size_t unansweredRequests() const;

    /// The listening IP:port.
    std::string address() const;

private:
    Worker(const RequestPathSettings &settings, const RequestPathShared &shared, std::size_t index);
    void run();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    RequestPath m_path;
    std::unique_ptr<HttpServer> m_server;
    /// The thread hasn't run the close yet.
    std::atomic<bool> m_isCloseWaiting{false};
    std::thread m_thread;
};

} // namespace Trefoil
