#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Trefoil
{

/// Sets whether closing the socket resets the connection. A reset drops the bytes that the other end has not acknowledged; after an
/// orderly close the system goes on sending them, and a request that was given up during a cut would arrive after it.
/// Holds for every way in which the socket closes, also by its destructor. Precondition: the socket is open. Thread safety: as for the socket.
void setResetOnClose(boost::asio::ip::tcp::socket &socket, bool resets);

} // namespace Trefoil
