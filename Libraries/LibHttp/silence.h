#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace Trefoil
{

/// Lets the system end a connection whose other end no longer answers, both while bytes are on their way and while idle.
/// A timeout of 0 changes nothing. Precondition: the socket is open. Thread safety: as for the socket.
void detectSilence(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

} // namespace Trefoil
