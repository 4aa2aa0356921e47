#include <Services/trefoilmountd/host.h>

#include <LibTelemetry/log.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds s_drainPollInterval{5};
/// Grants that can't be released while the store is unavailable are reclaimed by other hosts.
constexpr std::chrono::seconds s_stopConditionTimeout{5};

} // namespace

Host::Host(HostOptions options, ClaimAccess claims)
    : m_options(std::move(options))
    , m_state(m_options.host, m_options.region, m_options.zone)
    , m_signal(static_cast<std::size_t>(m_options.threads))
    , m_claims(std::move(claims))
{
}

Host::~Host() = default;

Result<std::unique_ptr<Host>> Host::create(HostOptions options, ClaimAccess claims)
{
    std::unique_ptr<Host> host(new Host(std::move(options), std::move(claims)));
    const HostOptions &hostOptions = host->m_options;
    const RequestPathSettings settings{hostOptions.host, hostOptions.region, hostOptions.incarnation, hostOptions.peerSecret, hostOptions.sourceAddress};
    const RequestPathShared shared{host->m_state,
        host->m_claims,
        host->m_signal,
        host->m_retryBudget,
        host->m_metrics,
        host->m_inFlight,
        host->m_framingRejections,
        host->m_connectionEvents};
    std::string address = hostOptions.callerAddress;
    for (int i = 0; i < hostOptions.threads; ++i) {
        auto worker = Worker::create(address, settings, shared, static_cast<std::size_t>(i));
        if (worker.has_error()) {
            return worker.error();
        }
        // With port 0 the system chooses a port for the first worker, which the other workers share.
        address = worker.value()->address();
        host->m_workers.push_back(std::move(worker.value()));
    }
    return host;
}

HostState &Host::state()
{
    return m_state;
}

asio::io_context &Host::controlContext()
{
    return m_control;
}

RequestMetrics &Host::metrics()
{
    return m_metrics;
}

FramingRejections &Host::framingRejections()
{
    return *m_framingRejections;
}

ConnectionEvents &Host::connectionEvents()
{
    return *m_connectionEvents;
}

std::string Host::callerAddress() const
{
    return m_workers.front()->address();
}

std::int64_t Host::inFlight() const
{
    return m_inFlight.load();
}

void Host::setClaims(ClaimAccess claims)
{
    m_claims = std::move(claims);
}

void Host::setStopCondition(std::function<bool()> condition)
{
    m_stopCondition = std::move(condition);
}

void Host::start()
{
    for (const auto &worker : m_workers) {
        worker->start();
    }
    writeLog(LogLevel::Info, "serving-callers", {{"address", callerAddress()}, {"threads", std::int64_t{m_options.threads}}});
}

void Host::requestStop()
{
    if (m_stopRequested.exchange(true)) {
        return;
    }
    m_state.stopping.store(true);
    asio::spawn(m_control, [this](const asio::yield_context &yield) { stopGracefully(yield); });
}

void Host::stopGracefully(const asio::yield_context &yield)
{
    logStop("stopping");
    for (const auto &worker : m_workers) {
        worker->announceClose(m_options.stopGrace + m_options.drainTimeout);
    }
    asio::steady_timer timer(m_control, m_options.stopGrace);
    timer.async_wait(yield);
    for (const auto &worker : m_workers) {
        worker->closeIdle();
    }
    const BootTime drainDeadline = BootClock::now() + m_options.drainTimeout;
    while ((openConnections() > 0 || inFlight() > 0) && BootClock::now() < drainDeadline) {
        timer.expires_after(s_drainPollInterval);
        timer.async_wait(yield);
    }
    const BootTime conditionDeadline = BootClock::now() + s_stopConditionTimeout;
    while (m_stopCondition && !m_stopCondition() && BootClock::now() < conditionDeadline) {
        timer.expires_after(s_drainPollInterval);
        timer.async_wait(yield);
    }
    logStop("stopped");
    m_control.stop();
}

void Host::logStop(std::string_view event) const
{
    std::size_t unanswered = 0;
    for (const auto &worker : m_workers) {
        unanswered += worker->unansweredRequests();
    }
    writeLog(LogLevel::Info,
        event,
        {{"inFlight", inFlight()},
            {"unanswered", static_cast<std::int64_t>(unanswered)},
            {"openConnections", static_cast<std::int64_t>(openConnections())},
            {"acceptedLate", static_cast<std::int64_t>(m_connectionEvents->of(ConnectionEvent::AcceptedLate))}});
}

std::size_t Host::openConnections() const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers) {
        count += worker->openConnections();
    }
    return count;
}

void Host::run()
{
    const auto work = asio::make_work_guard(m_control);
    m_control.run();
}

} // namespace Trefoil
