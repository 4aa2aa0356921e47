#pragma once

#include <LibCore/result.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Trefoil
{

/// Reads "IP:port" with an IPv4 number; port 0 lets the system choose when listening.
/// Precondition: none. Thread safety: safe from any thread.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace Trefoil
