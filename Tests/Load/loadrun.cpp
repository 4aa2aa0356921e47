#include "loadrun.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <random>

namespace Trefoil::Load
{

namespace
{

namespace Http = boost::beast::http;
using SteadyClock = std::chrono::steady_clock;

/// Hosts tried for one request, each once.
constexpr std::size_t maximumAttempts = 4;
/// A host may answer this much after the deadline that it was given, for the way back.
constexpr std::chrono::milliseconds responseGrace{500};
constexpr std::chrono::milliseconds endPollInterval{10};

std::string header(const HttpResponse &response, const char *name)
{
    const auto position = response.find(name);
    return position == response.end() ? std::string() : std::string(position->value());
}

} // namespace

LoadRun::LoadRun(boost::asio::io_context &context, LoadPlan plan)
    : m_context(context)
    , m_plan(std::move(plan))
    , m_client(context)
    , m_lookups(m_client, m_plan.hosts)
{
}

void LoadRun::start()
{
    std::uint64_t number = 0;
    for (const auto &stream : m_plan.streams) {
        ++number;
        ++m_runningStreams;
        boost::asio::spawn(m_context, [this, &stream, number](const boost::asio::yield_context &yield) {
            runArrivals(stream, number, yield);
            --m_runningStreams;
        });
    }
}

void LoadRun::waitForEnd(const boost::asio::yield_context &yield) const
{
    boost::asio::steady_timer timer(m_context);
    while (m_runningStreams > 0 || m_inFlight > 0) {
        timer.expires_after(endPollInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

void LoadRun::stopArrivals()
{
    m_stopped = true;
}

const Outcomes &LoadRun::outcomes() const
{
    return m_outcomes;
}

void LoadRun::runArrivals(const Stream &stream, std::uint64_t streamNumber, const boost::asio::yield_context &yield)
{
    pcg64 random(m_plan.seed, streamNumber);
    std::exponential_distribution<double> gaps(stream.perSecond);
    const auto end = SteadyClock::now() + m_plan.duration;
    auto next = SteadyClock::now();
    boost::asio::steady_timer timer(m_context);
    for (std::uint64_t number = 1;; ++number) {
        next += std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(gaps(random)));
        if (next >= end || m_stopped) {
            return;
        }
        timer.expires_at(next);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        const std::string nonce = fmt::format("{}-{}-{:016x}", stream.name, number, static_cast<std::uint64_t>(random()));
        if (m_inFlight >= m_plan.maximumInFlight) {
            m_outcomes.record(stream.requestClass, CallerOutcome::NotSent, {}, {}, "too many requests in flight at the load tool");
            continue;
        }
        const std::string key = stream.isRepeatable ? std::string() : makeKey(nonce);
        // The latency counts from the planned arrival, so that a stalled load tool does not hide a stalled system.
        Request request{stream, nonce, key, next};
        ++m_inFlight;
        boost::asio::spawn(m_context, [this, request = std::move(request)](const boost::asio::yield_context &inner) { runRequest(request, inner); });
    }
}

void LoadRun::runRequest(const Request &request, const boost::asio::yield_context &yield)
{
    const Verdict verdict = attempts(request, yield);
    m_outcomes.record(request.stream.requestClass, verdict.outcome, SteadyClock::now() - request.start, request.key, verdict.detail);
    --m_inFlight;
}

LoadRun::Verdict LoadRun::attempts(const Request &request, const boost::asio::yield_context &yield)
{
    const auto &stream = request.stream;
    const auto lookup = m_lookups.find(stream.service, stream.client, stream.sourceAddress, yield);
    if (!lookup) {
        return {CallerOutcome::NotSent, "no look-up"};
    }
    Verdict verdict{CallerOutcome::NotSent, "no host in the look-up"};
    std::size_t attempt = 0;
    for (const auto &host : lookup->hosts) {
        const auto left = timeLeft(request);
        if (left.count() <= 0 || attempt >= maximumAttempts) {
            return verdict;
        }
        ++attempt;
        if (attempt > 1) {
            m_outcomes.recordRetries(stream.requestClass, 1);
        }
        const auto result = m_client.exchange(host, stream.sourceAddress, httpRequest(request, host), left + responseGrace, yield);
        if (const auto *response = std::get_if<HttpResponse>(&result)) {
            return judge(request, *response);
        }
        if (const auto *notSent = std::get_if<NotSent>(&result)) {
            verdict.detail = notSent->reason;
            continue;
        }
        // Trying again is right for both kinds: the key keeps a non-repeatable request from running twice.
        verdict = {CallerOutcome::Lost, std::get<NoResponse>(result).reason};
    }
    return verdict;
}

HttpRequest LoadRun::httpRequest(const Request &request, const std::string &host) const
{
    const auto &stream = request.stream;
    HttpRequest message(Http::verb::post, fmt::format("/v1/requests/{}/{}/{}", stream.service, stream.path, request.nonce), 11);
    message.set(Http::field::host, host);
    message.set(Http::field::content_type, "application/json");
    message.set("Trefoil-Tenant", stream.tenant);
    message.set("Trefoil-Class", stream.requestClass);
    message.set("Trefoil-Client", stream.client);
    message.set("Trefoil-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, timeLeft(request).count())));
    message.set("Trefoil-May-Wait", stream.mayWait ? "yes" : "no");
    message.set("Trefoil-Repeat", stream.isRepeatable ? "safe" : "never");
    if (!request.key.empty()) {
        message.set("Idempotency-Key", request.key);
    }
    message.body() = fmt::format("{{\"fill\":\"{}\"}}", std::string(stream.bodyBytes, 'x'));
    message.prepare_payload();
    return message;
}

std::string LoadRun::makeKey(const std::string &nonce)
{
    // A key carries its creation time, by which the system refuses keys older than 24 h.
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return fmt::format("{}-{}", std::chrono::duration_cast<std::chrono::seconds>(now).count(), nonce);
}

LoadRun::Verdict LoadRun::judge(const Request &request, const HttpResponse &response)
{
    const std::string outcome = header(response, "Trefoil-Outcome");
    const std::string reason = fmt::format("{} {}", response.result_int(), header(response, "Trefoil-Reason"));
    if (outcome == "not-run") {
        return {CallerOutcome::NotRun, reason};
    }
    if (outcome == "unknown") {
        return {CallerOutcome::Unknown, reason};
    }
    if (outcome != "answered") {
        return {CallerOutcome::Wrong, fmt::format("{} with Trefoil-Outcome \"{}\"", reason, outcome)};
    }
    if (response.body().find(request.nonce) == std::string::npos) {
        return {CallerOutcome::Wrong, fmt::format("{} with the body of another request", reason)};
    }
    return {CallerOutcome::Answered, {}};
}

std::chrono::milliseconds LoadRun::timeLeft(const Request &request)
{
    const auto deadline = request.start + request.stream.deadline;
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock::now());
}

} // namespace Trefoil::Load
