#include "proxy.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Trefoil::LinkProxy
{

namespace
{

namespace Http = boost::beast::http;

/// Closed relays are forgotten when this many more are listed than were open the last time.
constexpr std::size_t relaysBeforeCleaning = 1024;

boost::asio::ip::tcp::endpoint endpointFrom(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("\"" + address + "\" is not IP:port");
    }
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    return {boost::asio::ip::make_address_v4(address.substr(0, colon)), port};
}

} // namespace

Result<ProxyConfiguration> proxyConfigurationFromJson(const nlohmann::json &document)
{
    ProxyConfiguration configuration;
    try {
        configuration.control = endpointFrom(document.at("control").get<std::string>());
        for (const auto &item : document.at("endpoints")) {
            configuration.endpoints.push_back({item.at("name"), item.at("ip"), item.value("groups", std::vector<std::string>())});
        }
        for (const auto &item : document.at("listeners")) {
            configuration.listeners.push_back({endpointFrom(item.at("listen").get<std::string>()), endpointFrom(item.at("target").get<std::string>())});
        }
    } catch (const std::exception &error) {
        return Error{ErrorCode::InvalidInput, error.what()};
    }
    return configuration;
}

Proxy::Proxy(boost::asio::io_context &context, const ProxyConfiguration &configuration)
    : m_context(context)
    , m_links(configuration.endpoints)
    , m_listeners(configuration.listeners)
    , m_control(context, configuration.control)
{
    m_acceptors.reserve(m_listeners.size());
    for (const auto &listener : m_listeners) {
        m_acceptors.emplace_back(context, listener.listen);
    }
}

void Proxy::start()
{
    for (std::size_t i = 0; i < m_acceptors.size(); ++i) {
        acceptRelays(m_acceptors[i], m_listeners[i].target);
    }
    acceptControl();
}

void Proxy::acceptRelays(Tcp::acceptor &acceptor, const Tcp::endpoint &target)
{
    acceptor.async_accept([this, &acceptor, target](const boost::system::error_code &error, Tcp::socket socket) {
        boost::system::error_code addressError;
        const auto remote = socket.remote_endpoint(addressError);
        if (!error && !addressError) {
            const auto source = m_links.byAddress(remote.address().to_string());
            const auto destination = m_links.byAddress(target.address().to_string());
            auto relay = std::make_shared<Relay>(m_context, m_links, std::move(socket), source, destination);
            if (m_links.link(source, destination).mode == LinkMode::Cut) {
                relay->reset();
            } else {
                if (m_relays.size() >= m_cleanAt) {
                    m_cleanAt = 2 * openRelays().size() + relaysBeforeCleaning;
                }
                m_relays.push_back(relay);
                relay->start(target);
            }
        }
        acceptRelays(acceptor, target);
    });
}

void Proxy::acceptControl()
{
    m_control.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
        if (!error) {
            auto shared = std::make_shared<Tcp::socket>(std::move(socket));
            boost::asio::spawn(m_context, [this, shared](const boost::asio::yield_context &yield) { serveControl(std::move(*shared), yield); });
        }
        acceptControl();
    });
}

void Proxy::serveControl(Tcp::socket socket, const boost::asio::yield_context &yield)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
        Http::request_parser<Http::string_body> parser;
        Http::async_read(socket, buffer, parser, yield[error]);
        if (error) {
            return;
        }
        const Response response = answer(parser.get());
        Http::async_write(socket, response, yield[error]);
        if (!response.keep_alive()) {
            return;
        }
    }
}

Result<void> Proxy::change(const nlohmann::json &document)
{
    const auto change = m_links.parse(document);
    if (change.has_error()) {
        return change.error();
    }
    apply(change.value());
    return boost::outcome_v2::success();
}

Proxy::Response Proxy::answer(const Request &request)
{
    Response response(Http::status::ok, request.version());
    response.keep_alive(request.keep_alive());
    response.set(Http::field::content_type, "application/json");
    if (request.method() == Http::verb::get) {
        response.body() = nlohmann::json{{"openConnections", openRelays().size()}}.dump();
    } else {
        const auto document = nlohmann::json::parse(request.body(), nullptr, false);
        const auto changed = change(document);
        if (changed.has_value()) {
            response.body() = "{}";
        } else {
            response.result(Http::status::bad_request);
            response.body() = nlohmann::json{{"error", "bad-input"}, {"message", changed.error().message}}.dump();
        }
    }
    response.prepare_payload();
    return response;
}

void Proxy::apply(const LinkChange &change)
{
    m_links.apply(change);
    for (const auto &relay : openRelays()) {
        if (!LinkTable::touches(change, relay->source(), relay->destination())) {
            continue;
        }
        if (change.link.mode == LinkMode::Cut) {
            relay->reset();
        } else if (change.link.mode == LinkMode::Silent && change.existingOnly) {
            relay->silence();
        }
    }
}

std::vector<std::shared_ptr<Relay>> Proxy::openRelays()
{
    std::vector<std::shared_ptr<Relay>> open;
    std::vector<std::weak_ptr<Relay>> kept;
    for (const auto &weak : m_relays) {
        auto relay = weak.lock();
        if (relay == nullptr) {
            continue;
        }
        kept.push_back(weak);
        open.push_back(std::move(relay));
    }
    m_relays = std::move(kept);
    return open;
}

} // namespace Trefoil::LinkProxy
