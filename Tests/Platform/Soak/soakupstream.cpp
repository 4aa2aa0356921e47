#include <Platform/Soak/soakupstream.h>

#include <LibCore/sleep.h>
#include <LibGateway/gatewayheaders.h>
#include <platform/decode.h>

#include <fmt/format.h>
#include <stdexcept>

namespace Trefoil::Soak
{

namespace
{

constexpr int s_slots = 8;
constexpr std::chrono::duration<double, std::milli> s_workTime{30};

} // namespace

SoakUpstream::SoakUpstream(boost::asio::io_context &context, Promises &promises, std::string service, std::string region, std::string address)
    : m_context(context)
    , m_promises(promises)
    , m_service(std::move(service))
    , m_region(std::move(region))
    , m_address(std::move(address))
{
}

void SoakUpstream::start(const std::string &id)
{
    HttpServerSettings settings;
    settings.address = m_address;
    auto server = HttpServer::create(
        m_context, settings, [this](HttpRequest &request, CallerConnection &, const boost::asio::yield_context &yield) { return answer(request, yield); });
    if (server.has_error()) {
        throw std::runtime_error("upstream " + id + ": " + server.error().message);
    }
    m_id = id;
    behaviour = {};
    m_server = std::move(server.value());
}

void SoakUpstream::kill()
{
    m_server.reset();
}

HttpResponse SoakUpstream::answer(const HttpRequest &request, const boost::asio::yield_context &yield)
{
    static const GatewayHeaders names = Platform::platformHeaders();
    const std::string requestId(request.headers.value(names.requestId));
    HttpResponse response;
    response.headers.add(names.requestId, requestId);
    response.headers.add(names.load, fmt::format("{},0,{}", m_running, s_slots));
    if (request.headers.value(names.expectedUpstream) != m_id) {
        response.status = 421;
        return response;
    }
    if (behaviour.sheds || m_running >= s_slots) {
        response.status = 503;
        response.headers.add(names.notRun, "1");
        return response;
    }
    m_promises.began({requestId, m_service, m_id, BootClock::now(), parseMilliseconds(request.headers.value(names.timeLeft)), m_region});
    ++m_running;
    sleepFor(m_context, std::chrono::duration_cast<std::chrono::steady_clock::duration>(s_workTime * behaviour.slowness), yield);
    --m_running;
    response.status = behaviour.fails ? 500 : 200;
    response.headers.add(names.stamp, "stamp");
    response.body = requestId;
    return response;
}

} // namespace Trefoil::Soak
