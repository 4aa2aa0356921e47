#include "memoryscenario.h"

#include "gatewayfixture.h"
#include <LibCore/sleep.h>
#include <LibHttp/endpoint.h>
#include <LibHttp/httpserver.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace Trefoil::GatewayTests
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t s_blockBytes = std::size_t{64} * 1024;
constexpr std::size_t s_smallRequestBytes = 1200;
constexpr double s_bytesPerMegabyte = 1e6;
constexpr std::chrono::milliseconds s_sampleInterval{2};
/// Between small requests.
constexpr std::chrono::milliseconds s_smallPause{5};
/// After the last large request, so that its memory is given back.
constexpr std::chrono::milliseconds s_settleTime{100};
/// A receive buffer of this size keeps the system from taking the response ahead of a slow caller.
constexpr int s_receiveBufferBytes = 64 * 1024;

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// The value of a field in a head; empty when it is absent.
std::string fieldOf(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/// A head and the bytes behind it that came with it.
struct Head
{
    std::string text;
    std::string rest;
};

Head readHead(tcp::socket &socket, std::string held, boost::system::error_code &error, const asio::yield_context &yield)
{
    const std::size_t size = asio::async_read_until(socket, asio::dynamic_buffer(held), "\r\n\r\n", yield[error]);
    return error ? Head{} : Head{held.substr(0, size), held.substr(size)};
}

/// Sends bytes of a body from one block, so that the sender holds no copy of it.
void writeBody(tcp::socket &socket, std::size_t bytes, BodyShape shape, boost::system::error_code &error, const asio::yield_context &yield)
{
    const std::string block(s_blockBytes, 'b');
    const bool isEndless = shape == BodyShape::Endless;
    for (std::size_t left = bytes; !error && (left > 0 || isEndless);) {
        const std::size_t count = isEndless ? block.size() : std::min(left, block.size());
        if (shape != BodyShape::Declared) {
            const std::string size = fmt::format("{:x}\r\n", count);
            asio::async_write(socket, asio::buffer(size), yield[error]);
        }
        if (!error) {
            asio::async_write(socket, asio::buffer(block.data(), count), yield[error]);
        }
        if (!error && shape != BodyShape::Declared) {
            asio::async_write(socket, asio::buffer(std::string_view("\r\n")), yield[error]);
        }
        left -= std::min(left, count);
    }
    if (!error && shape == BodyShape::Chunked) {
        asio::async_write(socket, asio::buffer(std::string_view("0\r\n\r\n")), yield[error]);
    }
}

std::string bodyField(std::size_t bytes, BodyShape shape)
{
    return shape == BodyShape::Declared ? fmt::format("Content-Length: {}\r\n\r\n", bytes) : "Transfer-Encoding: chunked\r\n\r\n";
}

/// The gateway, its server, the upstream and the callers of one scenario.
class MemoryPlay
{
public:
    explicit MemoryPlay(const MemoryScenario &scenario)
        : m_scenario(scenario)
        , m_budget(std::make_shared<MemoryBudget>(memoryLimitsFor(static_cast<std::size_t>(scenario.memory * s_bytesPerMegabyte))))
        , m_fixture(0, 1000us, gatewaySettings())
        , m_acceptor(m_fixture.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        RoutingConfiguration configuration = GatewayFixture::configuration();
        configuration.version = ConfigurationVersion(2);
        for (Route &route : configuration.routes) {
            route.timeout = scenario.timeout;
        }
        m_fixture.state.setConfiguration(std::move(configuration));
        UpstreamRegistration registration;
        registration.id = UpstreamId("bulk");
        registration.service = ServiceId("service");
        registration.address = fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
        registration.zone = ZoneId("zone");
        registration.slots = SlotCount(1000);
        m_fixture.state.upstreamStarted(registration, BootClock::now());
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.input.bodyLimit = std::size_t{64} * 1024 * 1024;
        settings.memory = m_budget;
        m_server =
            std::move(HttpServer::create(m_fixture.context, settings, [this](HttpRequest &request, CallerConnection &caller, const asio::yield_context &yield) {
                return m_fixture.gateway.handle(request, caller, yield);
            }).value());
    }

    MemoryOutcome play()
    {
        m_fixture.run([this](const asio::yield_context &yield) {
            spawn([this](const asio::yield_context &inner) { acceptAll(inner); });
            sendSmall(yield);
            m_baseBytes = residentBytes();
            const BootTime start = BootClock::now();
            spawn([this](const asio::yield_context &inner) { sample(inner); });
            for (int i = 0; i < m_scenario.callers; ++i) {
                spawn([this, i](const asio::yield_context &inner) { sendLarge(i, inner); });
            }
            for (int i = 0; i < m_scenario.endlessCallers; ++i) {
                spawn([this, i](const asio::yield_context &inner) { sendEndless(i, inner); });
            }
            while (m_ended < m_scenario.callers + m_scenario.endlessCallers) {
                sendSmall(yield);
                sleepFor(m_fixture.context, s_smallPause, yield);
            }
            m_outcome.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start);
            sleepFor(m_fixture.context, s_settleTime, yield);
            m_outcome.reservedBytesAtEnd = m_budget->reservedBytes();
        });
        return m_outcome;
    }

private:
    GatewaySettings gatewaySettings() const
    {
        GatewaySettings settings;
        settings.memory = m_budget;
        return settings;
    }

    template<typename Function>
    void spawn(Function function)
    {
        asio::spawn(m_fixture.context, [function](const asio::yield_context &yield) { function(yield); });
    }

    void sample(const asio::yield_context &yield)
    {
        while (true) {
            const std::size_t resident = residentBytes();
            m_outcome.peakBytes = std::max(m_outcome.peakBytes, resident - std::min(resident, m_baseBytes));
            m_outcome.peakReservedBytes = std::max(m_outcome.peakReservedBytes, m_budget->reservedBytes());
            sleepFor(m_fixture.context, s_sampleInterval, yield);
        }
    }

    void acceptAll(const asio::yield_context &yield)
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_fixture.context);
            m_acceptor.async_accept(*socket, yield);
            socket->set_option(tcp::no_delay(true));
            spawn([this, socket](const asio::yield_context &inner) { answerAll(*socket, inner); });
        }
    }

    /// The upstream: reads a request and drops its body, works, answers.
    void answerAll(tcp::socket &socket, const asio::yield_context &yield)
    {
        boost::system::error_code error;
        while (!error) {
            const Head head = readHead(socket, {}, error, yield);
            if (error) {
                break;
            }
            const std::string length = fieldOf(head.text, "Content-Length");
            discard(socket, (length.empty() ? 0 : std::stoul(length)) - head.rest.size(), 0, error, yield);
            const bool isLarge = head.text.find("/large") != std::string::npos;
            m_outcome.largeRuns += isLarge ? 1 : 0;
            if (isLarge) {
                sleepFor(m_fixture.context, m_scenario.work, yield);
            }
            const bool isEndless = head.text.find("/endless") != std::string::npos;
            const std::size_t bytes = isLarge ? m_scenario.responseBytes : s_smallRequestBytes;
            const BodyShape shape = isEndless ? BodyShape::Endless : isLarge ? m_scenario.responseShape : BodyShape::Declared;
            const std::string answer = "HTTP/1.1 200 OK\r\nTrefoil-Request-Id: " + fieldOf(head.text, "Trefoil-Request-Id") + "\r\n" + bodyField(bytes, shape);
            if (!error) {
                asio::async_write(socket, asio::buffer(answer), yield[error]);
            }
            writeBody(socket, bytes, shape, error, yield);
        }
    }

    /// Reads and drops that many bytes; returns how many came.
    std::size_t discard(tcp::socket &socket, std::size_t bytes, std::size_t bytesPerSecond, boost::system::error_code &error, const asio::yield_context &yield)
    {
        std::string sink(std::min(bytes, s_blockBytes), ' ');
        std::size_t count = 0;
        const BootTime start = BootClock::now();
        while (!error && count < bytes) {
            const std::size_t part = socket.async_read_some(asio::buffer(sink.data(), std::min(sink.size(), bytes - count)), yield[error]);
            count += part;
            if (bytesPerSecond > 0) {
                // Counted from the start, since late wake-ups would add up over the parts and make the caller slower than its rate.
                const auto due = start + std::chrono::microseconds(count * 1000000 / bytesPerSecond);
                const auto pause = std::chrono::duration_cast<std::chrono::microseconds>(due - BootClock::now());
                if (pause.count() > 0) {
                    sleepFor(m_fixture.context, pause, yield);
                }
            }
        }
        return count;
    }

    struct Answer
    {
        int status = 0;
        bool hasRetryAfter = false;
    };

    /// Sends one request on a connection of its own.
    Answer exchange(const std::string &target, std::size_t bytes, BodyShape shape, std::size_t bytesPerSecond, const asio::yield_context &yield)
    {
        tcp::socket socket(m_fixture.context);
        boost::system::error_code error;
        socket.open(tcp::v4());
        socket.set_option(tcp::no_delay(true));
        socket.set_option(asio::socket_base::receive_buffer_size(s_receiveBufferBytes));
        socket.async_connect(parseEndpoint(m_server->address()).value(), yield[error]);
        const std::string head = fmt::format("POST /read/{} HTTP/1.1\r\nHost: a.example\r\nTrefoil-Request-Id: id-{}\r\nTrefoil-Deadline-Ms: {}\r\n{}",
            target,
            ++m_sent,
            m_scenario.timeout.count(),
            bodyField(bytes, shape));
        asio::async_write(socket, asio::buffer(head), yield[error]);
        writeBody(socket, bytes, shape, error, yield);
        // A server that rejects the request may close the connection before it has read the body.
        error = {};
        const Head answer = readHead(socket, {}, error, yield);
        if (error) {
            return {};
        }
        const std::string length = fieldOf(answer.text, "Content-Length");
        const std::size_t left = (length.empty() ? 0 : std::stoul(length)) - answer.rest.size();
        if (discard(socket, left, bytesPerSecond, error, yield) != left) {
            return {};
        }
        return {std::stoi(answer.text.substr(answer.text.find(' '))), !fieldOf(answer.text, "Retry-After").empty()};
    }

    void sendSmall(const asio::yield_context &yield)
    {
        const BootTime start = BootClock::now();
        const Answer answer = exchange("small", s_smallRequestBytes, BodyShape::Declared, 0, yield);
        ++(answer.status == 200 ? m_outcome.smallServed : m_outcome.smallFailed);
        m_outcome.longestSmall = std::max(m_outcome.longestSmall, std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start));
    }

    void sendEndless(int number, const asio::yield_context &yield)
    {
        const bool isFirst = number % 2 == 0;
        sleepFor(m_fixture.context, isFirst ? std::chrono::milliseconds(0) : m_scenario.callers * m_scenario.arrivalInterval, yield);
        ++m_outcome.endlessStatuses[exchange(fmt::format("endless-{}", number), 0, BodyShape::Declared, 0, yield).status];
        ++m_ended;
    }

    void sendLarge(int number, const asio::yield_context &yield)
    {
        sleepFor(m_fixture.context, number * m_scenario.arrivalInterval, yield);
        const Answer answer = exchange(fmt::format("large-{}", number), m_scenario.requestBytes, m_scenario.requestShape, m_scenario.readBytesPerSecond, yield);
        ++m_outcome.statuses[answer.status];
        m_outcome.withoutRetryAfter += answer.status == 503 && !answer.hasRetryAfter ? 1 : 0;
        ++m_ended;
    }

    MemoryScenario m_scenario;
    std::shared_ptr<MemoryBudget> m_budget;
    GatewayFixture m_fixture;
    tcp::acceptor m_acceptor;
    std::unique_ptr<HttpServer> m_server;
    MemoryOutcome m_outcome;
    std::size_t m_baseBytes = 0;
    int m_ended = 0;
    int m_sent = 0;
};

} // namespace

MemoryOutcome playMemoryScenario(const MemoryScenario &scenario)
{
    returnLargeBlocksToSystem();
    return MemoryPlay(scenario).play();
}

} // namespace Trefoil::GatewayTests
