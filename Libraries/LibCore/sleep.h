#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Trefoil
{

/// Lets a coroutine wait while the context goes on with other work.
/// Precondition: the coroutine runs on the context. Thread safety: as for the coroutine.
inline void sleepFor(boost::asio::io_context &context, boost::asio::steady_timer::duration time, const boost::asio::yield_context &yield)
{
    boost::asio::steady_timer timer(context, time);
    // The timer is of this function alone, so that nothing cancels it.
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace Trefoil
