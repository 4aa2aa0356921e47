#pragma once

#include <StandIns/faults.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Trefoil::StandIns
{

struct ServiceRequest
{
    std::string method;
    std::string target;
    std::string body;
    std::string ifNoneMatch;
};

struct ServiceReply
{
    int status = 200;
    std::string body;
    std::string entityTag{};
};

/// What distinguishes one stand-in from another.
struct PlatformService
{
    std::function<Access(const ServiceRequest &request)> access;
    /// Handles a request; staleRead asks for the state that rememberState() kept.
    std::function<ServiceReply(const ServiceRequest &request, bool staleRead)> handle;
    std::function<void()> rememberState;
    /// Handles members of a control request that belong to this service only; may be empty.
    std::function<void(const nlohmann::json &control)> control;
};

/// HTTP server of one stand-in, with faults and counters at /control.
/// Thread safety: the thread that runs the io_context.
class PlatformServer
{
public:
    /// Listens on address, IP:port; port 0 picks a free port. Throws boost::system::system_error when it cannot.
    PlatformServer(boost::asio::io_context &context, const std::string &address, PlatformService service, RateLimits limits = {});
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /// The listening IP:port.
    std::string address() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Trefoil::StandIns
