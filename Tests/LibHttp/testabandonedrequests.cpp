#include "coroutine.h"
#include <LibHttp/connectionpool.h>
#include <LibHttp/jsonclient.h>
#include <StandIns/upstream.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// A link that is cut in the middle of a connection: it holds the bytes of the caller, and hands them on once it is healed, unless the
/// caller has reset the connection.
class CutLink
{
public:
    CutLink(asio::io_context &context, const std::string &target)
        : m_context(context)
        , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_target(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoi(target.substr(target.find(':') + 1))))
    {
        asio::spawn(context, [this](const asio::yield_context &yield) { run(yield); });
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    void heal()
    {
        m_isHealed = true;
    }

private:
    void run(const asio::yield_context &yield)
    {
        tcp::socket caller(m_context);
        boost::system::error_code error;
        m_acceptor.async_accept(caller, yield[error]);
        std::string held;
        std::array<char, 4096> bytes{};
        while (!error) {
            held.append(bytes.data(), caller.async_read_some(asio::buffer(bytes), yield[error]));
        }
        asio::steady_timer timer(m_context);
        while (!m_isHealed) {
            timer.expires_after(5ms);
            timer.async_wait(yield);
        }
        if (error != asio::error::eof) {
            return;
        }
        tcp::socket upstream(m_context);
        upstream.async_connect(m_target, yield[error]);
        asio::async_write(upstream, asio::buffer(held), yield[error]);
        timer.expires_after(200ms);
        timer.async_wait(yield);
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    bool m_isHealed = false;
};

enum class Abandonment {
    CallerLeft,
    DeadlinePassed,
    UpstreamStalled,
    StoreTimedOut,
};

struct AbandonmentCase
{
    char name[32];
    Abandonment abandonment;
};

void callUpstream(asio::io_context &context, const std::string &address, Abandonment abandonment, const asio::yield_context &yield)
{
    ConnectionPool pool(context, {});
    Cancellation cancellation;
    asio::steady_timer leaving(context, 30ms);
    CallOptions options;
    options.requestId = "first";
    options.deadline = BootClock::now() + (abandonment == Abandonment::DeadlinePassed ? 30ms : 3000ms);
    options.progressTimeout = abandonment == Abandonment::UpstreamStalled ? 30ms : 4000ms;
    options.cancellation = &cancellation;
    if (abandonment == Abandonment::CallerLeft) {
        leaving.async_wait([&cancellation](const boost::system::error_code &) { cancellation.request(); });
    }
    HttpRequest request{"POST", "/order", {}, "two casts"};
    request.headers.add("Trefoil-Request-Id", "first");
    const CallResult result = pool.call(address, nullptr, request, options, yield);
    cr_assert(std::holds_alternative<CallFailure>(result));
}

void callStore(asio::io_context &context, const std::string &address, const asio::yield_context &yield)
{
    JsonClientSettings settings;
    settings.address = address;
    JsonClient client(context, settings);
    const JsonResult result = client.request({"POST", "/order", "{}"}, BootClock::now() + 30ms, yield);
    cr_assert(std::holds_alternative<RequestAmbiguous>(result));
}

} // namespace

// Guards against a request that was given up during a cut and arrives when the link is healed: it would run for nobody, perhaps in a zone
// that was evacuated or at an upstream that left meanwhile.
ParameterizedTestParameters(AbandonedRequests, nothingArrivesAfterTheCut)
{
    static AbandonmentCase cases[] = {
        {"the caller left", Abandonment::CallerLeft},
        {"the deadline passed", Abandonment::DeadlinePassed},
        {"the upstream stalled", Abandonment::UpstreamStalled},
        {"the store timed out", Abandonment::StoreTimedOut},
    };
    return cr_make_param_array(AbandonmentCase, cases, std::size(cases));
}

ParameterizedTest(AbandonmentCase *testCase, AbandonedRequests, nothingArrivesAfterTheCut)
{
    asio::io_context context{1};
    const auto upstream = std::move(UpstreamStandIn::create(context, {}).value());
    CutLink link(context, upstream->address());
    runCoroutine(context, [&](const asio::yield_context &yield) {
        if (testCase->abandonment == Abandonment::StoreTimedOut) {
            callStore(context, link.address(), yield);
        } else {
            callUpstream(context, link.address(), testCase->abandonment, yield);
        }
        link.heal();
        asio::steady_timer timer(context, 150ms);
        timer.async_wait(yield);
    });
    cr_assert_eq(upstream->counts().begun, 0, "%s", testCase->name);
}
