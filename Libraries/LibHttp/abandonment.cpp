#include <LibHttp/abandonment.h>

#include <sys/socket.h>

namespace Trefoil
{

void setResetOnClose(boost::asio::ip::tcp::socket &socket, bool resets)
{
    // Asio turns the option off again in its destructor when it was set through Asio.
    const linger option{resets ? 1 : 0, 0};
    // Without the option the connection closes in order, which is what it would do anyway.
    static_cast<void>(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option)));
}

} // namespace Trefoil
