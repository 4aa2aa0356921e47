#pragma once

#include <Platform/Soak/promises.h>

#include <LibHttp/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <set>

namespace Trefoil::Soak
{

/// How an upstream behaves at the moment.
struct UpstreamBehaviour
{
    bool fails = false;
    bool sheds = false;
    /// Writes each rejection once more when the next request comes on its connection.
    bool repeatsRejections = false;
    /// Factor on the time that a request takes.
    double slowness = 1;
};

/// How much an upstream takes on, and how long it works on a request.
struct UpstreamWork
{
    int slots = 8;
    std::chrono::milliseconds shortest{30};
    std::chrono::milliseconds longest{30};
};

/// Stand-in for one upstream of the platform. It tells each execution to the observer, and its
/// response is the id of the request. Thread safety: not safe; everything runs on the thread of the context.
class SoakUpstream
{
public:
    /// Gets each execution as it begins.
    using Observer = std::function<void(const Execution &execution)>;

    /// Precondition: the objects behind the references outlive the upstream and all work of the context.
    SoakUpstream(boost::asio::io_context &context, Observer observer, UpstreamWork work, std::string service, std::string region, std::string address);
    ~SoakUpstream();
    SoakUpstream(const SoakUpstream &) = delete;
    SoakUpstream &operator=(const SoakUpstream &) = delete;

    /// Starts a process of the upstream with a new id. Precondition: none runs.
    void start(const std::string &id);

    /// The process dies; what it works on gets no response.
    void kill();

    bool isRunning() const
    {
        return m_process != nullptr;
    }
    const std::string &id() const
    {
        return m_id;
    }
    const std::string &service() const
    {
        return m_service;
    }

    UpstreamBehaviour behaviour;
    /// Gets the id of each request in which a customer's key turns up. Set before the start; may be empty.
    std::function<void(const std::string &requestId)> onKeySeen;

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// The sockets of one process.
    struct Process
    {
        boost::asio::ip::tcp::acceptor acceptor;
        std::set<std::shared_ptr<Socket>> connections{};
    };

    void accept(const std::shared_ptr<Process> &process, const boost::asio::yield_context &yield);
    void serve(Socket &socket, const boost::asio::yield_context &yield);
    void reportKeys(const HttpRequest &request, const std::string &requestId) const;
    HttpResponse answer(const HttpRequest &request, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    Observer m_observer;
    UpstreamWork m_work;
    pcg32 m_random;
    std::string m_service;
    std::string m_region;
    std::string m_address;
    std::string m_id;
    int m_running = 0;
    std::shared_ptr<Process> m_process;
};

/// An upstream in a process of its own.
struct UpstreamProcess
{
    std::string id;
    std::string service;
    std::string region;
    std::string address;
    UpstreamWork work;
    std::string report;
};

/// Runs the upstream until SIGTERM and writes its executions to the report. Thread safety: call it once in a process.
void runUpstreamProcess(const UpstreamProcess &settings);

/// Reads what runUpstreamProcess() wrote. Precondition: its process has ended. Thread safety: safe from any thread.
std::vector<Execution> readExecutions(const UpstreamProcess &settings);

} // namespace Trefoil::Soak
