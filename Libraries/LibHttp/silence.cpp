#include <LibHttp/silence.h>

#include <algorithm>
#include <netinet/tcp.h>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

template<int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void detectSilence(asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    if (timeout <= std::chrono::milliseconds(0)) {
        return;
    }
    // Without an option the connection still works; it only takes longer to notice a silent peer.
    boost::system::error_code ignored;
    const int probeSeconds = std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timeout).count()));
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(timeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(probeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(probeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(2), ignored);
}

} // namespace Trefoil
