#include <StandIns/upstream.h>

#include <LibCore/bootclock.h>
#include <LibHttp/endpoint.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Trefoil
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;

namespace
{

enum class Fault {
    Normal,
    LateAnswer,
    SwapAnswers,
    CutHeader,
    CutBodyStart,
    CutBodyMiddle,
    CutBodyEnd,
    CutChunk,
    NoLength,
    ExtraBytes,
    SilentAfterAccept,
    SilentAfterRead,
    SilentInBody,
    ResetBeforeRead,
    ResetAfterRead,
    FastErrors,
    Shed,
    Draining,
};

struct FaultName
{
    const char *name;
    Fault fault;
};

constexpr FaultName s_faultNames[] = {
    {"normal", Fault::Normal},
    {"late-answer", Fault::LateAnswer},
    {"swap-answers", Fault::SwapAnswers},
    {"cut-header", Fault::CutHeader},
    {"cut-body-start", Fault::CutBodyStart},
    {"cut-body-middle", Fault::CutBodyMiddle},
    {"cut-body-end", Fault::CutBodyEnd},
    {"cut-chunk", Fault::CutChunk},
    {"no-length", Fault::NoLength},
    {"extra-bytes", Fault::ExtraBytes},
    {"silent-after-accept", Fault::SilentAfterAccept},
    {"silent-after-read", Fault::SilentAfterRead},
    {"silent-in-body", Fault::SilentInBody},
    {"reset-before-read", Fault::ResetBeforeRead},
    {"reset-after-read", Fault::ResetAfterRead},
    {"fast-errors", Fault::FastErrors},
    {"shed", Fault::Shed},
    {"draining", Fault::Draining},
};

std::optional<Fault> faultNamed(const std::string &name)
{
    for (const auto &entry : s_faultNames) {
        if (name == entry.name) {
            return entry.fault;
        }
    }
    return std::nullopt;
}

/// A silent connection is held open for this long, which is longer than any test.
constexpr std::chrono::seconds s_silence{300};
/// Load history kept for a lagging load endpoint.
constexpr std::chrono::seconds s_loadHistory{30};

struct LoadSample
{
    BootTime at;
    int inFlight;
};

/// An answer before it is written; parts are cut off by faults.
struct Answer
{
    int status = 200;
    std::string requestId;
    std::string body;
    bool notStarted = false;
};

std::string headerText(const Answer &answer, std::string_view framing)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nTrefoil-Request-Id: {}\r\n{}{}\r\n",
        answer.status,
        std::string_view(http::obsolete_reason(static_cast<http::status>(answer.status))),
        answer.requestId,
        answer.notStarted ? "Trefoil-Not-Started: 1\r\n" : "",
        framing);
}

std::string lengthField(const Answer &answer)
{
    return fmt::format("Content-Length: {}\r\n", answer.body.size());
}

} // namespace

class UpstreamStandIn::State : public std::enable_shared_from_this<UpstreamStandIn::State>
{
public:
    State(asio::io_context &context, UpstreamStandInSettings settings)
        : m_context(context)
        , m_acceptor(context)
        , m_settings(std::move(settings))
    {
    }

    Result<void> listen();
    void startAccepting();
    Result<void> control(const nlohmann::json &command);

    const std::string &address() const
    {
        return m_address;
    }

    UpstreamCounts counts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    class Connection;

    Fault takeFault();
    std::string countsText() const;
    std::string loadText();
    bool beginWork(const std::string &key);
    void endWork(bool cancelled);
    void sampleLoad();

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    UpstreamStandInSettings m_settings;
    std::string m_address;

    /// Guards the members below, which tests read and set from their own threads.
    mutable std::mutex m_mutex;
    UpstreamCounts m_counts;
    Fault m_fault = Fault::Normal;
    /// Requests to which the fault still applies; 0 means all.
    std::uint64_t m_faultCount = 0;
    std::chrono::milliseconds m_faultDelay{0};
    std::chrono::milliseconds m_loadLag{0};
    nlohmann::json m_loadLie;
    std::deque<LoadSample> m_loadSamples;

    /// Used on the context's thread only.
    std::unordered_map<std::string, asio::steady_timer *> m_work;
    Answer m_previousAnswer{200, "none-yet", "{}", false};
};

class UpstreamStandIn::State::Connection
{
public:
    Connection(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
        , m_timer(m_state->m_context)
    {
        const std::lock_guard lock(m_state->m_mutex);
        auto &counts = m_state->m_counts;
        ++counts.connectionsOpened;
        ++counts.openConnections;
        counts.highestConnections = std::max(counts.highestConnections, counts.openConnections);
    }

    ~Connection()
    {
        const std::lock_guard lock(m_state->m_mutex);
        --m_state->m_counts.openConnections;
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void run(const asio::yield_context &yield)
    {
        beast::error_code error;
        m_socket.set_option(tcp::no_delay(true), error);
        sleep(m_state->m_settings.connectCost, yield);
        while (serveOne(yield)) { }
    }

private:
    bool serveOne(const asio::yield_context &yield)
    {
        beast::error_code error;
        bool isWork = false;
        if (m_buffer.size() == 0) {
            m_socket.async_wait(tcp::socket::wait_read, yield[error]);
            if (error) {
                return false;
            }
            isWork = isWorkWaiting();
        }
        m_fault = isWork ? m_state->takeFault() : Fault::Normal;
        if (m_fault == Fault::ResetBeforeRead) {
            return reset();
        }
        if (m_fault == Fault::SilentAfterAccept) {
            return staySilent(yield);
        }
        http::request_parser<http::string_body> parser;
        http::async_read(m_socket, m_buffer, parser, yield[error]);
        if (error) {
            return false;
        }
        const Request request = parser.release();
        return dispatch(request, yield) && request.keep_alive();
    }

    /// Faults apply to work only, so that the control and load endpoints keep working.
    bool isWorkWaiting()
    {
        char start[32] = {};
        const ssize_t count = ::recv(m_socket.native_handle(), start, sizeof(start), MSG_PEEK | MSG_DONTWAIT);
        if (count <= 0) {
            return false;
        }
        const std::string_view text(start, static_cast<std::size_t>(count));
        for (const std::string_view other : {"GET /control", "POST /control", "GET /v1/load", "DELETE /v1/work"}) {
            if (text.substr(0, other.size()) == other) {
                return false;
            }
        }
        return true;
    }

    bool dispatch(const Request &request, const asio::yield_context &yield)
    {
        const std::string_view target(request.target().data(), request.target().size());
        if (target == "/control") {
            return serveControl(request, yield);
        }
        if (target == "/v1/load") {
            return writeJson(200, m_state->loadText(), yield);
        }
        static constexpr std::string_view workPrefix = "/v1/work/";
        if (request.method() == http::verb::delete_ && target.substr(0, workPrefix.size()) == workPrefix) {
            return cancelWork(std::string(target.substr(workPrefix.size())), yield);
        }
        return serveWork(request, yield);
    }

    bool serveControl(const Request &request, const asio::yield_context &yield)
    {
        if (request.method() == http::verb::get) {
            return writeJson(200, m_state->countsText(), yield);
        }
        const auto command = nlohmann::json::parse(request.body(), nullptr, false);
        const auto result = m_state->control(command);
        return result.has_value() ? writeJson(200, "{}", yield) : writeJson(400, nlohmann::json({{"error", result.error().message}}).dump(), yield);
    }

    bool cancelWork(const std::string &id, const asio::yield_context &yield)
    {
        const auto found = m_state->m_work.find(id);
        if (found == m_state->m_work.end()) {
            return writeJson(404, "{}", yield);
        }
        found->second->cancel();
        return writeJson(200, "{}", yield);
    }

    bool serveWork(const Request &request, const asio::yield_context &yield)
    {
        Answer answer;
        answer.requestId = std::string(request["Trefoil-Request-Id"]);
        if (missesDeadline(request)) {
            return refuse(m_state->m_counts.refusedForDeadline, answer, yield);
        }
        if (m_fault == Fault::Shed || m_fault == Fault::Draining || !m_state->beginWork(std::string(request["Idempotency-Key"]))) {
            return refuse(m_state->m_counts.shed, answer, yield);
        }
        if (m_fault == Fault::ResetAfterRead) {
            m_state->endWork(true);
            return reset();
        }
        if (m_fault == Fault::SilentAfterRead) {
            m_state->endWork(true);
            return staySilent(yield);
        }
        if (m_fault == Fault::FastErrors) {
            m_state->endWork(false);
            answer.status = 500;
            answer.body = R"({"error":"internal"})";
            return writeWhole(answer, yield);
        }
        const bool cancelled = !work(answer.requestId, yield);
        m_state->endWork(cancelled);
        answer.status = cancelled ? 500 : 200;
        answer.body = bodyFor(request, answer.requestId);
        return writeAnswer(answer, yield);
    }

    bool missesDeadline(const Request &request) const
    {
        const std::string_view text = request["Trefoil-Deadline-Ms"];
        std::int64_t left = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), left).ec != std::errc()) {
            return false;
        }
        return std::chrono::milliseconds(left) < m_state->m_settings.serviceTime;
    }

    bool refuse(std::uint64_t &counter, Answer &answer, const asio::yield_context &yield)
    {
        {
            const std::lock_guard lock(m_state->m_mutex);
            ++counter;
        }
        answer.status = 503;
        answer.notStarted = true;
        answer.body = R"({"error":"not-started"})";
        return writeWhole(answer, yield);
    }

    /// Waits for the service time; false when the work was cancelled.
    bool work(const std::string &id, const asio::yield_context &yield)
    {
        const auto &settings = m_state->m_settings;
        std::uint64_t begun = 0;
        std::chrono::milliseconds extra{0};
        {
            const std::lock_guard lock(m_state->m_mutex);
            begun = m_state->m_counts.begun;
            extra = m_fault == Fault::LateAnswer ? m_state->m_faultDelay : std::chrono::milliseconds(0);
        }
        const bool cold = begun <= static_cast<std::uint64_t>(settings.coldRequests);
        const auto time = settings.serviceTime * (cold ? settings.coldFactor : 1) + extra;
        if (time.count() == 0) {
            return true;
        }
        m_state->m_work[id] = &m_timer;
        const bool elapsed = sleep(time, yield);
        m_state->m_work.erase(id);
        return elapsed;
    }

    std::string bodyFor(const Request &request, const std::string &id) const
    {
        nlohmann::ordered_json body = {{"upstream", m_state->m_settings.name},
            {"request", id},
            {"target", std::string(request.target())},
            {"deadlineMs", std::string(request["Trefoil-Deadline-Ms"])},
            {"received", request.body().size()}};
        std::string text = body.dump();
        if (text.size() < m_state->m_settings.responseBytes) {
            text.append(m_state->m_settings.responseBytes - text.size(), ' ');
        }
        return text;
    }

    bool writeAnswer(const Answer &answer, const asio::yield_context &yield)
    {
        const Answer previous = std::exchange(m_state->m_previousAnswer, answer);
        const std::string whole = headerText(answer, lengthField(answer)) + answer.body;
        const std::size_t headerSize = whole.size() - answer.body.size();
        switch (m_fault) {
        case Fault::SwapAnswers:
            return writeWhole(previous, yield);
        case Fault::CutHeader:
            return write(whole.substr(0, headerSize / 2), yield) && close();
        case Fault::CutBodyStart:
            return write(whole.substr(0, headerSize), yield) && close();
        case Fault::CutBodyMiddle:
            return write(whole.substr(0, headerSize + answer.body.size() / 2), yield) && close();
        case Fault::CutBodyEnd:
            return write(whole.substr(0, whole.size() - 1), yield) && close();
        case Fault::CutChunk:
            return write(headerText(answer, "Transfer-Encoding: chunked\r\n") + fmt::format("{:x}\r\n{}\r\n", answer.body.size(), answer.body), yield)
                && close();
        case Fault::NoLength:
            return write(headerText(answer, "") + answer.body, yield) && close();
        case Fault::ExtraBytes:
            return write(whole + headerText(previous, lengthField(previous)) + previous.body, yield);
        case Fault::SilentInBody:
            return write(whole.substr(0, headerSize + answer.body.size() / 2), yield) && staySilent(yield);
        default:
            return write(whole, yield);
        }
    }

    bool writeWhole(const Answer &answer, const asio::yield_context &yield)
    {
        return write(headerText(answer, lengthField(answer)) + answer.body, yield);
    }

    bool writeJson(int status, const std::string &body, const asio::yield_context &yield)
    {
        return writeWhole({status, "", body, false}, yield);
    }

    bool write(const std::string &text, const asio::yield_context &yield)
    {
        beast::error_code error;
        asio::async_write(m_socket, asio::buffer(text), yield[error]);
        return !error;
    }

    bool sleep(std::chrono::microseconds time, const asio::yield_context &yield)
    {
        if (time.count() == 0) {
            return true;
        }
        beast::error_code error;
        m_timer.expires_after(time);
        m_timer.async_wait(yield[error]);
        return !error;
    }

    bool staySilent(const asio::yield_context &yield)
    {
        sleep(s_silence, yield);
        return false;
    }

    bool reset()
    {
        beast::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        return close();
    }

    bool close()
    {
        beast::error_code ignored;
        m_socket.close(ignored);
        return false;
    }

    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    Fault m_fault = Fault::Normal;
};

Result<void> UpstreamStandIn::State::listen()
{
    const auto endpoint = parseEndpoint(m_settings.address);
    if (endpoint.has_error()) {
        return endpoint.error();
    }
    boost::system::error_code error;
    m_acceptor.open(tcp::v4(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint.value(), error);
    if (!error) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return Error{ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", m_settings.address, error.message())};
    }
    m_address = fmt::format("{}:{}", endpoint.value().address().to_string(), m_acceptor.local_endpoint().port());
    return boost::outcome_v2::success();
}

void UpstreamStandIn::State::startAccepting()
{
    asio::spawn(m_context, [self = shared_from_this()](const asio::yield_context &yield) {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket(self->m_context);
            self->m_acceptor.async_accept(socket, yield[error]);
            if (error) {
                return;
            }
            {
                const std::lock_guard lock(self->m_mutex);
                if (self->m_counts.openConnections >= self->m_settings.connections) {
                    ++self->m_counts.connectionsRefused;
                    continue;
                }
            }
            auto connection = std::make_shared<Connection>(self, std::move(socket));
            asio::spawn(self->m_context, [connection](const asio::yield_context &inner) { connection->run(inner); });
        }
    });
}

Result<void> UpstreamStandIn::State::control(const nlohmann::json &command)
{
    if (!command.is_object()) {
        return Error{ErrorCode::InvalidInput, "the command is not a JSON object"};
    }
    const std::lock_guard lock(m_mutex);
    if (command.contains("mode")) {
        const auto fault = faultNamed(command.value("mode", ""));
        if (!fault) {
            return Error{ErrorCode::InvalidInput, "unknown mode"};
        }
        m_fault = *fault;
        m_faultCount = command.value("count", std::uint64_t{0});
        m_faultDelay = std::chrono::milliseconds(command.value("delayMs", 0));
    }
    if (command.contains("loadLagMs")) {
        m_loadLag = std::chrono::milliseconds(command.value("loadLagMs", 0));
    }
    if (command.contains("loadLie")) {
        m_loadLie = command["loadLie"];
    }
    return boost::outcome_v2::success();
}

Fault UpstreamStandIn::State::takeFault()
{
    const std::lock_guard lock(m_mutex);
    const Fault fault = m_fault;
    if (m_faultCount > 0 && --m_faultCount == 0) {
        m_fault = Fault::Normal;
    }
    return fault;
}

std::string UpstreamStandIn::State::countsText() const
{
    const UpstreamCounts now = counts();
    nlohmann::ordered_json repeated = nlohmann::ordered_json::object();
    for (const auto &[key, count] : now.keys) {
        if (count > 1) {
            repeated[key] = count;
        }
    }
    return nlohmann::ordered_json({{"begun", now.begun},
                                      {"finished", now.finished},
                                      {"cancelled", now.cancelled},
                                      {"shed", now.shed},
                                      {"refusedForDeadline", now.refusedForDeadline},
                                      {"inFlight", now.inFlight},
                                      {"highestConcurrency", now.highestConcurrency},
                                      {"connectionsOpened", now.connectionsOpened},
                                      {"connectionsRefused", now.connectionsRefused},
                                      {"openConnections", now.openConnections},
                                      {"highestConnections", now.highestConnections},
                                      {"distinctKeys", now.keys.size()},
                                      {"repeatedKeys", repeated}})
        .dump();
}

std::string UpstreamStandIn::State::loadText()
{
    const std::lock_guard lock(m_mutex);
    if (!m_loadLie.is_null()) {
        return m_loadLie.dump();
    }
    int inFlight = m_counts.inFlight;
    if (m_loadLag.count() > 0) {
        const BootTime wanted = BootClock::now() - m_loadLag;
        inFlight = 0;
        for (const auto &sample : m_loadSamples) {
            inFlight = sample.at <= wanted ? sample.inFlight : inFlight;
        }
    }
    const bool cold = m_counts.begun < static_cast<std::uint64_t>(m_settings.coldRequests);
    const char *state = m_fault == Fault::Draining ? "draining" : (cold ? "cold" : "ready");
    return nlohmann::ordered_json({{"inFlight", inFlight}, {"slots", m_settings.slots}, {"state", state}}).dump();
}

void UpstreamStandIn::State::sampleLoad()
{
    if (m_loadLag.count() == 0) {
        return;
    }
    const BootTime now = BootClock::now();
    m_loadSamples.push_back({now, m_counts.inFlight});
    while (now - m_loadSamples.front().at > s_loadHistory) {
        m_loadSamples.pop_front();
    }
}

bool UpstreamStandIn::State::beginWork(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_counts.inFlight >= m_settings.slots) {
        return false;
    }
    ++m_counts.begun;
    ++m_counts.inFlight;
    m_counts.highestConcurrency = std::max(m_counts.highestConcurrency, m_counts.inFlight);
    if (!key.empty()) {
        ++m_counts.keys[key];
    }
    sampleLoad();
    return true;
}

void UpstreamStandIn::State::endWork(bool cancelled)
{
    const std::lock_guard lock(m_mutex);
    --m_counts.inFlight;
    ++(cancelled ? m_counts.cancelled : m_counts.finished);
    sampleLoad();
}

UpstreamStandIn::UpstreamStandIn(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

UpstreamStandIn::~UpstreamStandIn() = default;

Result<std::unique_ptr<UpstreamStandIn>> UpstreamStandIn::create(asio::io_context &context, UpstreamStandInSettings settings)
{
    auto state = std::make_shared<State>(context, std::move(settings));
    const auto listening = state->listen();
    if (listening.has_error()) {
        return listening.error();
    }
    state->startAccepting();
    return std::unique_ptr<UpstreamStandIn>(new UpstreamStandIn(std::move(state)));
}

const std::string &UpstreamStandIn::address() const
{
    return m_state->address();
}

UpstreamCounts UpstreamStandIn::counts() const
{
    return m_state->counts();
}

Result<void> UpstreamStandIn::control(const nlohmann::json &command)
{
    return m_state->control(command);
}

int runUpstreamStandIn(int argc, const char *const *argv)
{
    UpstreamStandInSettings settings;
    std::string listenAddress = "127.0.0.1:9001";
    int count = 1;
    std::int64_t serviceTime = settings.serviceTime.count();
    std::int64_t connectCost = settings.connectCost.count();
    CLI::App app("Upstreams on consecutive ports");
    app.add_option("--listen", listenAddress, "IP:port of the first upstream");
    app.add_option("--count", count, "Number of upstreams");
    app.add_option("--name", settings.name, "Name; a number is appended");
    app.add_option("--slots", settings.slots, "Requests at once; more are shed");
    app.add_option("--connections", settings.connections, "Open connections; more are closed");
    app.add_option("--service-time-us", serviceTime, "Time that a request takes");
    app.add_option("--connect-cost-us", connectCost, "Delay of a new connection");
    app.add_option("--cold-requests", settings.coldRequests, "First requests that take longer");
    app.add_option("--cold-factor", settings.coldFactor, "How many times longer they take");
    app.add_option("--response-bytes", settings.responseBytes, "Smallest size of a response body");
    CLI11_PARSE(app, argc, argv);
    settings.serviceTime = std::chrono::microseconds(serviceTime);
    settings.connectCost = std::chrono::microseconds(connectCost);
    const auto first = parseEndpoint(listenAddress);
    if (first.has_error()) {
        fmt::print(stderr, "{}\n", first.error().message);
        return 2;
    }
    asio::io_context context(1);
    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
    for (int i = 0; i < count; ++i) {
        UpstreamStandInSettings one = settings;
        one.name = fmt::format("{}-{}", settings.name, i + 1);
        one.address = fmt::format("{}:{}", first.value().address().to_string(), first.value().port() + i);
        auto upstream = UpstreamStandIn::create(context, std::move(one));
        if (upstream.has_error()) {
            fmt::print(stderr, "{}\n", upstream.error().message);
            return 1;
        }
        upstreams.push_back(std::move(upstream.value()));
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    fmt::print("ready\n");
    std::fflush(stdout);
    context.run();
    return 0;
}

} // namespace Trefoil
