#pragma once

#include <Platform/Soak/promises.h>

#include <LibHttp/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
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

/// Stand-in for one upstream of the platform, in the process of the soak. It tells each execution to the promises, and its
/// response is the id of the request. Thread safety: not safe; everything runs on the thread of the context.
class SoakUpstream
{
public:
    /// Precondition: the objects behind the references outlive the upstream and all work of the context.
    SoakUpstream(boost::asio::io_context &context, Promises &promises, std::string service, std::string region, std::string address);
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
    HttpResponse answer(const HttpRequest &request, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    Promises &m_promises;
    std::string m_service;
    std::string m_region;
    std::string m_address;
    std::string m_id;
    int m_running = 0;
    std::shared_ptr<Process> m_process;
};

} // namespace Trefoil::Soak
