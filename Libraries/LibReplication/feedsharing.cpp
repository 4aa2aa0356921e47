#include <LibReplication/feedsharing.h>

#include <LibCore/sleep.h>
#include <LibTelemetry/log.h>

namespace Trefoil
{

namespace
{

/// An unresponsive publisher is excluded for this long; by then its beacons show whether it is alive.
constexpr std::chrono::milliseconds s_unresponsivePublisherExclusionTime{5000};
/// A publisher that rejected a request is excluded for this long; it may just have become a publisher.
constexpr std::chrono::milliseconds s_rejectingPublisherExclusionTime{1000};
/// How often pending requests are checked for an expired wait or a lost store, and how often while none is pending.
constexpr std::chrono::milliseconds s_pendingRequestPollInterval{50};
constexpr std::chrono::milliseconds s_idlePollInterval{500};

} // namespace

FeedSharing::FeedSharing(boost::asio::io_context &context, PublisherChoiceSettings choice, const PeerFeed::Send &send, LiveHosts liveHosts)
    : m_context(context)
    , m_choice(std::move(choice))
    , m_feed(context, send)
    , m_server([send](const HostId &to, const ChangesSince &response) { send(to, response); })
    , m_liveHosts(std::move(liveHosts))
{
}

void FeedSharing::addTable(const std::string &table, const PublisherTiming &timing)
{
    m_timings.insert_or_assign(table, timing);
    m_server.addTable(table, timing.batchDelay + timing.holdTime + timing.responseMargin);
}

std::optional<FeedRows> FeedSharing::awaitChanges(const HostId &publisher, const std::string &table, FeedVersion after, const boost::asio::yield_context &yield)
{
    const PublisherTiming &timing = m_timings.at(table);
    PeerFeedResult result = m_feed.awaitChanges(publisher, table, after, timing.holdTime, timing.responseMargin, yield);
    if (auto *changes = std::get_if<FeedRows>(&result)) {
        return std::move(*changes);
    }
    const bool isUnresponsive = std::holds_alternative<PublisherUnresponsive>(result);
    m_choice.exclude(publisher, BootClock::now() + (isUnresponsive ? s_unresponsivePublisherExclusionTime : s_rejectingPublisherExclusionTime));
    writeLog(LogLevel::Info,
        "publisher-left",
        {{"publisher", publisher.value()}, {"table", table}, {"knownVersion", static_cast<std::int64_t>(after)}, {"isSilent", isUnresponsive}});
    return std::nullopt;
}

void FeedSharing::receive(const HostId &from, const PeerMessage &message, BootTime now)
{
    if (const auto *request = std::get_if<AwaitChanges>(&message)) {
        m_server.request(from, *request, now);
    } else if (const auto *response = std::get_if<ChangesSince>(&message)) {
        m_feed.receive(from, *response);
    }
}

void FeedSharing::serveSubscribers(const boost::asio::yield_context &yield)
{
    while (!m_context.stopped()) {
        m_server.respondToDueRequests(BootClock::now());
        sleepFor(m_context, m_server.hasPendingRequests() ? s_pendingRequestPollInterval : s_idlePollInterval, yield);
    }
}

} // namespace Trefoil
