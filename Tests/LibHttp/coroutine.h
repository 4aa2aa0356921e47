#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace Trefoil
{

/// Runs function as a coroutine of context and returns at its end; whatever else the context has to do runs meanwhile.
template<typename Function>
void runCoroutine(boost::asio::io_context &context, Function function)
{
    boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) {
        function(yield);
        context.stop();
    });
    context.restart();
    context.run();
}

} // namespace Trefoil
