#include <LibReplication/feedsharing.h>

#include <LibTelemetry/log.h>

namespace Trefoil
{

namespace
{

/// A feeder that gave no answer isn't asked again for this long. Beacons tell by then whether it lives.
constexpr std::chrono::milliseconds s_silentFeederPause{5000};
/// The same for one that refused: it may have become a feeder just now.
constexpr std::chrono::milliseconds s_refusingFeederPause{1000};

} // namespace

FeedSharing::FeedSharing(boost::asio::io_context &context, FeederChoiceSettings choice, PeerFeed::Send send, LiveHosts liveHosts)
    : m_choice(std::move(choice))
    , m_feed(context, send)
    , m_server([send](const HostId &to, const ChangesSince &answer) { send(to, answer); })
    , m_liveHosts(std::move(liveHosts))
{
}

void FeedSharing::addTable(const std::string &table, const FeederPace &pace)
{
    m_paces.insert_or_assign(table, pace);
    m_server.addTable(table, pace.batchPause + pace.wait + pace.margin);
}

std::optional<FeedRows> FeedSharing::awaitChanges(const HostId &feeder, const std::string &table, FeedVersion after, const boost::asio::yield_context &yield)
{
    const FeederPace &pace = m_paces.at(table);
    PeerFeedResult result = m_feed.awaitChanges(feeder, table, after, pace.wait, pace.margin, yield);
    if (auto *changes = std::get_if<FeedRows>(&result)) {
        return std::move(*changes);
    }
    const bool isSilent = std::holds_alternative<FeederSilent>(result);
    m_choice.distrust(feeder, BootClock::now() + (isSilent ? s_silentFeederPause : s_refusingFeederPause));
    writeLog(LogLevel::Info,
        "feeder-left",
        {{"feeder", feeder.value()}, {"table", table}, {"knownVersion", static_cast<std::int64_t>(after)}, {"isSilent", isSilent}});
    return std::nullopt;
}

void FeedSharing::receive(const HostId &from, const PeerMessage &message, BootTime now)
{
    if (const auto *request = std::get_if<AwaitChanges>(&message)) {
        m_server.request(from, *request, now);
    } else if (const auto *answer = std::get_if<ChangesSince>(&message)) {
        m_feed.receive(from, *answer);
    }
}

} // namespace Trefoil
