#include <LibStore/storeconnection.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace Trefoil
{

namespace
{

constexpr BootClock::duration s_longestDelay = std::chrono::milliseconds(500);
constexpr int s_tooManyRequests = 429;
constexpr int s_serviceUnavailable = 503;

} // namespace

RetryDelay::RetryDelay(pcg32 &random)
    : m_random(random)
{
}

BootClock::duration RetryDelay::next()
{
    const auto ceiling = m_ceiling;
    m_ceiling = std::min(m_ceiling * 2, s_longestDelay);
    std::uniform_int_distribution<BootClock::rep> distribution(ceiling.count() / 2, ceiling.count());
    return BootClock::duration(distribution(m_random));
}

StoreConnection::StoreConnection(boost::asio::io_context &context, const StoreSettings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_client(context, {settings.address, settings.sourceAddress})
    , m_writes(settings.writesPerSecond)
    , m_reads(settings.readsPerSecond)
    , m_random(pcg_extras::seed_seq_from<std::random_device>())
{
}

bool StoreConnection::sleepUntil(BootTime time, BootTime deadline, const boost::asio::yield_context &yield)
{
    if (time >= deadline) {
        return false;
    }
    const auto now = BootClock::now();
    if (time <= now) {
        return true;
    }
    boost::asio::steady_timer timer(m_context, time - now);
    boost::system::error_code error;
    timer.async_wait(yield[error]);
    return !error;
}

bool StoreConnection::pause(RetryDelay &delay, BootTime deadline, const boost::asio::yield_context &yield)
{
    return sleepUntil(BootClock::now() + delay.next(), deadline, yield);
}

JsonResult StoreConnection::attempt(const JsonRequest &request, StoreAccess access, BootTime deadline, const boost::asio::yield_context &yield)
{
    RequestRate &rate = access == StoreAccess::Write ? m_writes : m_reads;
    if (rate.next(BootClock::now()) >= deadline) {
        return RequestNotSent{"this host's rate of store requests is used up"};
    }
    if (!sleepUntil(rate.reserve(BootClock::now()), deadline, yield)) {
        return RequestNotSent{"the deadline has passed"};
    }
    JsonResult result = m_client.request(request, std::min(deadline, BootClock::now() + m_settings.attemptTimeout), yield);
    const auto *response = std::get_if<JsonResponse>(&result);
    if (response != nullptr && (response->status == s_tooManyRequests || response->status == s_serviceUnavailable)) {
        return RequestNotSent{"the service refuses requests for now"};
    }
    return result;
}

std::variant<JsonResponse, Unavailable> StoreConnection::requestRepeatedly(
    const JsonRequest &request, StoreAccess access, BootTime deadline, const boost::asio::yield_context &yield)
{
    RetryDelay delay(m_random);
    std::string reason;
    do {
        auto result = attempt(request, access, deadline, yield);
        if (auto *response = std::get_if<JsonResponse>(&result)) {
            return std::move(*response);
        }
        const auto *notSent = std::get_if<RequestNotSent>(&result);
        reason = notSent != nullptr ? notSent->reason : std::get<RequestAmbiguous>(result).reason;
    } while (pause(delay, deadline, yield));
    return Unavailable{reason};
}

} // namespace Trefoil
