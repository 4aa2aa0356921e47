#pragma once

#include <LibHttp/connectionpool.h>
#include <Services/trefoilmountd/host.h>
#include <StandIns/upstream.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Trefoil
{

/// Claims in memory, with the same results as claims in the table service.
class MemoryClaims
{
public:
    /// Precondition: this object outlives the access.
    ClaimAccess access();

private:
    struct Row
    {
        bool running = true;
        bool hasResponse = false;
        StoredResponse response;
    };

    ClaimResult read(const std::string &key);

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
};

/// Upstreams of one service, on a separate thread.
class TestUpstreams
{
public:
    TestUpstreams(std::size_t count, UpstreamStandInSettings settings);
    ~TestUpstreams();
    TestUpstreams(const TestUpstreams &) = delete;
    TestUpstreams &operator=(const TestUpstreams &) = delete;

    UpstreamStandIn &operator[](std::size_t index);
    std::size_t size() const;
    /// Number of requests that have started on all upstreams.
    std::uint64_t startedRequests() const;

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
    std::thread m_thread;
};

/// A configuration of regions gulf and plains with the service catalogue-svc in gulf, tenant museum and the classes
/// browse (repeatable) and order (not repeatable).
std::shared_ptr<const Configuration> testConfiguration(const std::vector<std::string> &upstreamAddresses, int slots);

HostOptions testHostOptions(const std::string &id, const std::string &region);

/// One host that runs on a separate thread until it is stopped.
class TestHost
{
public:
    /// Without upstreams the host holds no grants and can only relay.
    TestHost(HostOptions options, ClaimAccess claims, TestUpstreams *upstreams, int slots = 4);
    ~TestHost();
    TestHost(const TestHost &) = delete;
    TestHost &operator=(const TestHost &) = delete;

    Host &host();
    std::string address() const;
    /// Publishes the hosts for look-ups and relays.
    void setHosts(const std::vector<HostRouting> &hosts);
    HostRouting routing() const;
    /// Waits for the end of a planned stop.
    void join();

private:
    void publishConfiguration(TestUpstreams *upstreams, int slots);

    HostOptions m_options;
    std::unique_ptr<Host> m_host;
    std::thread m_thread;
};

/// A caller with its own connections. Thread safety: one thread at a time.
class TestCaller
{
public:
    CallResult call(const std::string &address, const HttpRequest &request, std::chrono::milliseconds timeout = std::chrono::seconds(5));

private:
    boost::asio::io_context m_context{1};
    ConnectionPool m_pool{m_context, {}};
};

/// A request of tenant museum in the given class.
HttpRequest testRequest(const std::string &requestClass, const std::string &key = {});

/// "status outcome", or the kind of the failure.
std::string summaryOf(const CallResult &result);

} // namespace Trefoil
