#include <LibHttp/awaitroom.h>

#include <boost/asio/steady_timer.hpp>

namespace Trefoil
{

namespace asio = boost::asio;

bool awaitRoom(MemoryReservation &reservation,
    std::size_t bytes,
    std::chrono::nanoseconds longest,
    const asio::any_io_executor &executor,
    const asio::yield_context &yield,
    Cancellation *cancellation)
{
    if (reservation.tryResize(bytes)) {
        return true;
    }
    // A hook that is set after the request would run before the wait begins, and end nothing.
    if (cancellation && cancellation->isRequested()) {
        return false;
    }
    if (reservation.canEverHold(bytes) && longest.count() > 0) {
        asio::steady_timer timer(executor, longest);
        const RoomRequest request(reservation, bytes, [&timer] { timer.cancel(); });
        if (cancellation) {
            cancellation->setHook([&timer] { timer.cancel(); });
        }
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        if (cancellation) {
            cancellation->setHook({});
        }
        if (request.isGranted()) {
            return true;
        }
        if (cancellation && cancellation->isRequested()) {
            return false;
        }
    }
    reservation.budget().recordRefusal(reservation.use(), bytes);
    return false;
}

} // namespace Trefoil
