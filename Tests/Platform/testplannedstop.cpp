#include "storestandin.h"
#include <LibCore/sleep.h>
#include <LibHttp/endpoint.h>
#include <Scenarios/process.h>
#include <platform/decode.h>

#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <unistd.h>

// The host's program is stopped in a planned way while no upstream and no link fails.

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Json = nlohmann::json;
using tcp = asio::ip::tcp;

namespace
{

constexpr const char *s_upstreamId = "i-1";
constexpr std::chrono::milliseconds s_grace{4000};
/// The host accepts connections for 2.2 s of the grace and stops waiting for upstreams after 3.7 s.
constexpr std::chrono::milliseconds s_lateInStop{2800};
constexpr std::chrono::milliseconds s_stopAcceptTime{2200};
constexpr std::chrono::milliseconds s_startLimit{20000};
/// Longer than any request of the test.
constexpr int s_deadlineMs = 10000;
/// Status of the readiness check.
constexpr int s_ready = 200;
constexpr int s_notReady = 503;
/// Stands for the exit code of a host that runs.
constexpr int s_stillRuns = -1;

/// Response of the host to one request.
struct Answer
{
    /// 0 when the connection ended without a complete response.
    int status = 0;
    bool closesConnection = false;
    /// The host ended the connection in order although it had sent no byte: it had taken the request from the kernel, which resets a connection
    /// that is closed with unread bytes.
    bool isMissing = false;
    std::string text;
};

std::string endpoint(const std::string &ip, int port)
{
    return fmt::format("{}:{}", ip, port);
}

/// A loopback address of this process: tests run beside each other, also from several build folders.
std::string ownAddress()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 128 + (pid >> 16U) % 64, (pid >> 8U) % 256, pid % 256);
}

Json route(const std::string &name, const std::string &kind)
{
    return {{"name", name},
        {"host", "stop.example"},
        {"prefix", "/" + name + "/"},
        {"kind", kind},
        {"timeout", "10s"},
        {"target_latency", "1s"},
        {"priority", 1},
        {"service", "desk"},
        {"max_attempts", 2}};
}

/// A host in a process of its own, with a store and one upstream in the process of the test.
class Deployment
{
public:
    using Body = std::function<void(const asio::yield_context &yield)>;

    /// Runs the body as a coroutine once the host is ready.
    void play(const Body &body)
    {
        m_store.set("op", "config", configuration().dump());
        m_store.set("servers", s_upstreamId, registration().dump());
        playFrom(s_ready, body);
    }

    /// Runs the body as a coroutine while the host starts: the store has no configuration yet.
    void playWhileStarting(const Body &body)
    {
        playFrom(s_notReady, body);
    }

    Deployment()
        : m_ip(ownAddress())
        , m_store(m_context)
    {
        std::string folder = (std::filesystem::temp_directory_path() / "trefoil-stop-XXXXXX").string();
        cr_assert(::mkdtemp(folder.data()));
        m_folder = folder;
        HttpServerSettings settings;
        settings.address = m_ip + ":0";
        m_upstream = std::move(HttpServer::create(m_context, settings, [this](HttpRequest &request, CallerConnection &, const asio::yield_context &yield) {
            return work(request, yield);
        }).value());
    }

    /// Sends a POST request whose body takes that long, and reads to the end of the connection or of the response. The upstream works on a request as
    /// long as the name says, in ms.
    Answer send(const std::string &route, const std::string &id, int workMs, std::chrono::milliseconds uploadTime, const asio::yield_context &yield)
    {
        constexpr int pieces = 20;
        tcp::socket socket(m_context);
        boost::system::error_code error;
        socket.async_connect(parseEndpoint(callerAddress()).value(), yield[error]);
        const std::string header =
            fmt::format("POST /{}/{}/{} HTTP/1.1\r\nHost: stop.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
                route,
                workMs,
                id,
                id,
                s_deadlineMs,
                pieces);
        asio::async_write(socket, asio::buffer(header), yield[error]);
        for (int i = 0; i < pieces && !error; ++i) {
            sleepFor(m_context, uploadTime / pieces, yield);
            asio::async_write(socket, asio::buffer("x", 1), yield[error]);
        }
        cr_assert(!error, "%s: %s", id.c_str(), error.message().c_str());
        return read(socket, yield);
    }

    /// Reads one response.
    static Answer read(tcp::socket &socket, const asio::yield_context &yield)
    {
        Answer answer;
        boost::system::error_code error;
        while (!error && !isComplete(answer.text)) {
            std::array<char, 1024> piece{};
            const std::size_t count = socket.async_read_some(asio::buffer(piece), yield[error]);
            answer.text.append(piece.data(), count);
        }
        answer.isMissing = error == asio::error::eof && answer.text.empty();
        if (isComplete(answer.text)) {
            answer.status = std::stoi(answer.text.substr(std::string_view("HTTP/1.1 ").size()));
            answer.closesConnection = answer.text.find("Connection: close\r\n") != std::string::npos;
        }
        return answer;
    }

    void signal(int number)
    {
        cr_assert(m_processes.signal("host", number).has_value());
    }

    /// Exit code of the host; nothing when it still runs at the limit.
    std::optional<int> awaitExit(BootTime limit, const asio::yield_context &yield)
    {
        while (BootClock::now() < limit) {
            if (const auto code = m_processes.waitForExit("host", 0ms)) {
                return code;
            }
            sleepFor(m_context, 20ms, yield);
        }
        return std::nullopt;
    }

    /// Response to a GET request without a body.
    Answer get(const std::string &address, const std::string &target, const asio::yield_context &yield)
    {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        socket.async_connect(parseEndpoint(address).value(), yield[error]);
        asio::async_write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: stop.example\r\n\r\n"), yield[error]);
        return error ? Answer{} : read(socket, yield);
    }

    std::string callerAddress() const
    {
        return endpoint(m_ip, 8080);
    }
    std::string readinessAddress() const
    {
        return endpoint(m_ip, 8081);
    }
    std::string lookupAddress() const
    {
        return endpoint(m_ip, 8082);
    }
    Answer lookUp(const asio::yield_context &yield)
    {
        return get(lookupAddress(), "/api/resolve?name=stop.example&region=east&zone=east-a", yield);
    }
    asio::io_context &context()
    {
        return m_context;
    }
    /// What the host has written.
    std::string log() const
    {
        std::ifstream file(m_folder + "/host.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    /// Ids of the requests that the upstream has begun.
    const std::multiset<std::string> &begun() const
    {
        return m_begun;
    }

private:
    void playFrom(int readiness, const Body &body)
    {
        asio::spawn(m_context, [this, readiness, &body](const asio::yield_context &yield) {
            start(readiness, yield);
            body(yield);
            m_context.stop();
        });
        m_context.run();
        m_processes.endAll();
        std::filesystem::remove_all(m_folder);
    }

    static bool isComplete(const std::string &text)
    {
        const std::size_t headerEnd = text.find("\r\n\r\n");
        const std::size_t length = text.find("Content-Length: ");
        if (headerEnd == std::string::npos || length == std::string::npos) {
            return false;
        }
        return text.size() >= headerEnd + 4 + std::stoul(text.substr(length + std::string_view("Content-Length: ").size()));
    }

    HttpResponse work(const HttpRequest &request, const asio::yield_context &yield)
    {
        m_begun.emplace(request.headers.value("Request-Id"));
        const auto path = request.target.find('/', 1);
        sleepFor(m_context, std::chrono::milliseconds(std::stoi(request.target.substr(path + 1))), yield);
        HttpResponse response;
        response.headers.add("Request-Id", request.headers.value("Request-Id"));
        response.headers.add("Server-Stamp", "stamp");
        response.body = "done";
        return response;
    }

    static Json configuration()
    {
        return {{"version", "r1"},
            {"routes", {route("read", "safe"), route("order", "unsafe")}},
            {"services", Json::array({{{"name", "desk"}}})},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}}};
    }

    Json registration() const
    {
        return {{"service", "desk"},
            {"address", m_upstream->address()},
            {"zone", "east-a"},
            {"version", "v1"},
            {"max_concurrency", 16},
            {"state", "ready"},
            {"cold_remaining", "0ms"},
            {"seq_no", 1}};
    }

    /// Starts the host, and waits until its check of readiness has that status.
    void start(int readiness, const asio::yield_context &yield)
    {
        const Json settings = {{"host", "host"},
            {"zone", "east-a"},
            {"region", "east"},
            {"sourceAddress", m_ip},
            {"callerAddress", callerAddress()},
            {"readinessAddress", readinessAddress()},
            {"lookupAddress", lookupAddress()},
            {"peerAddress", endpoint(m_ip, 8083)},
            {"metricsAddress", endpoint(m_ip, 9464)},
            {"zones", {{"east-a", "east"}}},
            {"store", {{"address", m_store.address()}}},
            {"limits", {{"stopGrace", fmt::format("{}ms", s_grace.count())}}}};
        std::ofstream(m_folder + "/settings.json") << settings.dump(1) << "\n";
        const std::string program = TREFOIL_BUILD_FOLDER "/Services/trefoilmountd/trefoilmountd";
        const auto started =
            m_processes.start({"host", "/usr/bin/env", {"TREFOILMOUNT_SETTINGS=" + m_folder + "/settings.json", program, "--gateway"}, m_folder + "/host.log"});
        cr_assert(started.has_value());
        const BootTime limit = BootClock::now() + s_startLimit;
        while (get(readinessAddress(), "/api/ready", yield).status != readiness) {
            cr_assert(BootClock::now() < limit && m_processes.isRunning("host"), "the host's readiness isn't %d: %s", readiness, log().c_str());
            sleepFor(m_context, 20ms, yield);
        }
    }

    asio::io_context m_context{1};
    std::string m_ip;
    std::string m_folder;
    StoreStandIn m_store;
    std::unique_ptr<HttpServer> m_upstream;
    std::multiset<std::string> m_begun;
    Scenarios::Processes m_processes;
};

/// Requests that run beside each other, with their responses.
class Requests
{
public:
    explicit Requests(Deployment &deployment)
        : m_deployment(deployment)
    {
    }

    void start(const std::string &route, const std::string &id, int workMs, std::chrono::milliseconds uploadTime)
    {
        ++m_open;
        asio::spawn(m_deployment.context(), [this, route, id, workMs, uploadTime](const asio::yield_context &yield) {
            m_answers[id] = m_deployment.send(route, id, workMs, uploadTime, yield);
            --m_open;
        });
    }

    void awaitAll(const asio::yield_context &yield)
    {
        while (m_open > 0) {
            sleepFor(m_deployment.context(), 10ms, yield);
        }
    }

    const Answer &answer(const std::string &id)
    {
        return m_answers[id];
    }

    /// Ids of requests that the upstream began and that got no complete response.
    std::string lost() const
    {
        std::string ids;
        for (const auto &[id, answer] : m_answers) {
            ids += answer.status == 0 && m_deployment.begun().count(id) > 0 ? id + " " : "";
        }
        return ids;
    }

private:
    Deployment &m_deployment;
    std::map<std::string, Answer> m_answers;
    int m_open = 0;
};

/// Callers that send one request after the other until the host refuses their connections.
class SteadyCallers
{
public:
    enum class Manner {
        KeptConnection,
        NewConnections,
        KeptWithPauses,
        LookUps,
    };

    explicit SteadyCallers(Deployment &deployment)
        : m_deployment(deployment)
    {
    }

    void start(Manner manner, int number)
    {
        ++m_open;
        asio::spawn(m_deployment.context(), [this, manner, number](const asio::yield_context &yield) {
            run(manner, number, yield);
            --m_open;
        });
    }

    void awaitAll(const asio::yield_context &yield)
    {
        while (m_open > 0) {
            sleepFor(m_deployment.context(), 10ms, yield);
        }
    }

    int requests() const
    {
        return m_requests;
    }

    /// Ids of requests that the host read or the upstream began, and that got no complete response.
    const std::string &lost() const
    {
        return m_lost;
    }

    /// Start of the last connection that the host accepted.
    BootTime lastAccepted() const
    {
        return m_lastAccepted;
    }

private:
    void run(Manner manner, int number, const asio::yield_context &yield)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        while (true) {
            tcp::socket socket(m_deployment.context());
            boost::system::error_code error;
            const BootTime connectedAt = BootClock::now();
            const std::string address = manner == Manner::LookUps ? m_deployment.lookupAddress() : m_deployment.callerAddress();
            socket.async_connect(parseEndpoint(address).value(), yield[error]);
            if (error) {
                return;
            }
            if (manner == Manner::LookUps) {
                lookUp(socket, yield);
                continue;
            }
            m_lastAccepted = std::max(m_lastAccepted, connectedAt);
            while (exchange(socket, fmt::format("steady-{}-{}", number, ++m_requests), random, yield) && manner != Manner::NewConnections) {
                if (manner == Manner::KeptWithPauses) {
                    sleepFor(m_deployment.context(), std::chrono::milliseconds(std::uniform_int_distribution<int>(0, s_longestPauseMs)(random)), yield);
                }
            }
        }
    }

    void lookUp(tcp::socket &socket, const asio::yield_context &yield)
    {
        boost::system::error_code error;
        asio::async_write(socket, asio::buffer(s_lookUp), yield[error]);
        m_lost += Deployment::read(socket, yield).isMissing ? "look-up " : "";
    }

    /// Sends one request; false when the connection can't be used for another one.
    bool exchange(tcp::socket &socket, const std::string &id, std::mt19937 &random, const asio::yield_context &yield)
    {
        const int workMs = std::uniform_int_distribution<int>(1, 7)(random);
        const std::string request =
            fmt::format("GET /read/{}/{} HTTP/1.1\r\nHost: stop.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\r\n", workMs, id, id, s_deadlineMs);
        boost::system::error_code error;
        asio::async_write(socket, asio::buffer(request), yield[error]);
        const Answer answer = Deployment::read(socket, yield);
        if (answer.isMissing || (answer.status == 0 && m_deployment.begun().count(id) > 0)) {
            m_lost += id + " ";
        }
        return answer.status != 0 && !answer.closesConnection;
    }

    static constexpr int s_longestPauseMs = 1200;
    static constexpr std::string_view s_lookUp = "GET /api/resolve?name=stop.example&region=east&zone=east-a HTTP/1.1\r\nHost: stop.example\r\n\r\n";

    Deployment &m_deployment;
    int m_open = 0;
    int m_requests = 0;
    std::string m_lost;
    BootTime m_lastAccepted{};
};

} // namespace

// Guards against requests that are run and get no answer as a host under load closes its idle connections, and against a host that goes on accepting
// connections until its end.
Test(PlannedStop, callersThatStayUntilTheEndGetAnswers)
{
    Deployment deployment;
    deployment.play([&](const asio::yield_context &yield) {
        SteadyCallers callers(deployment);
        constexpr int callersOfEachManner = 20;
        for (int i = 0; i < callersOfEachManner; ++i) {
            callers.start(SteadyCallers::Manner::KeptConnection, 3 * i);
            callers.start(SteadyCallers::Manner::NewConnections, 3 * i + 1);
            callers.start(SteadyCallers::Manner::KeptWithPauses, 3 * i + 2);
        }
        for (int i = 0; i < 5; ++i) {
            callers.start(SteadyCallers::Manner::LookUps, i);
        }
        sleepFor(deployment.context(), 500ms, yield);
        const BootTime start = BootClock::now();
        deployment.signal(SIGTERM);
        callers.awaitAll(yield);
        const auto code = deployment.awaitExit(start + s_grace, yield);
        cr_assert_eq(code.value_or(s_stillRuns), 0, "%d: %s", code.value_or(s_stillRuns), deployment.log().c_str());
        cr_assert_str_empty(callers.lost().c_str(), "no response: %s", callers.lost().c_str());
        const auto accepted = std::chrono::duration_cast<std::chrono::milliseconds>(callers.lastAccepted() - start);
        cr_assert(accepted < s_lateInStop, "a connection was accepted %lld ms after SIGTERM", static_cast<long long>(accepted.count()));
        cr_log_info("%d requests", callers.requests());
    });
}

// Guards against look-ups that are read and not answered since a caller's connection takes all of the time that is left at the end of a stop.
Test(PlannedStop, lookUpsAreAnsweredBesideACallerThatStays)
{
    Deployment deployment;
    deployment.play([&](const asio::yield_context &yield) {
        SteadyCallers callers(deployment);
        for (int i = 0; i < 5; ++i) {
            callers.start(SteadyCallers::Manner::LookUps, i);
        }
        tcp::socket unfinished(deployment.context());
        unfinished.async_connect(parseEndpoint(deployment.callerAddress()).value(), yield);
        sleepFor(deployment.context(), 500ms, yield);
        const BootTime start = BootClock::now();
        deployment.signal(SIGTERM);
        sleepFor(deployment.context(), s_stopAcceptTime - 200ms, yield);
        asio::async_write(unfinished, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHos")), yield);
        callers.awaitAll(yield);
        const auto code = deployment.awaitExit(start + s_grace, yield);
        cr_assert_eq(code.value_or(s_stillRuns), 0, "%d: %s", code.value_or(s_stillRuns), deployment.log().c_str());
        cr_assert_str_empty(callers.lost().c_str(), "no response: %s", callers.lost().c_str());
    });
}

// Guards against orders that a stopping host passes on although it ends before their responses: they run, the connections of their callers end without
// a response, and they must not be repeated. Some uploads begin before SIGTERM and end late in the grace, others begin after it.
Test(PlannedStop, lateUploadsAreToldToGoElsewhere)
{
    Deployment deployment;
    deployment.play([&](const asio::yield_context &yield) {
        Requests requests(deployment);
        for (int i = 0; i < 4; ++i) {
            requests.start(i % 2 == 0 ? "order" : "read", fmt::format("before-{}", i), 2500, s_lateInStop + 300ms);
        }
        sleepFor(deployment.context(), 300ms, yield);
        const BootTime start = BootClock::now();
        deployment.signal(SIGTERM);
        for (int i = 0; i < 4; ++i) {
            requests.start(i % 2 == 0 ? "order" : "read", fmt::format("after-{}", i), 2500, s_lateInStop);
        }
        // Short work early in the stop is served by this host.
        requests.start("order", "short", 100, 100ms);
        requests.awaitAll(yield);
        cr_assert_str_empty(requests.lost().c_str(), "no response: %s", requests.lost().c_str());
        cr_assert_eq(requests.answer("short").status, 200);
        for (const std::string prefix : {"before", "after"}) {
            for (int i = 0; i < 4; ++i) {
                const std::string id = fmt::format("{}-{}", prefix, i);
                const Answer &answer = requests.answer(id);
                cr_assert_eq(answer.status, 503, "%s: %d", id.c_str(), answer.status);
                cr_assert(answer.text.find("Retry-After: 0.0") != std::string::npos, "%s", answer.text.c_str());
                cr_assert_eq(deployment.begun().count(id), 0U, "%s", id.c_str());
            }
        }
        const auto code = deployment.awaitExit(start + s_grace, yield);
        cr_assert_eq(code.value_or(s_stillRuns), 0, "%d: %s", code.value_or(s_stillRuns), deployment.log().c_str());
    });
}

// Guards against requests in work at the end of the grace whose connections are cut: callers get a failure response that doesn't claim that they did
// not run. Guards also against further signals that end the host sooner, and against a host that counts as ready while it stops.
Test(PlannedStop, requestsInWorkAtTheEndGetAResponse)
{
    Deployment deployment;
    deployment.play([&](const asio::yield_context &yield) {
        Requests requests(deployment);
        for (int i = 0; i < 4; ++i) {
            requests.start(i % 2 == 0 ? "order" : "read", fmt::format("long-{}", i), 9000, 20ms);
        }
        tcp::socket kept(deployment.context());
        kept.async_connect(parseEndpoint(deployment.callerAddress()).value(), yield);
        sleepFor(deployment.context(), 300ms, yield);
        const BootTime limit = BootClock::now() + s_startLimit;
        while (deployment.lookUp(yield).text.find(deployment.callerAddress()) == std::string::npos) {
            cr_assert(BootClock::now() < limit, "look-ups don't name the host");
            sleepFor(deployment.context(), 20ms, yield);
        }
        const BootTime start = BootClock::now();
        deployment.signal(SIGTERM);
        sleepFor(deployment.context(), 100ms, yield);
        cr_assert_eq(deployment.get(deployment.readinessAddress(), "/api/ready", yield).status, 503);
        const Answer lookup = deployment.lookUp(yield);
        cr_assert_neq(lookup.status, 0);
        cr_assert_eq(lookup.text.find(deployment.callerAddress()), std::string::npos, "%s", lookup.text.c_str());
        deployment.signal(SIGHUP);
        deployment.signal(SIGTERM);
        const std::string request = "GET /read/10/kept HTTP/1.1\r\nHost: stop.example\r\nRequest-Id: kept\r\nDeadline-Ms: 1000\r\n\r\n";
        asio::async_write(kept, asio::buffer(request), yield);
        const Answer last = Deployment::read(kept, yield);
        cr_assert_eq(last.status, 200);
        cr_assert(last.closesConnection);
        requests.awaitAll(yield);
        const auto code = deployment.awaitExit(start + s_grace, yield);
        cr_assert_eq(code.value_or(s_stillRuns), 0, "%d: %s", code.value_or(s_stillRuns), deployment.log().c_str());
        cr_assert(BootClock::now() - start > s_grace - 500ms);
        cr_assert_str_empty(requests.lost().c_str(), "no response: %s", requests.lost().c_str());
        for (int i = 0; i < 4; ++i) {
            const std::string id = fmt::format("long-{}", i);
            cr_assert_eq(requests.answer(id).status, 504, "%s: %d", id.c_str(), requests.answer(id).status);
            cr_assert_eq(deployment.begun().count(id), 1U);
        }
    });
}

// Guards against a host that ignores SIGTERM, fails, or ends with requests unanswered while it has no configuration yet.
Test(PlannedStop, startingHostStops)
{
    Deployment deployment;
    deployment.playWhileStarting([&](const asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        deployment.signal(SIGTERM);
        const Answer answer = deployment.send("order", "early", 10, 100ms, yield);
        cr_assert_eq(answer.status, 503, "%d", answer.status);
        cr_assert(answer.closesConnection);
        cr_assert_eq(deployment.get(deployment.readinessAddress(), "/api/ready", yield).status, 503);
        const auto code = deployment.awaitExit(start + s_grace, yield);
        cr_assert_eq(code.value_or(s_stillRuns), 0, "%d: %s", code.value_or(s_stillRuns), deployment.log().c_str());
    });
}
