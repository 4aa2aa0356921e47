#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace Trefoil
{

/// Starts a stackful coroutine on a context. It stands in a source file of its own because the static analyser, when it sees
/// inside Asio's start of a coroutine, takes the handler that Asio frees later for a leak.
/// Precondition: the body keeps alive what it uses. Thread safety: safe from any thread.
void startCoroutine(boost::asio::io_context &context, std::function<void(const boost::asio::yield_context &yield)> body);

} // namespace Trefoil
