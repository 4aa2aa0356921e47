#include "loadrun.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using Trefoil::Load::CallerOutcome;
using Trefoil::Load::HttpRequest;
using Trefoil::Load::HttpResponse;

namespace
{

namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

enum class Behaviour {
    Echo,
    EchoOther,
    NoOutcome,
    NotRun,
    Unknown,
    Truncate,
    Silent,
};

/// Answers look-ups with its own address and requests in one fixed way.
class FixedHost
{
public:
    FixedHost(boost::asio::io_context &context, Behaviour behaviour)
        : m_context(context)
        , m_acceptor(context, Tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0))
        , m_behaviour(behaviour)
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int lookups() const
    {
        return m_lookups;
    }

    void close()
    {
        m_acceptor.close();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
            if (error) {
                return;
            }
            auto shared = std::make_shared<Tcp::socket>(std::move(socket));
            boost::asio::spawn(m_context, [this, shared](const boost::asio::yield_context &yield) { serve(*shared, yield); });
            accept();
        });
    }

    void serve(Tcp::socket &socket, const boost::asio::yield_context &yield)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        while (true) {
            Http::request_parser<Http::string_body> parser;
            Http::async_read(socket, buffer, parser, yield[error]);
            if (error) {
                return;
            }
            const bool isLookup = parser.get().target().find("/v1/lookup") == 0;
            if (!isLookup && m_behaviour == Behaviour::Silent) {
                continue;
            }
            const HttpResponse response = isLookup ? lookup() : answer(parser.get());
            if (!isLookup && m_behaviour == Behaviour::Truncate) {
                const std::string part = "HTTP/1.1 200 OK\r\nTrefoil-Outcome: answered\r\nContent-Length: 100\r\n\r\nstart";
                boost::asio::async_write(socket, boost::asio::buffer(part), yield[error]);
                return;
            }
            Http::async_write(socket, response, yield[error]);
        }
    }

    HttpResponse lookup()
    {
        ++m_lookups;
        HttpResponse response(Http::status::ok, 11);
        response.body() = R"({"hosts": [{"address": ")" + address() + R"("}], "lifetimeMs": 5000})";
        response.prepare_payload();
        return response;
    }

    HttpResponse answer(const HttpRequest &request) const
    {
        HttpResponse response(Http::status::ok, 11);
        response.body() = m_behaviour == Behaviour::EchoOther ? "browse-1-0123456789abcdef" : std::string(request.target());
        if (m_behaviour == Behaviour::NotRun || m_behaviour == Behaviour::Unknown) {
            response.set("Trefoil-Outcome", m_behaviour == Behaviour::NotRun ? "not-run" : "unknown");
        } else if (m_behaviour != Behaviour::NoOutcome) {
            response.set("Trefoil-Outcome", "answered");
        }
        response.prepare_payload();
        return response;
    }

    boost::asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Behaviour m_behaviour;
    int m_lookups = 0;
};

struct OutcomeCase
{
    Behaviour behaviour;
    CallerOutcome expected;
};

} // namespace

// Guards against a load tool that takes a lost, mixed-up or contradictory response for a good one.
ParameterizedTestParameters(LoadRun, outcomes)
{
    static OutcomeCase cases[] = {
        {Behaviour::Echo, CallerOutcome::Answered},
        {Behaviour::EchoOther, CallerOutcome::Wrong},
        {Behaviour::NoOutcome, CallerOutcome::Wrong},
        {Behaviour::NotRun, CallerOutcome::NotRun},
        {Behaviour::Unknown, CallerOutcome::Unknown},
        {Behaviour::Truncate, CallerOutcome::Lost},
        {Behaviour::Silent, CallerOutcome::Lost},
    };
    return cr_make_param_array(OutcomeCase, cases, std::size(cases));
}

ParameterizedTest(OutcomeCase *testCase, LoadRun, outcomes, .timeout = 30)
{
    boost::asio::io_context context(1);
    FixedHost host(context, testCase->behaviour);
    Trefoil::Load::LoadPlan plan;
    plan.duration = std::chrono::milliseconds(300);
    plan.hosts = {host.address()};
    Trefoil::Load::Stream stream;
    stream.name = "browse";
    stream.service = "catalogue-svc";
    stream.perSecond = 100;
    stream.deadline = std::chrono::milliseconds(100);
    stream.client = "198.51.100.7";
    plan.streams = {stream};
    Trefoil::Load::LoadRun run(context, plan);
    run.start();
    boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) {
        run.waitForEnd(yield);
        host.close();
        context.stop();
    });
    context.run();
    const auto report = run.outcomes().toJson();
    std::uint64_t all = 0;
    for (const auto &total : report["totals"]) {
        all += total.get<std::uint64_t>();
    }
    cr_assert_gt(all, 10);
    cr_assert_eq(run.outcomes().count(testCase->expected), all, "%s", report.dump(1).c_str());
    // Every response is asked for under one look-up, which is valid for longer than the run. The first requests ask at once.
    cr_assert_leq(host.lookups(), 3);
}
