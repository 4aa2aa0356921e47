#include <StandIns/platformserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Trefoil::StandIns
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::yield_context;
using asio::ip::tcp;

struct PlatformServer::State : std::enable_shared_from_this<PlatformServer::State>
{
    State(asio::io_context &ioContext, const tcp::endpoint &endpoint, PlatformService platformService, RateLimits limits)
        : context(ioContext)
        , acceptor(ioContext, endpoint)
        , service(std::move(platformService))
        , faults(limits)
    {
    }

    void start()
    {
        asio::spawn(context, [self = shared_from_this()](const yield_context &yield) { self->acceptAll(yield); });
    }

    void acceptAll(const yield_context &yield)
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = std::make_shared<tcp::socket>(context);
            acceptor.async_accept(*socket, yield[error]);
            if (error) {
                return;
            }
            socket->set_option(tcp::no_delay(true), error);
            asio::spawn(context, [self = shared_from_this(), socket](const yield_context &connectionYield) { self->serve(*socket, connectionYield); });
        }
    }

    void serve(tcp::socket &socket, const yield_context &yield)
    {
        const std::uint64_t openedAt = faults.silencedConnections();
        beast::flat_buffer buffer;
        for (;;) {
            boost::system::error_code error;
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::uint64_t{64} * 1024 * 1024);
            http::async_read(socket, buffer, parser, yield[error]);
            if (error) {
                return;
            }
            const auto message = parser.release();
            const ServiceRequest request{
                std::string(message.method_string()), std::string(message.target()), message.body(), std::string(message[http::field::if_none_match])};
            const auto answer = reply(request, openedAt, yield);
            if (!answer || !write(socket, *answer, message.keep_alive(), yield)) {
                return;
            }
        }
    }

    bool write(tcp::socket &socket, const ServiceReply &answer, bool keepAlive, const yield_context &yield)
    {
        http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
        response.set(http::field::content_type, "application/json");
        if (!answer.entityTag.empty()) {
            response.set(http::field::etag, answer.entityTag);
        }
        response.body() = answer.body;
        response.keep_alive(keepAlive);
        response.prepare_payload();
        boost::system::error_code error;
        http::async_write(socket, response, yield[error]);
        return !error && keepAlive;
    }

    void sleep(std::chrono::milliseconds duration, const yield_context &yield)
    {
        asio::steady_timer timer(context, duration);
        boost::system::error_code error;
        timer.async_wait(yield[error]);
    }

    /// Holds the connection open without an answer for as long as the condition holds.
    template<typename Condition>
    void holdWhile(Condition condition, const yield_context &yield)
    {
        while (!closed && condition()) {
            sleep(std::chrono::milliseconds(20), yield);
        }
    }

    /// The answer, or nothing when the connection is to be closed without one.
    std::optional<ServiceReply> reply(const ServiceRequest &request, std::uint64_t openedAt, const yield_context &yield)
    {
        if (request.target == "/control") {
            return control(request);
        }
        if (openedAt != faults.silencedConnections()) {
            holdWhile([] { return true; }, yield);
            return std::nullopt;
        }
        const Access access = service.access(request);
        const FaultDecision fault = faults.next(access);
        if (fault.mode == FaultMode::Down) {
            return std::nullopt;
        }
        if (fault.mode == FaultMode::Frozen) {
            holdWhile([this] { return faults.mode() == FaultMode::Frozen; }, yield);
            return std::nullopt;
        }
        if (!faults.admit(access, std::chrono::steady_clock::now())) {
            return ServiceReply{429, R"({"error": "rate-limit"})"};
        }
        if (fault.mode == FaultMode::Slow) {
            sleep(fault.delay, yield);
        }
        auto answer = service.handle(request, fault.mode == FaultMode::StaleReads && access == Access::Read);
        if (fault.mode == FaultMode::LoseAnswers) {
            return std::nullopt;
        }
        return answer;
    }

    ServiceReply control(const ServiceRequest &request)
    {
        if (request.method == "GET") {
            return {200, faults.counters().dump()};
        }
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const std::string fault = faults.control(body);
        if (!fault.empty()) {
            return {400, nlohmann::json{{"error", "invalid-control"}, {"message", fault}}.dump()};
        }
        service.rememberState();
        if (service.control) {
            service.control(body);
        }
        return {200, faults.counters().dump()};
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    PlatformService service;
    Faults faults;
    bool closed = false;
};

namespace
{

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, const std::string &address, PlatformService service, RateLimits limits)
    : m_state(std::make_shared<State>(context, endpointOf(address), std::move(service), limits))
{
    m_state->start();
}

PlatformServer::~PlatformServer()
{
    m_state->closed = true;
    boost::system::error_code error;
    m_state->acceptor.close(error);
}

std::string PlatformServer::address() const
{
    const auto endpoint = m_state->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace Trefoil::StandIns
