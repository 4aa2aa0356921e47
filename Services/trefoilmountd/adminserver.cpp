#include <Services/trefoilmountd/adminserver.h>

#include <LibCommand/parser.h>
#include <LibConfiguration/json.h>
#include <LibCore/constanttime.h>
#include <LibHttp/parserfeed.h>
#include <LibHttp/requesthead.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace Trefoil
{

namespace http = boost::beast::http;
using boost::asio::yield_context;
using boost::asio::ip::tcp;
using nlohmann::json;

namespace
{

/// Covers the longest change (about 8 s) and the transfer of its text.
constexpr std::chrono::seconds s_requestTimeout{20};
constexpr std::chrono::seconds s_idleTimeout{60};
constexpr std::uint32_t s_maximumHeaderBytes = 8192;
/// Commands that declare 850,000 client blocks take about 40 MB.
constexpr std::uint64_t s_maximumBodyBytes = std::uint64_t{64} << 20U;
/// Connections that have not completed a first request; further ones are closed, so that unauthenticated clients can't exhaust
/// the host's descriptors.
constexpr std::uint64_t s_maximumUnauthenticatedConnections = 32;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Response respond(const Request &request, http::status status, std::string body, const char *contentType = "application/json")
{
    Response response(status, request.version());
    response.set(http::field::content_type, contentType);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Response respondJson(const Request &request, http::status status, const json &body)
{
    return respond(request, status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

Response respondError(const Request &request, http::status status, const char *code, const std::string &field, const std::string &message)
{
    return respondJson(request, status, {{"error", code}, {"field", field}, {"message", message}});
}

json toJson(const Findings &findings)
{
    json list = json::array();
    for (const auto &finding : findings) {
        list.push_back({{"place", finding.place}, {"message", finding.message}, {"hint", finding.hint}});
    }
    return list;
}

http::status httpStatus(ChangeStatus status)
{
    switch (status) {
    case ChangeStatus::Accepted:
    case ChangeStatus::DryRun:
        return http::status::ok;
    case ChangeStatus::Pending:
        return http::status::accepted;
    case ChangeStatus::Invalid:
        return http::status::bad_request;
    case ChangeStatus::Conflict:
        return http::status::conflict;
    case ChangeStatus::Refused:
        return http::status::service_unavailable;
    case ChangeStatus::Unknown:
        return http::status::gateway_timeout;
    }
    return http::status::internal_server_error;
}

/// The body of POST /v1/commands.
struct CommandRequest
{
    std::string text;
    std::optional<ConfigurationVersion> baseVersion;
    bool dryRun = false;
    std::string author = "operator";
};

Error badField(const char *field, const char *message)
{
    return Error{ErrorCode::InvalidInput, "the request is invalid", {{field, message, {}}}};
}

Result<CommandRequest> readCommandRequest(const std::string &body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return badField("/", "must be a JSON object");
    }
    CommandRequest request;
    for (const auto &[name, value] : document.items()) {
        if (name == "text" && value.is_string()) {
            request.text = value.get<std::string>();
        } else if (name == "baseVersion" && value.is_number_unsigned()) {
            request.baseVersion = ConfigurationVersion(value.get<std::uint64_t>());
        } else if (name == "dryRun" && value.is_boolean()) {
            request.dryRun = value.get<bool>();
        } else if (name == "author" && value.is_string()) {
            request.author = value.get<std::string>();
        } else {
            return badField(name.c_str(), "is unknown or has the wrong type");
        }
    }
    if (!document.contains("text")) {
        return badField("text", "is missing");
    }
    return request;
}

} // namespace

class AdminServer::Implementation : public std::enable_shared_from_this<AdminServer::Implementation>
{
public:
    Implementation(
        boost::asio::io_context &context, AdminServerSettings settings, ConfigurationService &configuration, const HostState &state, AdminServerSources sources)
        : m_context(context)
        , m_acceptor(context)
        , m_settings(std::move(settings))
        , m_configuration(configuration)
        , m_queries(state, std::move(sources.queries))
        , m_metrics(std::move(sources.metrics))
        , m_status(std::move(sources.status))
        , m_framingRejections(sources.framingRejections)
    {
    }

    Result<void> listen()
    {
        const auto colon = m_settings.listenAddress.rfind(':');
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(m_settings.listenAddress.substr(0, colon), error);
        const int port = colon == std::string::npos ? -1 : std::atoi(m_settings.listenAddress.c_str() + colon + 1);
        if (error || port < 0 || port > 65535) {
            return Error{ErrorCode::InvalidInput, fmt::format("\"{}\" is not an IP number and port", m_settings.listenAddress)};
        }
        const tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
        m_acceptor.open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return Error{ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", m_settings.listenAddress, error.message())};
        }
        boost::asio::spawn(m_context, [self = shared_from_this()](const yield_context &yield) { self->acceptConnections(yield); });
        return boost::outcome_v2::success();
    }

    std::string address() const
    {
        boost::system::error_code ignored;
        const auto endpoint = m_acceptor.local_endpoint(ignored);
        return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    void acceptConnections(const yield_context &yield)
    {
        while (m_acceptor.is_open()) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.async_accept(socket, yield[error]);
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // For example out of descriptors; accepting again without a delay would be a busy loop.
                boost::asio::steady_timer timer(m_context, std::chrono::milliseconds(100));
                timer.async_wait(yield[error]);
                continue;
            }
            if (m_unauthenticatedConnections >= s_maximumUnauthenticatedConnections) {
                continue;
            }
            auto stream = std::make_shared<boost::beast::tcp_stream>(std::move(socket));
            boost::asio::spawn(m_context, [self = shared_from_this(), stream](const yield_context &connection) { self->serve(*stream, connection); });
        }
    }

    void serve(boost::beast::tcp_stream &stream, const yield_context &yield)
    {
        boost::beast::flat_buffer buffer;
        ++m_unauthenticatedConnections;
        bool isOpen = serveOne(stream, buffer, yield);
        --m_unauthenticatedConnections;
        while (isOpen && m_acceptor.is_open()) {
            isOpen = serveOne(stream, buffer, yield);
        }
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    /// Reads one request and responds. Returns false when the connection must be closed. The secret is checked before the body is read.
    bool serveOne(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const yield_context &yield)
    {
        boost::system::error_code error;
        http::request_parser<http::string_body> parser;
        parser.header_limit(s_maximumHeaderBytes);
        parser.body_limit(s_maximumBodyBytes);
        stream.expires_after(s_idleTimeout);
        const RequestHead head = readHead(stream, buffer, s_maximumHeaderBytes, yield);
        if (const auto *fault = std::get_if<FramingFault>(&head)) {
            rejectFraming(*fault, stream, yield);
            return false;
        }
        if (std::holds_alternative<boost::system::error_code>(head)) {
            return false;
        }
        http::async_read_header(stream, buffer, parser, yield[error]);
        if (error) {
            return false;
        }
        stream.expires_after(s_requestTimeout);
        if (!isAuthorized(parser.get())) {
            Response refusal = respondError(parser.get(), http::status::unauthorized, "unauthorized", "Authorization", "the bearer secret is missing or wrong");
            refusal.keep_alive(false);
            http::async_write(stream, refusal, yield[error]);
            return false;
        }
        if (readBody(stream, buffer, parser, yield)) {
            return false;
        }
        const Request request = parser.release();
        Response response = handle(request, yield);
        http::async_write(stream, response, yield[error]);
        return !error && response.keep_alive();
    }

    void rejectFraming(FramingFault fault, boost::beast::tcp_stream &stream, const yield_context &yield)
    {
        if (m_framingRejections) {
            m_framingRejections->count(fault);
        }
        Response rejection = respondError({},
            http::status(statusOf(fault)),
            "malformed-request",
            std::string(fieldOf(fault)),
            fmt::format("the request's end can't be told: {}", toText(fault)));
        rejection.keep_alive(false);
        boost::system::error_code ignored;
        http::async_write(stream, rejection, yield[ignored]);
    }

    bool isAuthorized(const http::request_header<> &header) const
    {
        constexpr std::string_view prefix = "Bearer ";
        const std::string value(header[http::field::authorization]);
        return value.rfind(prefix, 0) == 0 && equalInConstantTime(std::string_view(value).substr(prefix.size()), m_settings.secret);
    }

    Response handle(const Request &request, const yield_context &yield)
    {
        const std::string target(request.target());
        const bool isCommands = target == "/v1/commands";
        if (!isCommands && target != "/v1/configuration" && target != "/v1/status" && target != "/metrics") {
            return respondError(request, http::status::not_found, "not-found", "path", "unknown path");
        }
        if (request.method() != (isCommands ? http::verb::post : http::verb::get)) {
            return respondError(request, http::status::method_not_allowed, "bad-method", "method", isCommands ? "use POST" : "use GET");
        }
        if (isCommands) {
            return handleCommands(request, yield);
        }
        if (target == "/v1/configuration") {
            return respondJson(request, http::status::ok, Trefoil::toJson(*m_configuration.configuration()));
        }
        if (target == "/v1/status") {
            return respondJson(request, http::status::ok, status());
        }
        return respond(request, http::status::ok, m_metrics ? m_metrics() : std::string(), "text/plain; version=0.0.4");
    }

    json status() const
    {
        json result = m_status ? m_status() : json::object();
        result["configurationVersion"] = m_configuration.configuration()->version.value();
        result["configurationStarted"] = m_configuration.isStarted();
        result["configurationCurrent"] = m_configuration.isCurrent(BootClock::now());
        return result;
    }

    Response handleCommands(const Request &request, const yield_context &yield)
    {
        const auto parsed = readCommandRequest(request.body());
        if (parsed.has_error()) {
            const Finding &finding = parsed.error().findings.front();
            return respondError(request, http::status::bad_request, "bad-request", finding.place, finding.message);
        }
        const auto commands = parseCommands(parsed.value().text);
        if (commands.has_error()) {
            return respondInvalid(request, commands.error());
        }
        const bool hasChange = std::any_of(commands.value().begin(), commands.value().end(), isChange);
        json body = {{"status", "answered"}, {"version", m_configuration.configuration()->version.value()}, {"message", ""}};
        http::status status = http::status::ok;
        if (hasChange) {
            const ChangeOutcome outcome = change(parsed.value(), yield);
            status = httpStatus(outcome.status);
            body = changeToJson(outcome);
        }
        body["tables"] = json::array();
        for (const auto &command : commands.value()) {
            if (isChange(command) || status != http::status::ok) {
                continue;
            }
            const auto answer = m_queries.answer(command);
            if (answer.has_error()) {
                return respondInvalid(request, answer.error());
            }
            body["tables"].push_back(answer.value());
        }
        return respondJson(request, status, body);
    }

    Response respondInvalid(const Request &request, const Error &error) const
    {
        const bool isInvalid = error.code == ErrorCode::InvalidInput;
        const json body = {{"status", isInvalid ? "invalid" : "refused"},
            {"version", m_configuration.configuration()->version.value()},
            {"message", error.message},
            {"findings", toJson(error.findings)}};
        return respondJson(request, isInvalid ? http::status::bad_request : http::status::service_unavailable, body);
    }

    static json changeToJson(const ChangeOutcome &outcome)
    {
        json regions = json::array();
        for (const auto &region : outcome.regions) {
            regions.push_back(region.value());
        }
        return {{"status", changeStatusName(outcome.status)},
            {"version", outcome.version.value()},
            {"message", outcome.message},
            {"findings", toJson(outcome.findings)},
            {"changes", Trefoil::toJson(outcome.changes)},
            {"regions", std::move(regions)}};
    }

    ChangeOutcome change(const CommandRequest &request, const yield_context &yield)
    {
        // Shared, because the service may call back after this coroutine has ended, when the server is stopped in between.
        const auto result = std::make_shared<std::optional<ChangeOutcome>>();
        const auto completed = std::make_shared<boost::asio::steady_timer>(m_context, s_requestTimeout);
        m_configuration.changeConfiguration(
            request.text, request.baseVersion, request.author, request.dryRun, [result, completed](const ChangeOutcome &outcome) {
                *result = outcome;
                completed->cancel();
            });
        boost::system::error_code ignored;
        if (!*result) {
            completed->async_wait(yield[ignored]);
        }
        if (!*result) {
            return {ChangeStatus::Unknown, m_configuration.configuration()->version, "the change was not answered"};
        }
        return **result;
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    AdminServerSettings m_settings;
    ConfigurationService &m_configuration;
    AdminQueries m_queries;
    std::function<std::string()> m_metrics;
    std::function<json()> m_status;
    FramingRejections *m_framingRejections;
    std::uint64_t m_unauthenticatedConnections = 0;
};

AdminServer::AdminServer(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

AdminServer::~AdminServer()
{
    close();
}

Result<std::unique_ptr<AdminServer>> AdminServer::create(
    boost::asio::io_context &context, AdminServerSettings settings, ConfigurationService &configuration, const HostState &state, AdminServerSources sources)
{
    if (settings.secret.empty()) {
        return Error{ErrorCode::InvalidInput, "the administration secret is empty"};
    }
    auto implementation = std::make_shared<Implementation>(context, std::move(settings), configuration, state, std::move(sources));
    const auto listening = implementation->listen();
    if (listening.has_error()) {
        return listening.error();
    }
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(implementation)));
}

std::string AdminServer::address() const
{
    return m_implementation->address();
}

void AdminServer::close()
{
    m_implementation->close();
}

} // namespace Trefoil
