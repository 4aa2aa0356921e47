#include <Services/trefoilmountd/coroutine.h>

#include <utility>

namespace Trefoil
{

void startCoroutine(boost::asio::io_context &context, std::function<void(const boost::asio::yield_context &yield)> body)
{
    boost::asio::spawn(context, [body = std::move(body)](const boost::asio::yield_context &yield) { body(yield); });
}

} // namespace Trefoil
