#pragma once

#include <LibHttp/jsonclient.h>
#include <LibStore/requestrate.h>
#include <LibStore/storetypes.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <pcg_random.hpp>
#include <string>

namespace Trefoil
{

struct StoreSettings
{
    /// IP:port of the service.
    std::string address;
    /// Local IP of the connections; empty leaves the choice to the system.
    std::string sourceAddress{};
    /// Most writes and reads that this host sends in a second, retries included. The store as a whole takes several
    /// hundred writes and about 2,000 reads a second.
    double writesPerSecond = 20;
    double readsPerSecond = 40;
    /// One attempt gives up after this time, so that a silent connection does not use up the whole deadline.
    BootClock::duration attemptTimeout = std::chrono::milliseconds(1000);
};

enum class StoreAccess {
    Read,
    Write,
};

/// Decides when the next attempt of a request starts: exponential back-off with jitter.
/// Thread safety: one thread at a time.
class RetryDelay
{
public:
    explicit RetryDelay(pcg32 &random);

    /// Delay before the next attempt: between half and all of 20 ms, 40 ms, 80 ms and so on up to 500 ms.
    BootClock::duration next();

private:
    pcg32 &m_random;
    BootClock::duration m_ceiling = std::chrono::milliseconds(20);
};

/// One service of the platform: sends single attempts at a bounded rate.
/// Thread safety: one thread at a time, the one that runs the io_context.
class StoreConnection
{
public:
    /// Precondition: context outlives the connection.
    StoreConnection(boost::asio::io_context &context, const StoreSettings &settings);

    /// Sends one attempt when the rate allows it. Answers that name a passing refusal (429, 503) become RequestNotSent.
    JsonResult attempt(const JsonRequest &request, StoreAccess access, BootTime deadline, const boost::asio::yield_context &yield);

    /// Waits before a further attempt; false when the deadline comes first.
    bool pause(RetryDelay &delay, BootTime deadline, const boost::asio::yield_context &yield);

    /// Repeats a request without lasting effect until it is answered or the deadline comes.
    std::variant<JsonResponse, Unavailable> requestRepeatedly(
        const JsonRequest &request, StoreAccess access, BootTime deadline, const boost::asio::yield_context &yield);

    pcg32 &random()
    {
        return m_random;
    }
    const JsonClient &client() const
    {
        return m_client;
    }

private:
    bool sleepUntil(BootTime time, BootTime deadline, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    StoreSettings m_settings;
    JsonClient m_client;
    RequestRate m_writes;
    RequestRate m_reads;
    pcg32 m_random;
};

} // namespace Trefoil
