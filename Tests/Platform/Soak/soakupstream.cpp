#include <Platform/Soak/customerbook.h>
#include <Platform/Soak/soakupstream.h>

#include <LibCore/sleep.h>
#include <LibGateway/gatewayheaders.h>
#include <LibHttp/endpoint.h>
#include <platform/decode.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <stdexcept>

namespace Trefoil::Soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Stands in reports for a request without its time left.
constexpr std::chrono::milliseconds s_noTimeLeft{-1};
constexpr int s_misdirected = 421;
constexpr int s_unavailable = 503;

} // namespace

SoakUpstream::SoakUpstream(boost::asio::io_context &context, Observer observer, UpstreamWork work, std::string service, std::string region, std::string address)
    : m_context(context)
    , m_observer(std::move(observer))
    , m_work(work)
    , m_service(std::move(service))
    , m_region(std::move(region))
    , m_address(std::move(address))
{
}

SoakUpstream::~SoakUpstream()
{
    kill();
}

void SoakUpstream::start(const std::string &id)
{
    const auto endpoint = parseEndpoint(m_address);
    if (endpoint.has_error()) {
        throw std::runtime_error("upstream " + id + ": " + endpoint.error().message);
    }
    m_id = id;
    behaviour = {};
    m_process = std::make_shared<Process>(Process{{m_context, endpoint.value()}});
    asio::spawn(m_context, [this, process = m_process](const asio::yield_context &yield) { accept(process, yield); });
}

void SoakUpstream::kill()
{
    if (!m_process) {
        return;
    }
    boost::system::error_code ignored;
    m_process->acceptor.close(ignored);
    for (const auto &socket : m_process->connections) {
        socket->close(ignored);
    }
    m_process.reset();
}

void SoakUpstream::accept(const std::shared_ptr<Process> &process, const asio::yield_context &yield)
{
    boost::system::error_code error;
    while (!error) {
        auto socket = std::make_shared<Socket>(m_context);
        process->acceptor.async_accept(*socket, yield[error]);
        if (error) {
            break;
        }
        process->connections.insert(socket);
        asio::spawn(m_context, [this, process, socket](const asio::yield_context &connectionYield) {
            serve(*socket, connectionYield);
            process->connections.erase(socket);
        });
    }
}

void SoakUpstream::serve(Socket &socket, const asio::yield_context &yield)
{
    boost::system::error_code error;
    beast::flat_buffer buffer;
    std::optional<http::response<http::string_body>> lastRejection;
    while (true) {
        http::request_parser<http::string_body> parser;
        http::async_read(socket, buffer, parser, yield[error]);
        if (error) {
            return;
        }
        const auto &message = parser.get();
        if (behaviour.repeatsRejections && lastRejection) {
            http::async_write(socket, *lastRejection, yield[error]);
        }
        lastRejection.reset();
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), {}, message.body()};
        for (const auto &field : message) {
            request.headers.add(std::string_view(field.name_string()), std::string_view(field.value()));
        }
        const HttpResponse response = answer(request, yield);
        http::response<http::string_body> reply(http::int_to_status(static_cast<unsigned>(response.status)), message.version(), response.body);
        for (const HttpHeader &field : response.headers.all()) {
            reply.insert(field.name, field.value);
        }
        reply.prepare_payload();
        http::async_write(socket, reply, yield[error]);
        if (error) {
            return;
        }
        if (response.status == s_misdirected || response.status == s_unavailable) {
            lastRejection = std::move(reply);
        }
    }
}

void SoakUpstream::reportKeys(const HttpRequest &request, const std::string &requestId) const
{
    const auto hasKey = [](const std::string &text) { return text.find(s_keyMark) != std::string::npos; };
    const auto &fields = request.headers.all();
    const bool isInHeaders = std::any_of(fields.begin(), fields.end(), [&](const HttpHeader &field) { return hasKey(field.name) || hasKey(field.value); });
    if (onKeySeen && (isInHeaders || hasKey(request.target) || hasKey(request.body))) {
        onKeySeen(requestId);
    }
}

HttpResponse SoakUpstream::answer(const HttpRequest &request, const boost::asio::yield_context &yield)
{
    static const GatewayHeaders names = Platform::platformHeaders();
    const std::string requestId(request.headers.value(names.requestId));
    HttpResponse response;
    response.headers.add(names.requestId, requestId);
    response.headers.add(names.load, fmt::format("{},0,{}", m_running, m_work.slots));
    reportKeys(request, requestId);
    if (request.headers.value(names.expectedUpstream) != m_id) {
        response.status = s_misdirected;
        return response;
    }
    if (behaviour.sheds || m_running >= m_work.slots) {
        response.status = s_unavailable;
        response.headers.add(names.notRun, "1");
        return response;
    }
    std::vector<std::string> customers;
    for (const HttpHeader &field : request.headers.all()) {
        if (isSameHeaderName(field.name, names.customer)) {
            customers.push_back(field.value);
        }
    }
    const auto timeLeft = parseMilliseconds(request.headers.value(names.timeLeft));
    m_observer({requestId, m_service, m_id, BootClock::now(), timeLeft, m_region, fmt::format("{}", fmt::join(customers, ","))});
    ++m_running;
    const auto range = static_cast<std::uint32_t>((m_work.longest - m_work.shortest).count());
    const std::chrono::duration<double, std::milli> workTime = m_work.shortest + std::chrono::milliseconds(m_random(range + 1));
    sleepFor(m_context, std::chrono::duration_cast<std::chrono::steady_clock::duration>(workTime * behaviour.slowness), yield);
    --m_running;
    response.status = behaviour.fails ? 500 : 200;
    response.headers.add(names.stamp, "stamp");
    response.body = requestId;
    return response;
}

void runUpstreamProcess(const UpstreamProcess &settings)
{
    asio::io_context context{1};
    std::ofstream report(settings.report);
    const auto write = [&report](const Execution &execution) {
        report << execution.id << ' ' << execution.begunAt.time_since_epoch().count() << ' ' << execution.timeLeft.value_or(s_noTimeLeft).count() << '\n';
    };
    SoakUpstream upstream(context, write, settings.work, settings.service, settings.region, settings.address);
    upstream.start(settings.id);
    asio::signal_set signals(context, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

std::vector<Execution> readExecutions(const UpstreamProcess &settings)
{
    std::vector<Execution> executions;
    std::ifstream report(settings.report);
    std::string id;
    BootClock::duration::rep begunAt = 0;
    std::chrono::milliseconds::rep timeLeft = 0;
    while (report >> id >> begunAt >> timeLeft) {
        Execution execution{id, settings.service, settings.id, BootTime(BootClock::duration(begunAt)), std::chrono::milliseconds(timeLeft), settings.region};
        if (execution.timeLeft == s_noTimeLeft) {
            execution.timeLeft.reset();
        }
        executions.push_back(std::move(execution));
    }
    return executions;
}

} // namespace Trefoil::Soak
