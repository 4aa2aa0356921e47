#pragma once

#include "gatewayfixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Upstreams that send what a test tells them to.
namespace Trefoil::GatewayTests
{

using tcp = asio::ip::tcp;

/// An upstream whose connections are written byte for byte by the test.
class ScriptedUpstream
{
public:
    /// Answers the request with that id on the connection; true keeps the connection.
    using Script = std::function<bool(tcp::socket &socket, const std::string &id, const asio::yield_context &yield)>;

    ScriptedUpstream(GatewayFixture &fixture, const std::string &id, Script script)
        : m_context(fixture.context)
        , m_script(std::move(script))
        , m_acceptor(fixture.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        registerAs(fixture, id);
        asio::spawn(m_context, [this](const asio::yield_context &yield) { accept(yield); });
    }

    /// Adds a row of that id with the address of this upstream.
    void registerAs(GatewayFixture &fixture, const std::string &id)
    {
        UpstreamRegistration row;
        row.id = UpstreamId(id);
        row.service = ServiceId("service");
        row.address = fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
        row.zone = ZoneId("zone");
        row.slots = SlotCount(4);
        row.startedAt = 1;
        row.reportNumber = 1;
        fixture.state.upstreamStarted(row, BootClock::now());
    }

    /// Requests that have reached the upstream.
    const std::vector<std::string> &received() const
    {
        return m_received;
    }

    static void write(tcp::socket &socket, const std::string &text, const asio::yield_context &yield)
    {
        boost::system::error_code ignored;
        asio::async_write(socket, asio::buffer(text), yield[ignored]);
    }

private:
    void accept(const asio::yield_context &yield)
    {
        boost::system::error_code error;
        while (!error) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.async_accept(*socket, yield[error]);
            if (!error) {
                asio::spawn(m_context, [this, socket](const asio::yield_context &connectionYield) { serve(*socket, connectionYield); });
            }
        }
    }

    void serve(tcp::socket &socket, const asio::yield_context &yield)
    {
        static constexpr std::string_view body = "two casts";
        static constexpr std::string_view idName = "Trefoil-Request-Id: ";
        std::string buffer;
        boost::system::error_code error;
        while (true) {
            asio::async_read_until(socket, asio::dynamic_buffer(buffer), std::string("\r\n\r\n").append(body), yield[error]);
            if (error) {
                return;
            }
            const auto start = buffer.find(idName) + idName.size();
            const std::string id = buffer.substr(start, buffer.find('\r', start) - start);
            buffer.clear();
            m_received.push_back(id);
            if (!m_script(socket, id, yield)) {
                return;
            }
        }
    }

    asio::io_context &m_context;
    Script m_script;
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_received;
};

inline std::string response(const std::string &id, const std::string &status, const std::string &headers = "")
{
    return fmt::format("HTTP/1.1 {}\r\n{}{}Content-Length: 2\r\n\r\nok", status, id.empty() ? "" : "Trefoil-Request-Id: " + id + "\r\n", headers);
}

inline std::string refusal(const std::string &id)
{
    return response(id, "503 Service Unavailable", "Trefoil-Not-Started: 1\r\n");
}

inline void pause(asio::io_context &context, std::chrono::milliseconds time, const asio::yield_context &yield)
{
    asio::steady_timer timer(context, time);
    timer.async_wait(yield);
}

} // namespace Trefoil::GatewayTests
