#pragma once

#include "relay.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Trefoil::LinkProxy
{

/// An address that others are told, and the process behind it.
struct Listener
{
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint target;
};

struct ProxyConfiguration
{
    boost::asio::ip::tcp::endpoint control;
    std::vector<Endpoint> endpoints;
    std::vector<Listener> listeners;
};

/// Reads {"control", "endpoints": [{"name", "ip", "groups"}], "listeners": [{"listen", "target"}]}; addresses are "IP:port".
Result<ProxyConfiguration> proxyConfigurationFromJson(const nlohmann::json &document);

/// Relays connections between processes and changes their links on POST /control.
/// Thread safety: not safe; everything runs on the thread of the io_context.
class Proxy
{
public:
    /// Precondition: context outlives the proxy. Throws boost::system::system_error when an address is in use.
    Proxy(boost::asio::io_context &context, const ProxyConfiguration &configuration);

    /// Starts accepting. Precondition: the proxy outlives the run of the context.
    void start();

    /// Changes links as a body of POST /control does. Reports unknown names.
    Result<void> change(const nlohmann::json &document);

private:
    using Tcp = boost::asio::ip::tcp;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void acceptRelays(Tcp::acceptor &acceptor, const Tcp::endpoint &target);
    void acceptControl();
    void serveControl(Tcp::socket socket, const boost::asio::yield_context &yield);
    Response answer(const Request &request);
    void apply(const LinkChange &change);
    std::vector<std::shared_ptr<Relay>> openRelays();

    boost::asio::io_context &m_context;
    LinkTable m_links;
    std::vector<Listener> m_listeners;
    std::vector<Tcp::acceptor> m_acceptors;
    Tcp::acceptor m_control;
    std::vector<std::weak_ptr<Relay>> m_relays;
    std::size_t m_cleanAt = 0;
};

} // namespace Trefoil::LinkProxy
