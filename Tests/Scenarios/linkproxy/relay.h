#pragma once

#include "linktable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

namespace Trefoil::LinkProxy
{

/// One relayed connection. Thread safety: not safe; the proxy has one thread.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// Precondition: the objects behind the references outlive the relay.
    Relay(boost::asio::io_context &context, const LinkTable &links, Tcp::socket accepted, EndpointIndex source, EndpointIndex destination);

    /// Connects to the target from the IP number of the source, then passes bytes until one side closes.
    void start(const Tcp::endpoint &target);

    /// Resets both sides, as a cut link does.
    void reset();

    /// Holds back all further bytes for good.
    void silence();

    EndpointIndex source() const;
    EndpointIndex destination() const;

private:
    struct Chunk
    {
        std::chrono::steady_clock::time_point deliverAt;
        /// Empty at the end of the stream.
        std::string bytes;
        /// The stream ended with a reset.
        bool isReset = false;
    };

    /// One direction of the connection.
    struct Direction
    {
        Direction(boost::asio::io_context &context, Tcp::socket &fromSocket, Tcp::socket &toSocket, EndpointIndex fromIndex, EndpointIndex toIndex);

        Tcp::socket &input;
        Tcp::socket &output;
        EndpointIndex from;
        EndpointIndex to;
        std::deque<Chunk> chunks;
        boost::asio::steady_timer changed;
    };

    void connect(const Tcp::endpoint &target, const boost::asio::yield_context &yield);
    void read(Direction &direction, const boost::asio::yield_context &yield);
    void write(Direction &direction, const boost::asio::yield_context &yield);
    bool isSilent(const Direction &direction) const;
    void pause(std::chrono::steady_clock::time_point until, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    const LinkTable &m_links;
    Tcp::socket m_client;
    Tcp::socket m_server;
    EndpointIndex m_source;
    EndpointIndex m_destination;
    Direction m_forward;
    Direction m_backward;
    bool m_silenced = false;
    bool m_closed = false;
};

} // namespace Trefoil::LinkProxy
