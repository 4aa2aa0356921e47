#include <Platform/Soak/steadycallers.h>

#include <LibCore/sleep.h>
#include <LibHttp/endpoint.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <pcg_random.hpp>
#include <sstream>

namespace Trefoil::Soak
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

enum class Manner {
    KeptConnection,
    NewConnections,
    KeptWithPauses,
};

constexpr int s_manners = 3;
constexpr std::uint32_t s_longestPauseMs = 1200;
/// Pause after a connection that the host refused.
constexpr std::chrono::milliseconds s_refusedPause{20};
constexpr std::string_view s_statusStart = "HTTP/1.1 ";
constexpr std::string_view s_lengthName = "Content-Length: ";
constexpr std::string_view s_headerEnd = "\r\n\r\n";
constexpr const char *s_totals = "totals";

bool isComplete(std::string_view text)
{
    const std::size_t headerEnd = text.find(s_headerEnd);
    const std::size_t length = text.find(s_lengthName);
    if (headerEnd == std::string_view::npos || length == std::string_view::npos) {
        return false;
    }
    return text.size() >= headerEnd + s_headerEnd.size() + std::stoul(std::string(text.substr(length + s_lengthName.size(), 12)));
}

/// True when the end of the connection has arrived: no request is sent any more.
bool hasEnded(tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

class Callers
{
public:
    explicit Callers(const SteadySettings &settings)
        : m_settings(settings)
        , m_random(std::hash<std::string>()(settings.prefix))
        , m_report(settings.report)
    {
    }

    void run()
    {
        asio::signal_set signals(m_context, SIGTERM);
        signals.async_wait([this](const boost::system::error_code &, int) { m_context.stop(); });
        for (int i = 0; i < m_settings.callers; ++i) {
            asio::spawn(m_context, [this, manner = static_cast<Manner>(i % s_manners)](const asio::yield_context &yield) {
                while (true) {
                    useConnection(manner, yield);
                }
            });
        }
        m_context.run();
        m_report << s_totals << ' ' << m_requests << ' ' << m_served << '\n';
    }

private:
    void useConnection(Manner manner, const asio::yield_context &yield)
    {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        socket.async_connect(parseEndpoint(m_settings.address).value(), yield[error]);
        if (error) {
            sleepFor(m_context, s_refusedPause, yield);
            return;
        }
        socket.set_option(tcp::no_delay(true), error);
        while (!hasEnded(socket) && exchange(socket, yield) && manner != Manner::NewConnections) {
            if (manner == Manner::KeptWithPauses) {
                sleepFor(m_context, std::chrono::milliseconds(m_random(s_longestPauseMs)), yield);
            }
        }
    }

    /// Sends one request; false when the connection can't be used for another one.
    bool exchange(tcp::socket &socket, const asio::yield_context &yield)
    {
        UnansweredRequest request{fmt::format("{}-{}", m_settings.prefix, ++m_requests), m_settings.host, BootClock::now(), {}, false};
        const std::string text = m_requests % 2 == 0
            ? fmt::format("GET /read/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {}\r\nDeadline-Ms: 1500\r\n\r\n", request.id)
            : fmt::format("POST /write/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {}\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\ncast", request.id);
        boost::system::error_code error;
        asio::async_write(socket, asio::buffer(text), yield[error]);
        std::string answer;
        while (!error && !isComplete(answer)) {
            std::array<char, 2048> piece{};
            const std::size_t count = socket.async_read_some(asio::buffer(piece), yield[error]);
            answer.append(piece.data(), count);
        }
        if (!isComplete(answer)) {
            request.endedAt = BootClock::now();
            request.endedInOrder = error == asio::error::eof;
            m_report << request.id << ' ' << request.host << ' ' << request.sentAt.time_since_epoch().count() << ' '
                     << request.endedAt.time_since_epoch().count() << ' ' << request.endedInOrder << std::endl;
            return false;
        }
        m_served += answer.compare(s_statusStart.size(), 3, "200") == 0 ? 1 : 0;
        return answer.find("Connection: close\r\n") == std::string::npos;
    }

    const SteadySettings &m_settings;
    asio::io_context m_context{1};
    pcg32 m_random;
    std::ofstream m_report;
    std::uint64_t m_requests = 0;
    std::uint64_t m_served = 0;
};

} // namespace

void runSteadyCallers(const SteadySettings &settings)
{
    Callers(settings).run();
}

SteadyReport readSteadyReport(const std::string &path)
{
    SteadyReport report;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        UnansweredRequest request;
        words >> request.id;
        if (request.id == s_totals) {
            words >> report.requests >> report.served;
            continue;
        }
        BootClock::duration::rep sentAt = 0;
        BootClock::duration::rep endedAt = 0;
        words >> request.host >> sentAt >> endedAt >> request.endedInOrder;
        request.sentAt = BootTime(BootClock::duration(sentAt));
        request.endedAt = BootTime(BootClock::duration(endedAt));
        report.unanswered.push_back(request);
    }
    return report;
}

} // namespace Trefoil::Soak
