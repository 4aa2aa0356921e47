#include <Services/trefoilmountd/worker.h>

#include <LibCore/snapshot.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

/// How often expired upstream connections are closed.
constexpr std::chrono::seconds s_housekeepingInterval{5};

} // namespace

Worker::Worker(const RequestPathSettings &settings, const RequestPathShared &shared, std::size_t index)
    : m_work(m_context.get_executor())
    , m_path(m_context, settings, shared, index)
{
}

Result<std::unique_ptr<Worker>> Worker::create(
    const std::string &address, const RequestPathSettings &settings, const RequestPathShared &shared, std::size_t index)
{
    std::unique_ptr<Worker> worker(new Worker(settings, shared, index));
    HttpServerSettings serverSettings;
    serverSettings.address = address;
    serverSettings.sharesAddress = true;
    serverSettings.framingRejections = shared.framingRejections;
    serverSettings.events = shared.connectionEvents;
    serverSettings.requestIdHeader = "Trefoil-Request-Id";
    RequestPath &path = worker->m_path;
    auto server = HttpServer::create(worker->m_context,
        serverSettings,
        [&path](HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield) { return path.handle(request, caller, yield); });
    if (server.has_error()) {
        return server.error();
    }
    worker->m_server = std::move(server.value());
    return worker;
}

Worker::~Worker()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Worker::start()
{
    m_thread = std::thread([this] { run(); });
}

void Worker::run()
{
    const SnapshotReaderThread reader;
    asio::spawn(m_context, [this](const asio::yield_context &yield) {
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(s_housekeepingInterval);
            timer.async_wait(yield);
            m_path.closeExpired();
        }
    });
    m_context.run();
}

void Worker::announceClose(std::chrono::milliseconds readTime)
{
    asio::post(m_context, [this, readTime] { m_server->announceClose(readTime); });
}

void Worker::closeIdle()
{
    m_isCloseWaiting = true;
    asio::post(m_context, [this] {
        m_server->closeIdle();
        m_isCloseWaiting = false;
    });
}

std::size_t Worker::openConnections() const
{
    return m_server->openConnections() + (m_isCloseWaiting.load() ? 1 : 0);
}

std::size_t Worker::unansweredRequests() const
{
    return m_server->unansweredRequests();
}

std::string Worker::address() const
{
    return m_server->address();
}

} // namespace Trefoil
