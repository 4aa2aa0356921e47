#include "deployment.h"

#include <boost/beast/core/detail/base64.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>

namespace Review
{

namespace
{

using namespace std::chrono_literals;

/// Rows in one answer of the store at most.
constexpr std::size_t s_rowsPerAnswer = 500;
/// How often a feed looks for changes.
constexpr std::chrono::milliseconds s_feedInterval{4};
constexpr std::chrono::seconds s_readyTimeout{20};
/// The time of one transaction of the store.
constexpr std::chrono::milliseconds s_transactionTime{4};
/// Callers, readiness, look-ups, peers, metrics.
constexpr std::size_t s_portCount = 5;
/// Longer than the deadline of any request of the cases.
constexpr std::chrono::seconds s_callerTimeout{10};
constexpr const char *s_address = "127.0.0.1";

std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    std::string rest = query == std::string::npos ? "" : target.substr(query + 1);
    while (!rest.empty()) {
        const std::string pair = rest.substr(0, rest.find('&'));
        rest.erase(0, pair.size() + 1);
        if (pair.compare(0, name.size() + 1, name + "=") != 0) {
            continue;
        }
        std::string value;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            const bool isEncoded = pair[i] == '%' && i + 2 < pair.size();
            value += isEncoded ? static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16)) : pair[i];
            i += isEncoded ? 2 : 0;
        }
        return value;
    }
    return {};
}

std::string encoded(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

Response jsonResponse(unsigned status, const Json &body)
{
    Response response(http::int_to_status(status), 11, body.dump());
    response.set(http::field::content_type, "application/json");
    return response;
}

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

/// Ports that are free for TCP and UDP at the time of the call.
std::vector<unsigned short> freePorts()
{
    asio::io_context context;
    std::vector<asio::ip::tcp::acceptor> acceptors;
    std::vector<unsigned short> ports;
    while (ports.size() < s_portCount) {
        acceptors.emplace_back(context, endpointOf(std::string(s_address) + ":0"));
        const unsigned short port = acceptors.back().local_endpoint().port();
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        boost::system::error_code error;
        datagrams.bind({asio::ip::make_address(s_address), port}, error);
        if (!error) {
            ports.push_back(port);
        }
    }
    return ports;
}

} // namespace

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::write(const std::string &line)
{
    m_file << milliseconds() << " " << line << std::endl;
}

std::int64_t Record::milliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start).count();
}

Server::Server(asio::io_context &context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
    , m_acceptor(context, endpointOf(std::string(s_address) + ":0"))
{
    asio::spawn(m_context, [this](const asio::yield_context &yield) {
        while (true) {
            auto socket = std::make_shared<Socket>(m_context);
            boost::system::error_code error;
            m_acceptor.async_accept(*socket, yield[error]);
            if (error) {
                return;
            }
            asio::spawn(m_context, [this, socket](const asio::yield_context &connectionYield) { serve(*socket, connectionYield); });
        }
    });
}

std::string Server::address() const
{
    return std::string(s_address) + ":" + std::to_string(m_acceptor.local_endpoint().port());
}

void Server::serve(Socket &socket, const asio::yield_context &yield)
{
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(1024 * 1024);
        boost::system::error_code error;
        http::async_read(socket, buffer, parser, yield[error]);
        if (error) {
            return;
        }
        auto response = m_handler(parser.get(), yield);
        if (!response) {
            return;
        }
        response->prepare_payload();
        http::async_write(socket, *response, yield[error]);
        if (error) {
            return;
        }
    }
}

Store::Store(asio::io_context &context)
    : m_context(context)
    , m_server(context, [this](const Request &request, const asio::yield_context &yield) { return std::make_optional(answer(request, yield)); })
{
}

void Store::set(const std::string &table, const std::string &key, const Json &value)
{
    put(table, key, encoded(value.dump()), false);
}

void Store::put(const std::string &table, const std::string &key, std::string value, bool isRemoved)
{
    const Row row{table, key, std::move(value), ++m_version, isRemoved};
    m_history.push_back(row);
    if (isRemoved) {
        m_tables[table].erase(key);
    } else {
        m_tables[table][key] = row;
    }
}

std::string Store::now() const
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start).count()) + "ms";
}

Response Store::answer(const Request &request, const asio::yield_context &yield)
{
    sleepFor(m_context, s_transactionTime, yield);
    const std::string target(request.target());
    if (target.rfind("/api/rows-get?", 0) == 0) {
        return read(target);
    }
    if (target.rfind("/api/rows-feed?", 0) == 0) {
        return feed(target, yield);
    }
    return target == "/api/rows-tx" ? transact(request.body()) : jsonResponse(404, Json::object());
}

Response Store::read(const std::string &target) const
{
    Json rows = Json::array();
    bool hasMore = false;
    if (const auto table = m_tables.find(parameter(target, "table")); table != m_tables.end()) {
        for (auto row = table->second.lower_bound(parameter(target, "from")); row != table->second.end() && !hasMore; ++row) {
            hasMore = rows.size() >= s_rowsPerAnswer;
            if (!hasMore) {
                rows.push_back({{"table", table->first}, {"part", ""}, {"key", row->first}, {"value", row->second.value}, {"ver", row->second.version}});
            }
        }
    }
    return jsonResponse(200, {{"rows", rows}, {"has_more", hasMore}, {"ver", m_version}, {"now", now()}});
}

Response Store::feed(const std::string &target, const asio::yield_context &yield)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoul(parameter(target, "wait_ms")));
    const std::uint64_t after = std::stoull(parameter(target, "after"));
    const std::string table = parameter(target, "table");
    while (true) {
        Json rows = Json::array();
        std::uint64_t version = m_version;
        for (const Row &row : m_history) {
            if (row.table != table || row.version <= after) {
                continue;
            }
            if (rows.size() >= s_rowsPerAnswer) {
                version = rows.back().at("ver");
                break;
            }
            Json entry = {{"table", table}, {"part", ""}, {"key", row.key}, {"ver", row.version}};
            entry[row.isRemoved ? "removed" : "value"] = row.isRemoved ? Json(true) : Json(row.value);
            rows.push_back(std::move(entry));
        }
        if (!rows.empty() || std::chrono::steady_clock::now() >= end) {
            return jsonResponse(200, {{"rows", rows}, {"ver", version}, {"now", now()}});
        }
        sleepFor(m_context, s_feedInterval, yield);
    }
}

Response Store::transact(const std::string &body)
{
    const Json transaction = Json::parse(body);
    for (const Json &row : transaction.at("expected")) {
        const auto &table = m_tables[row.at("table")];
        const auto found = table.find(row.at("key"));
        if (row.at("ver") != (found == table.end() ? 0 : found->second.version)) {
            return jsonResponse(412, {{"rows", Json::array()}, {"ver", m_version}, {"now", now()}});
        }
    }
    for (const Json &row : transaction.at("set_keys")) {
        put(row.at("table"), row.at("key"), row.at("value"), false);
    }
    for (const Json &row : transaction.at("remove")) {
        put(row.at("table"), row.at("key"), "", true);
    }
    return jsonResponse(200, {{"ver", m_version}, {"now", now()}});
}

Host::Host(std::string folder, std::string name, std::string storeAddress)
    : m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_storeAddress(std::move(storeAddress))
    , m_ports(freePorts())
{
}

Host::~Host()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void Host::start()
{
    const auto address = [this](std::size_t port) { return std::string(s_address) + ":" + std::to_string(m_ports[port]); };
    const Json limits = {{"stopGrace", "6s"},
        {"lookupLifetime", "5s"},
        {"retryRatio", 0.2},
        {"retryWindow", "10s"},
        {"retrySlack", 60},
        {"coldFactor", 1.5},
        {"coldSlack", 5},
        {"largestShift", 0.15},
        {"drainNotice", "2000ms"},
        {"configurationApply", "2000ms"},
        {"cores", 0.2},
        {"linkMegabits", 1000.0},
        {"descriptors", 4100},
        {"memory", 260}};
    const Json settings = {{"host", m_name},
        {"zone", "gulf-a"},
        {"region", "gulf"},
        {"sourceAddress", s_address},
        {"callerAddress", address(0)},
        {"readinessAddress", address(1)},
        {"lookupAddress", address(2)},
        {"peerAddress", address(3)},
        {"metricsAddress", address(4)},
        {"zones", {{"gulf-a", "gulf"}}},
        {"firstStart", true},
        {"terms", {"base", "drain", "config", "cost", "retry", "recover", "places", "platform"}},
        {"store", {{"address", m_storeAddress}}},
        {"limits", limits}};
    const std::string path = m_folder + "/" + m_name + ".json";
    std::ofstream(path) << settings.dump(2);
    std::string program = "target/Services/trefoilmountd/trefoilmountd";
    std::string argument = "--gateway";
    std::string variable = "TREFOILMOUNT_SETTINGS=" + path;
    char *arguments[] = {program.data(), argument.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    const std::string log = m_folder + "/" + m_name + ".log";
    ::posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
        m_process = -1;
    }
    ::posix_spawn_file_actions_destroy(&actions);
}

void Host::signal(int number) const
{
    ::kill(m_process, number);
}

bool Host::hasEnded()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process <= 0;
}

std::string Host::callerAddress() const
{
    return std::string(s_address) + ":" + std::to_string(m_ports[0]);
}

std::string Host::readinessAddress() const
{
    return std::string(s_address) + ":" + std::to_string(m_ports[1]);
}

std::string Host::lookupAddress() const
{
    return std::string(s_address) + ":" + std::to_string(m_ports[2]);
}

Caller::Caller(asio::io_context &context)
    : m_stream(context)
{
}

bool Caller::connect(const std::string &address, const asio::yield_context &yield)
{
    boost::system::error_code error;
    m_stream.expires_after(s_callerTimeout);
    m_stream.async_connect(endpointOf(address), yield[error]);
    return !error;
}

std::optional<Response> Caller::send(const Request &request, const asio::yield_context &yield)
{
    boost::system::error_code error;
    m_stream.expires_after(s_callerTimeout);
    http::async_write(m_stream, request, yield[error]);
    Response response;
    if (!error) {
        http::async_read(m_stream, m_buffer, response, yield[error]);
    }
    return error ? std::nullopt : std::make_optional(std::move(response));
}

void sleepFor(asio::io_context &context, std::chrono::milliseconds time, const asio::yield_context &yield)
{
    asio::steady_timer timer(context, time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

bool awaitReady(asio::io_context &context, Host &host, const asio::yield_context &yield)
{
    const auto end = std::chrono::steady_clock::now() + s_readyTimeout;
    while (std::chrono::steady_clock::now() < end && !host.hasEnded()) {
        Caller caller(context);
        if (caller.connect(host.readinessAddress(), yield)) {
            Request request(http::verb::get, "/api/ready", 11);
            request.set(http::field::host, host.readinessAddress());
            const auto response = caller.send(request, yield);
            if (response && response->result_int() == 200) {
                return true;
            }
        }
        sleepFor(context, 50ms, yield);
    }
    return false;
}

Json routeTo(const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"name", "r-" + service},
        {"host", "jepu9.example"},
        {"prefix", prefix},
        {"kind", kind},
        {"timeout", "4000ms"},
        {"target_latency", "600ms"},
        {"priority", 1},
        {"service", service},
        {"max_attempts", 2},
        {"session_affinity", false},
        {"allowed_regions", Json::array()}};
}

Json configuration(int version, const Json &routes, const std::vector<std::string> &services, std::size_t headerLimit)
{
    Json entries = Json::array();
    for (const std::string &service : services) {
        entries.push_back({{"name", service},
            {"health_path", "/healthz"},
            {"max_conns", 360},
            {"protocol", "h1"},
            {"tls", false},
            {"cold_start", "3s"},
            {"cold_per_s", 3.2}});
    }
    const Json limits = {{"max_header_bytes", headerLimit}, {"max_body_bytes", 67108864}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}};
    return {{"version", "r" + std::to_string(version)}, {"routes", routes}, {"services", entries}, {"limits", limits}};
}

Json upstreamEntry(const std::string &service, const std::string &address, int report)
{
    return {{"service", service},
        {"address", address},
        {"zone", "gulf-a"},
        {"version", "v1"},
        {"max_concurrency", 4},
        {"state", "ready"},
        {"cold_remaining", "0ms"},
        {"seq_no", report},
        {"born", 1765000000000}};
}

} // namespace Review
