#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace Trefoil
{

/// Starts a stackful coroutine on a context. Defined in a separate source file, because the static analyser otherwise reports the
/// handler that Asio frees later as a leak.
/// Precondition: the body keeps the objects that it uses alive. Thread safety: safe from any thread.
void startCoroutine(boost::asio::io_context &context, std::function<void(const boost::asio::yield_context &yield)> body);

} // namespace Trefoil
