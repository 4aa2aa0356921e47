#pragma once

#include <LibCore/result.h>
#include <LibSteering/retrybudget.h>
#include <LibTelemetry/requestmetrics.h>
#include <Services/trefoilmountd/claimaccess.h>
#include <Services/trefoilmountd/hoststate.h>
#include <Services/trefoilmountd/slotsignal.h>
#include <Services/trefoilmountd/worker.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Trefoil
{

struct HostOptions
{
    HostId host;
    RegionId region;
    ZoneId zone;
    Incarnation incarnation;
    std::string callerAddress;
    std::string sourceAddress;
    std::string peerSecret;
    int threads = 2;
    /// How long a stopping host serves callers with unexpired look-up responses that list it.
    std::chrono::milliseconds stopGrace{6000};
    /// How long to wait for requests in flight after the grace period.
    std::chrono::milliseconds drainTimeout{600000};
};

/// One entry host: the workers of the request path and the control io_context, to which control loops are attached.
/// Lifecycle: create(), attach control loops to controlContext(), start(), run(); requestStop() ends run() after a planned stop.
class Host
{
public:
    /// Binds the caller address with all workers. Precondition: threads is positive.
    static Result<std::unique_ptr<Host>> create(HostOptions options, ClaimAccess claims = {});

    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// The state to which control loops publish. Precondition: none. Thread safety: see HostState.
    HostState &state();

    /// Run by the thread that calls run(). Precondition: none. Thread safety: safe from any thread.
    boost::asio::io_context &controlContext();

    /// Precondition: none. Thread safety: see RequestMetrics.
    RequestMetrics &metrics();

    /// Precondition: none. Thread safety: see FramingRejections.
    FramingRejections &framingRejections();

    /// Precondition: none. Thread safety: see ConnectionEvents.
    ConnectionEvents &connectionEvents();

    /// The bound caller address. Precondition: none. Thread safety: safe from any thread.
    std::string callerAddress() const;

    /// Number of requests in progress, look-ups included. Precondition: none. Thread safety: safe from any thread.
    std::int64_t inFlight() const;

    /// Replaces the access to claims. Precondition: called before start().
    void setClaims(ClaimAccess claims);

    /// Makes a planned stop wait, after the last request, until the condition holds, for at most 5 s.
    /// Precondition: called before run(). The condition is called on the control thread.
    void setStopCondition(std::function<bool()> condition);

    /// Starts serving callers. Precondition: called once.
    void start();

    /// Begins a planned stop: look-up responses leave this host out, responses close their connections, callers are served
    /// for the grace period, and requests in flight complete. Further calls have no effect. Thread safety: safe from any thread.
    void requestStop();

    /// Runs the control io_context until a planned stop is complete.
    /// Precondition: the calling thread holds a SnapshotReaderThread when control loops need one.
    void run();

private:
    Host(HostOptions options, ClaimAccess claims);
    void stopGracefully(const boost::asio::yield_context &yield);
    void logStop(std::string_view event) const;
    std::size_t openConnections() const;

    HostOptions m_options;
    HostState m_state;
    SlotSignal m_signal;
    RetryBudget m_retryBudget;
    RequestMetrics m_metrics;
    std::atomic<std::int64_t> m_inFlight{0};
    std::shared_ptr<FramingRejections> m_framingRejections = std::make_shared<FramingRejections>();
    std::shared_ptr<ConnectionEvents> m_connectionEvents = std::make_shared<ConnectionEvents>();
    ClaimAccess m_claims;
    std::function<bool()> m_stopCondition;
    boost::asio::io_context m_control{1};
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<bool> m_stopRequested{false};
};

} // namespace Trefoil
