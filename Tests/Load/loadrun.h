#pragma once

#include "loadplan.h"
#include "lookupcache.h"
#include "outcomes.h"

#include <pcg_random.hpp>

namespace Trefoil::Load
{

/// Sends the requests of a plan and checks their responses.
/// Thread safety: the thread that runs the io_context.
class LoadRun
{
public:
    /// Precondition: context outlives the run.
    LoadRun(boost::asio::io_context &context, LoadPlan plan);

    /// Starts all streams; the context runs until the last response or deadline.
    void start();

    /// Returns when all streams have ended and no request is in flight. Precondition: start() was called.
    void waitForEnd(const boost::asio::yield_context &yield) const;

    /// Ends the arrivals; requests in flight still end by themselves.
    void stopArrivals();

    const Outcomes &outcomes() const;

private:
    struct Request
    {
        const Stream &stream;
        /// Drawn for each request and sent as the last part of its path, which the upstream returns in its body.
        std::string nonce;
        std::string key;
        std::chrono::steady_clock::time_point start;
    };
    struct Verdict
    {
        CallerOutcome outcome;
        std::string detail;
    };

    void runArrivals(const Stream &stream, std::uint64_t streamNumber, const boost::asio::yield_context &yield);
    void runRequest(const Request &request, const boost::asio::yield_context &yield);
    Verdict attempts(const Request &request, const boost::asio::yield_context &yield);
    HttpRequest httpRequest(const Request &request, const std::string &host) const;
    static std::string makeKey(const std::string &nonce);
    static Verdict judge(const Request &request, const HttpResponse &response);
    static std::chrono::milliseconds timeLeft(const Request &request);

    boost::asio::io_context &m_context;
    LoadPlan m_plan;
    CallerClient m_client;
    LookupCache m_lookups;
    Outcomes m_outcomes;
    std::size_t m_inFlight = 0;
    std::size_t m_runningStreams = 0;
    bool m_stopped = false;
};

} // namespace Trefoil::Load
