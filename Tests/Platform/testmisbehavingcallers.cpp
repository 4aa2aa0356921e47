#include "storestandin.h"
#include <LibCore/sleep.h>
#include <LibHttp/endpoint.h>
#include <Scenarios/process.h>

#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <unistd.h>

// Crowds of callers that misbehave, against a host in a process of its own. Nothing here depends on the machine's speed: neither times nor shares of
// served requests are checked.

using namespace Trefoil;
using namespace Trefoil::Platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Json = nlohmann::json;
using tcp = asio::ip::tcp;

namespace
{

/// Limits of the host. The bounds below follow from them.
constexpr std::size_t s_memoryMegabytes = 48;
constexpr std::size_t s_descriptors = 400;
/// Descriptors of a host that its files use.
constexpr std::size_t s_fileDescriptors = 200;
constexpr std::size_t s_memoryBound = s_memoryMegabytes * 1000 * 1000;
constexpr std::size_t s_socketBound = s_descriptors - s_fileDescriptors;

/// More callers than the host may have sockets.
constexpr int s_largeCrowd = 300;
/// Their bodies together are several times the memory of the host.
constexpr int s_bodyCrowd = 150;
constexpr std::size_t s_bodyBytes = std::size_t{1000} * 1000;
constexpr std::size_t s_smallBodyBytes = 60000;
constexpr std::size_t s_bodyLimit = std::size_t{1024} * 1024;
/// Below the limit of 16,384 for headers.
constexpr std::size_t s_fieldBytes = 15900;
constexpr int s_pipelinedRequests = 200;
/// How long the crowd stays after its last member has begun; longer than a request waits for memory.
constexpr std::chrono::milliseconds s_stay{1500};
constexpr std::chrono::milliseconds s_answerLimit{30000};
/// Of one ordinary request; its deadline is 5 s.
constexpr std::chrono::milliseconds s_requestLimit{10000};

/// Upstreams with 640 slots together, so that all requests of a crowd are forwarded.
constexpr int s_upstreams = 40;
constexpr int s_slots = 16;
/// Connects to each address besides the callers'; more than the share of look-ups, the largest of these.
constexpr int s_besideCrowd = 60;
/// How long a crowd keeps sending: several requests of each member.
constexpr std::chrono::milliseconds s_sendingStay{5000};

/// A crowd, and the address that it connects to. The fields are arrays since Criterion copies cases between processes.
struct CrowdCase
{
    char kind[24];
    char address[12];
};

/// A loopback address of this process: tests run beside each other, also from several build folders.
std::string ownAddress()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 64 + (pid >> 16U) % 64, (pid >> 8U) % 256, pid % 256);
}

/// A crowd whose requests are all forwarded, and after which time the upstreams answer it.
struct ForwardedCase
{
    char kind[24];
    int delayMilliseconds;
};

/// What each member of a crowd writes before it waits with its connection open.
struct Script
{
    int members = s_largeCrowd;
    std::string text{};
    /// The text is written in pieces of that size with pauses between them.
    std::size_t pieceBytes = std::string::npos;
    /// The text is written again once a response begins.
    bool isRepeated = false;
};

struct UpstreamBehaviour
{
    int count = 1;
    /// Time after which requests of the crowd are answered; others are answered at once.
    std::chrono::milliseconds crowdDelay{0};
};

std::string chunksOf(std::size_t bytes)
{
    constexpr std::size_t chunk = 0x4000;
    std::string text;
    for (std::size_t i = 0; i < bytes / chunk; ++i) {
        text += "4000\r\n" + std::string(chunk, 'b') + "\r\n";
    }
    return text;
}

std::string shortFields(std::size_t bytes)
{
    std::string fields;
    while (fields.size() + 4 <= bytes) {
        fields += "a:\r\n";
    }
    return fields;
}

Script scriptFor(std::string_view kind, const std::string &path)
{
    const std::string post = fmt::format("POST {} HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 20000\r\n", path);
    const std::string get = fmt::format("GET {} HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 20000\r\n\r\n", path);
    if (kind == "silent") {
        return {};
    }
    if (kind == "half-head") {
        return {s_largeCrowd, post + "Conte"};
    }
    if (kind == "slow-head") {
        return {s_largeCrowd, post, 16};
    }
    if (kind == "body-in-one-piece") {
        return {s_bodyCrowd, fmt::format("{}Content-Length: {}\r\n\r\n", post, s_bodyBytes) + std::string(s_bodyBytes - 1, 'b')};
    }
    if (kind == "body-in-pieces") {
        return {s_largeCrowd, fmt::format("{}Content-Length: {}\r\n\r\n", post, s_smallBodyBytes) + std::string(s_smallBodyBytes - 1, 'b'), 4000};
    }
    if (kind == "body-in-chunks") {
        return {s_bodyCrowd, post + "Transfer-Encoding: chunked\r\n\r\n" + chunksOf(s_bodyBytes)};
    }
    if (kind == "body-over-limit") {
        return {s_bodyCrowd, post + "Transfer-Encoding: chunked\r\n\r\n" + chunksOf(4 * s_bodyLimit)};
    }
    if (kind == "many-fields") {
        return {s_bodyCrowd, fmt::format("{}Content-Length: 10\r\n{}\r\n123456789", post, shortFields(s_fieldBytes - post.size()))};
    }
    std::string requests;
    for (int i = 0; i < s_pipelinedRequests; ++i) {
        requests += get;
    }
    return {s_bodyCrowd, requests};
}

/// A host in a process of its own, with a store and upstreams in the process of the test.
class Deployment
{
public:
    explicit Deployment(UpstreamBehaviour behaviour = {})
        : m_ip(ownAddress())
        , m_store(m_context)
    {
        std::string folder = (std::filesystem::temp_directory_path() / "trefoil-crowd-XXXXXX").string();
        cr_assert(::mkdtemp(folder.data()));
        m_folder = folder;
        HttpServerSettings settings;
        settings.address = m_ip + ":0";
        const auto answer = [this, behaviour](HttpRequest &request, CallerConnection &, const asio::yield_context &yield) {
            if (behaviour.crowdDelay > 0ms && request.target == "/read/crowd") {
                sleepFor(m_context, behaviour.crowdDelay, yield);
            }
            HttpResponse response;
            response.headers.add("Request-Id", request.headers.value("Request-Id"));
            response.headers.add("Server-Stamp", "stamp");
            response.body = std::string(4000, 'r');
            return response;
        };
        for (int i = 0; i < behaviour.count; ++i) {
            m_upstreams.push_back(std::move(HttpServer::create(m_context, settings, answer).value()));
        }
    }

    void play(const std::function<void(const asio::yield_context &yield)> &body)
    {
        const Json route = {{"name", "read"},
            {"host", "crowd.example"},
            {"prefix", "/read/"},
            {"kind", "safe"},
            {"timeout", "10s"},
            {"target_latency", "1s"},
            {"priority", 1},
            {"service", "desk"},
            {"max_attempts", 2}};
        const Json configuration = {{"version", "r1"},
            {"routes", {route}},
            {"services", Json::array({{{"name", "desk"}}})},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", s_bodyLimit}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}}};
        m_store.set("op", "config", configuration.dump());
        int number = 0;
        for (const auto &upstream : m_upstreams) {
            const Json registration = {{"service", "desk"},
                {"address", upstream->address()},
                {"zone", "east-a"},
                {"version", "v1"},
                {"max_concurrency", s_slots},
                {"state", "ready"},
                {"cold_remaining", "0ms"},
                {"seq_no", 1}};
            m_store.set("servers", fmt::format("i-{}", ++number), registration.dump());
        }
        asio::spawn(m_context, [this, &body](const asio::yield_context &yield) {
            start();
            awaitStatus(addressOf("readiness"), "/api/ready", yield);
            body(yield);
            m_context.stop();
        });
        m_context.run();
        m_processes.endAll();
        std::filesystem::remove_all(m_folder);
    }

    std::string addressOf(std::string_view name) const
    {
        const int port = name == "callers" ? 8080 : name == "readiness" ? 8081 : name == "look-ups" ? 8082 : 9464;
        return fmt::format("{}:{}", m_ip, port);
    }

    /// Repeats a GET request until its status is 200.
    void awaitStatus(const std::string &address, const std::string &target, const asio::yield_context &yield)
    {
        const BootTime limit = BootClock::now() + s_answerLimit;
        std::string answer;
        while (answer.substr(0, 12) != "HTTP/1.1 200") {
            cr_assert(isRunning(), "the host has ended: %s", log().c_str());
            cr_assert(BootClock::now() < limit, "%s isn't answered: %s %s", target.c_str(), answer.c_str(), log().c_str());
            answer = get(address, target, yield);
            sleepFor(m_context, 50ms, yield);
        }
    }

    /// Whether the process that was started still runs.
    bool isRunning()
    {
        return m_processes.isRunning("host");
    }

    /// Largest resident memory of the host so far, in bytes.
    std::size_t peakMemory() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_pid));
        std::string word;
        std::size_t kilobytes = 0;
        while (status >> word) {
            if (word == "VmHWM:") {
                status >> kilobytes;
            }
        }
        return kilobytes * 1024;
    }

    std::size_t openSockets() const
    {
        std::size_t count = 0;
        std::error_code error;
        for (const auto &entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", m_pid), error)) {
            std::error_code ignored;
            count += std::filesystem::read_symlink(entry.path(), ignored).string().rfind("socket:", 0) == 0 ? 1 : 0;
        }
        return count;
    }

    asio::io_context &context()
    {
        return m_context;
    }

private:
    std::string get(const std::string &address, const std::string &target, const asio::yield_context &yield)
    {
        boost::beast::tcp_stream stream(m_context);
        // A request that is never answered must end as a failure of the check, with the log of the host.
        stream.expires_after(s_requestLimit);
        boost::system::error_code error;
        stream.async_connect(parseEndpoint(address).value(), yield[error]);
        const std::string request =
            fmt::format("GET {} HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: r-{}\r\nDeadline-Ms: 5000\r\nConnection: close\r\n\r\n", target, ++m_requests);
        asio::async_write(stream, asio::buffer(request), yield[error]);
        std::string answer;
        while (!error) {
            std::array<char, 4096> piece{};
            const std::size_t count = stream.async_read_some(asio::buffer(piece), yield[error]);
            answer.append(piece.data(), count);
        }
        return answer;
    }

    std::string log() const
    {
        std::ifstream file(m_folder + "/host.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    void start()
    {
        const Json settings = {{"host", "host"},
            {"zone", "east-a"},
            {"region", "east"},
            {"sourceAddress", m_ip},
            {"callerAddress", addressOf("callers")},
            {"readinessAddress", addressOf("readiness")},
            {"lookupAddress", addressOf("look-ups")},
            {"peerAddress", m_ip + ":8083"},
            {"metricsAddress", addressOf("metrics")},
            {"zones", {{"east-a", "east"}}},
            {"store", {{"address", m_store.address()}}},
            {"limits", {{"memory", s_memoryMegabytes}, {"descriptors", s_descriptors}}}};
        std::ofstream(m_folder + "/settings.json") << settings.dump(1) << "\n";
        const std::string program = TREFOIL_BUILD_FOLDER "/Services/trefoilmountd/trefoilmountd";
        const auto started =
            m_processes.start({"host", "/usr/bin/env", {"TREFOILMOUNT_SETTINGS=" + m_folder + "/settings.json", program, "--gateway"}, m_folder + "/host.log"});
        cr_assert(started.has_value());
        m_pid = started.value();
    }

    asio::io_context m_context{1};
    std::string m_ip;
    std::string m_folder;
    StoreStandIn m_store;
    std::vector<std::unique_ptr<HttpServer>> m_upstreams;
    pid_t m_pid = 0;
    int m_requests = 0;
    Scenarios::Processes m_processes;
};

/// Callers that follow one script and keep their connections open. They read nothing unless the script is repeated.
class Crowd
{
public:
    Crowd(Deployment &deployment, std::string address, Script script)
        : m_deployment(deployment)
        , m_address(std::move(address))
        , m_script(std::move(script))
    {
    }

    void start()
    {
        for (int i = 0; i < m_script.members; ++i) {
            tcp::socket &socket = m_sockets.emplace_back(m_deployment.context());
            asio::spawn(m_deployment.context(), [this, &socket](const asio::yield_context &yield) { write(socket, yield); });
        }
    }

    /// Ends all connections and the coroutines that write on them.
    void end(const asio::yield_context &yield)
    {
        m_hasEnded = true;
        while (m_writing > 0) {
            for (tcp::socket &socket : m_sockets) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
            sleepFor(m_deployment.context(), 20ms, yield);
        }
        m_sockets.clear();
    }

private:
    void write(tcp::socket &socket, const asio::yield_context &yield)
    {
        ++m_writing;
        boost::system::error_code error;
        socket.async_connect(parseEndpoint(m_address).value(), yield[error]);
        do {
            writeOnce(socket, error, yield);
        } while (m_script.isRepeated && !error && !m_hasEnded && awaitAnswer(socket, error, yield));
        --m_writing;
    }

    void writeOnce(tcp::socket &socket, boost::system::error_code &error, const asio::yield_context &yield)
    {
        for (std::size_t i = 0; i < m_script.text.size() && !error && !m_hasEnded; i += std::min(m_script.pieceBytes, m_script.text.size() - i)) {
            const std::string_view piece = std::string_view(m_script.text).substr(i, m_script.pieceBytes);
            asio::async_write(socket, asio::buffer(piece), yield[error]);
            if (piece.size() < m_script.text.size()) {
                sleepFor(m_deployment.context(), 50ms, yield);
            }
        }
    }

    /// Reads what has come of a response. False when the connection has ended.
    bool awaitAnswer(tcp::socket &socket, boost::system::error_code &error, const asio::yield_context &yield)
    {
        std::array<char, 8192> piece{};
        socket.async_read_some(asio::buffer(piece), yield[error]);
        // Spreads the members, and limits the rate of those that are rejected at once.
        sleepFor(m_deployment.context(), 20ms, yield);
        return !error;
    }

    Deployment &m_deployment;
    std::string m_address;
    Script m_script;
    std::list<tcp::socket> m_sockets;
    int m_writing = 0;
    bool m_hasEnded = false;
};

constexpr std::array<std::string_view, 9> s_kinds = {
    "silent", "half-head", "slow-head", "body-in-one-piece", "body-in-pieces", "body-in-chunks", "body-over-limit", "many-fields", "pipelined"};
constexpr std::array<std::string_view, 4> s_addresses = {"callers", "readiness", "look-ups", "metrics"};

std::string pathFor(std::string_view address)
{
    if (address == "callers") {
        return "/read/crowd";
    }
    return address == "readiness" ? "/api/ready" : address == "look-ups" ? "/api/resolve?name=crowd.example&region=east&zone=east-a" : "/metrics";
}

} // namespace

// Guards against a host that is ended by the system, or stops answering, since a crowd takes its memory or all of its descriptors.
ParameterizedTestParameters(MisbehavingCallers, hostOutlivesACrowd)
{
    static std::array<CrowdCase, s_kinds.size() * s_addresses.size()> cases{};
    for (std::size_t i = 0; i < cases.size(); ++i) {
        s_kinds[i / s_addresses.size()].copy(cases[i].kind, sizeof(cases[i].kind) - 1);
        s_addresses[i % s_addresses.size()].copy(cases[i].address, sizeof(cases[i].address) - 1);
    }
    return cr_make_param_array(CrowdCase, cases.data(), cases.size());
}

ParameterizedTest(CrowdCase *testCase, MisbehavingCallers, hostOutlivesACrowd)
{
    Deployment deployment;
    deployment.play([&](const asio::yield_context &yield) {
        const std::size_t memoryBefore = deployment.peakMemory();
        Crowd crowd(deployment, deployment.addressOf(testCase->address), scriptFor(testCase->kind, pathFor(testCase->address)));
        crowd.start();
        std::size_t sockets = 0;
        for (auto time = 0ms; time < s_stay; time += 50ms) {
            sleepFor(deployment.context(), 50ms, yield);
            sockets = std::max(sockets, deployment.openSockets());
        }
        crowd.end(yield);
        deployment.awaitStatus(deployment.addressOf("callers"), "/read/ordinary", yield);
        for (const std::string_view address : {"readiness", "look-ups", "metrics"}) {
            deployment.awaitStatus(deployment.addressOf(address), pathFor(address), yield);
        }
        const std::size_t memory = deployment.peakMemory();
        cr_log_info("%s at %s: %zu KB before, %zu KB at most, %zu sockets", testCase->kind, testCase->address, memoryBefore / 1024, memory / 1024, sockets);
        cr_expect(memory <= s_memoryBound, "%s at %s: %zu KB", testCase->kind, testCase->address, memory / 1024);
        cr_expect(sockets <= s_socketBound, "%s at %s: %zu sockets", testCase->kind, testCase->address, sockets);
        cr_expect(deployment.isRunning(), "%s at %s", testCase->kind, testCase->address);
    });
}

// Guards against a host that runs out of descriptors since each request of a crowd takes a connection to an upstream, beside what its servers accept.
ParameterizedTestParameters(MisbehavingCallers, hostOutlivesAForwardedCrowd)
{
    static ForwardedCase cases[] = {
        // The upstreams hold all requests until their deadline.
        {"silent-upstreams", 60000},
        // Connections become idle at many upstreams.
        {"slow-upstreams", 300},
    };
    return cr_make_param_array(ForwardedCase, cases, std::size(cases));
}

ParameterizedTest(ForwardedCase *testCase, MisbehavingCallers, hostOutlivesAForwardedCrowd)
{
    Deployment deployment({s_upstreams, std::chrono::milliseconds(testCase->delayMilliseconds)});
    deployment.play([&](const asio::yield_context &yield) {
        std::list<Crowd> crowds;
        Script sending;
        sending.text = "GET /read/crowd HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 1000\r\n\r\n";
        sending.isRepeated = true;
        crowds.emplace_back(deployment, deployment.addressOf("callers"), sending);
        for (const std::string_view address : {"readiness", "look-ups", "metrics"}) {
            crowds.emplace_back(deployment, deployment.addressOf(address), Script{s_besideCrowd});
        }
        for (Crowd &crowd : crowds) {
            crowd.start();
        }
        std::size_t sockets = 0;
        for (auto time = 0ms; time < s_sendingStay; time += 50ms) {
            sleepFor(deployment.context(), 50ms, yield);
            sockets = std::max(sockets, deployment.openSockets());
        }
        for (Crowd &crowd : crowds) {
            crowd.end(yield);
        }
        deployment.awaitStatus(deployment.addressOf("callers"), "/read/ordinary", yield);
        for (const std::string_view address : {"readiness", "look-ups", "metrics"}) {
            deployment.awaitStatus(deployment.addressOf(address), pathFor(address), yield);
        }
        const std::size_t memory = deployment.peakMemory();
        cr_log_info("%s: %zu KB at most, %zu sockets", testCase->kind, memory / 1024, sockets);
        cr_expect(memory <= s_memoryBound, "%s: %zu KB", testCase->kind, memory / 1024);
        cr_expect(sockets <= s_socketBound, "%s: %zu sockets", testCase->kind, sockets);
        cr_expect(deployment.isRunning(), "%s", testCase->kind);
    });
}
