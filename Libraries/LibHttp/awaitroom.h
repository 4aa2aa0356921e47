#pragma once

#include <LibHttp/cancellation.h>
#include <LibHttp/memorybudget.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>

namespace Trefoil
{

/// Resizes the reservation, and waits for room up to that time. False, with the size as before, when there was none; the budget counts that.
/// A request of the cancellation, which may be null, ends the wait; its hook is empty afterwards.
/// Preconditions: runs in the coroutine of yield, on the budget's thread, which runs executor; the reservation outlives the call.
bool awaitRoom(MemoryReservation &reservation,
    std::size_t bytes,
    std::chrono::nanoseconds longest,
    const boost::asio::any_io_executor &executor,
    const boost::asio::yield_context &yield,
    Cancellation *cancellation = nullptr);

} // namespace Trefoil
