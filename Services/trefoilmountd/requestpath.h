#pragma once

#include <LibHttp/connectionpool.h>
#include <LibHttp/httpserver.h>
#include <LibSteering/retrybudget.h>
#include <LibTelemetry/requestmetrics.h>
#include <Services/trefoilmountd/admission.h>
#include <Services/trefoilmountd/claim.h>
#include <Services/trefoilmountd/relay.h>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Trefoil
{

/// Identity of the host and settings of its connections.
struct RequestPathSettings
{
    HostId host;
    RegionId region;
    Incarnation incarnation;
    /// Shared by all hosts. When it is empty, relayed requests are rejected and none are relayed.
    std::string peerSecret;
    /// Local IP of connections to upstreams and hosts; chosen by the system when empty.
    std::string sourceAddress;
};

/// Shared by the request paths of all workers.
struct RequestPathShared
{
    HostState &state;
    /// Owned by the host, which can replace it until it starts.
    const ClaimAccess &claims;
    SlotSignal &signal;
    RetryBudget &retryBudget;
    RequestMetrics &metrics;
    /// Requests in progress, look-ups included.
    std::atomic<std::int64_t> &inFlight;
    std::shared_ptr<FramingRejections> framingRejections;
    std::shared_ptr<ConnectionEvents> connectionEvents;
};

/// The pipeline of one worker: parse, classify, admit, claim, select, dispatch, check, record, respond.
/// Thread safety: the worker's thread, which holds a SnapshotReaderThread.
class RequestPath
{
public:
    /// Precondition: one thread runs context; everything in shared outlives the object.
    RequestPath(boost::asio::io_context &context, RequestPathSettings settings, const RequestPathShared &shared, std::size_t worker);

    /// Handles one request of a caller or of another host.
    HttpResponse handle(HttpRequest &request, CallerConnection &caller, const boost::asio::yield_context &yield);

    /// Closes upstream connections whose idle time has expired.
    void closeExpired();

private:
    /// A request in progress, with the attempts made so far.
    struct ActiveRequest
    {
        const HttpRequest &original;
        ClassifiedRequest request;
        CallerConnection &caller;
        std::set<UpstreamId> triedUpstreams{};
        std::set<HostId> triedHosts{};
        std::chrono::nanoseconds waiting{0};
        std::uint32_t attempts = 0;
    };

    HttpResponse serve(ParsedRequest parsed, const HttpRequest &original, CallerConnection &caller, const boost::asio::yield_context &yield);
    RequestEnd run(ActiveRequest &active, const boost::asio::yield_context &yield);
    RequestEnd runNonRepeatable(ActiveRequest &active, const boost::asio::yield_context &yield);
    RequestEnd runRepeatable(ActiveRequest &active, const boost::asio::yield_context &yield);
    RequestEnd attempt(ActiveRequest &active, const boost::asio::yield_context &yield);
    AdmissionResult waitForSlot(ActiveRequest &active, const boost::asio::yield_context &yield);
    std::optional<ReadyDispatch> selectUntried(const ActiveRequest &active, SlotRejection &rejection);
    std::optional<RelayTarget> relayTarget(ActiveRequest &active, SlotRejection rejection) const;
    bool mustRelay(const ActiveRequest &active) const;
    RequestEnd dispatch(ActiveRequest &active, ReadyDispatch ready, const boost::asio::yield_context &yield);
    RequestEnd relay(ActiveRequest &active, RelayTarget target, const boost::asio::yield_context &yield);
    void recordUpstream(const ActiveRequest &active, ReadyDispatch &ready, const CallResult &result, BootTime startedAt);
    void releaseAfterWork(const ActiveRequest &active, std::shared_ptr<ReadyDispatch> ready, bool cancel);
    void recordMetrics(const ActiveRequest &active, RequestSeries &series, const RequestEnd &end, BootTime startedAt) const;
    RequestId nextId();

    boost::asio::io_context &m_context;
    RequestPathSettings m_settings;
    RequestPathShared m_shared;
    std::size_t m_worker;
    ConnectionPool m_pool;
    Admission m_admission;
    std::uint64_t m_lastId = 0;
};

} // namespace Trefoil
