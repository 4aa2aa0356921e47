#include <LibHttp/endpoint.h>

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fmt/format.h>

namespace Trefoil
{

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const Error invalid{ErrorCode::InvalidInput, fmt::format("\"{}\" is not an IPv4 number and port", address)};
    const auto colon = address.find(':');
    if (colon == std::string::npos) {
        return invalid;
    }
    boost::system::error_code error;
    const auto number = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    if (error) {
        return invalid;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return invalid;
    }
    return boost::asio::ip::tcp::endpoint(number, port);
}

} // namespace Trefoil
