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
/// How often a starting host looks again for hosts that it can copy from.
constexpr std::chrono::milliseconds s_startPollInterval{20};
/// How long a copy may take: a megabyte over a link of 20 Mbit/s that several hosts share.
constexpr std::chrono::milliseconds s_copyTimeout{1000};
/// Time after the rows of the hosts were read in which live hosts reply to beacons, also when a first request is lost.
constexpr std::chrono::milliseconds s_roleSettlingTime{1000};
/// Share of the registered hosts of a zone whose beacons suffice to know the role of this one.
constexpr double s_settledShare = 0.75;

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

std::optional<FeedRows> FeedSharing::awaitChanges(
    const HostId &publisher, const std::string &table, const StorePosition &after, BootTime confirmedAt, const boost::asio::yield_context &yield)
{
    const PublisherTiming &timing = m_timings.at(table);
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - confirmedAt);
    // A copy that is too old may still be renewed by a publisher that answers at once.
    const auto wait = subscriptionWait(age, timing).value_or(std::chrono::milliseconds(0));
    PeerFeedResult result = m_feed.awaitChanges(publisher, table, after, wait, timing.responseMargin, yield);
    auto *changes = std::get_if<FeedRows>(&result);
    if (changes && changes->era >= era()) {
        return std::move(*changes);
    }
    const auto *rejected = std::get_if<PublisherRejected>(&result);
    if (rejected && rejected->era > after.era) {
        return std::nullopt;
    }
    const bool isUnresponsive = std::holds_alternative<PublisherUnresponsive>(result);
    m_choice.exclude(publisher, BootClock::now() + (isUnresponsive ? s_unresponsivePublisherExclusionTime : s_rejectingPublisherExclusionTime));
    writeLog(LogLevel::Info,
        "publisher-left",
        {{"publisher", publisher.value()}, {"table", table}, {"knownVersion", static_cast<std::int64_t>(after.version)}, {"isSilent", isUnresponsive}});
    return std::nullopt;
}

void FeedSharing::shareStarts(std::set<std::string> tables, Knowledge knowledge)
{
    m_sharedStarts = std::move(tables);
    m_knowledge = std::move(knowledge);
}

std::variant<ReadFromStore, CopyFrom> FeedSharing::awaitStartSource(const std::string &table, const boost::asio::yield_context &yield)
{
    while (m_sharedStarts.count(table) > 0 && !m_context.stopped()) {
        StartKnowledge knowledge = m_knowledge(BootClock::now());
        knowledge.failed = m_failedStartSources;
        const StartSource source = startSource(knowledge, m_choice.settings());
        if (const auto *copy = std::get_if<CopyFrom>(&source)) {
            return *copy;
        }
        if (std::holds_alternative<ReadFromStore>(source)) {
            return ReadFromStore{};
        }
        sleepFor(m_context, s_startPollInterval, yield);
    }
    return ReadFromStore{};
}

std::optional<FeedRows> FeedSharing::copyTable(const HostId &host, const std::string &table, const boost::asio::yield_context &yield)
{
    const BootTime start = BootClock::now();
    PeerFeedResult result = m_feed.awaitChanges(host, table, StorePosition{era(), 0}, std::chrono::milliseconds(0), s_copyTimeout, yield);
    auto *rows = std::get_if<FeedRows>(&result);
    const bool isCopied = rows && rows->era >= era() && (rows->isWholeTable || !rows->rows.empty());
    writeLog(LogLevel::Info,
        isCopied ? "table-copied" : "table-not-copied",
        {{"table", table},
            {"from", host.value()},
            {"rows", static_cast<std::int64_t>(isCopied ? rows->rows.size() : 0)},
            {"elapsedMs", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start).count()}}});
    if (!isCopied) {
        m_failedStartSources.insert(host);
        return std::nullopt;
    }
    return std::move(*rows);
}

std::optional<FeedRows> FeedSharing::copyEra(const HostId &publisher, const std::string &table, const boost::asio::yield_context &yield)
{
    auto copy = copyTable(publisher, table, yield);
    if (!copy) {
        m_choice.exclude(publisher, BootClock::now() + s_rejectingPublisherExclusionTime);
    }
    return copy;
}

void FeedSharing::recordEra(StoreEra stated)
{
    if (m_era && stated <= *m_era) {
        return;
    }
    if (stated != StoreEra()) {
        writeLog(m_era ? LogLevel::Warning : LogLevel::Info,
            m_era ? "store-era-raised" : "store-era-known",
            {{"era", static_cast<std::int64_t>(stated.value())}, {"earlierEra", static_cast<std::int64_t>(era().value())}});
    }
    m_era = stated;
}

void FeedSharing::awaitRole(const boost::asio::yield_context &yield)
{
    while (m_knowledge && !m_context.stopped()) {
        const StartKnowledge knowledge = m_knowledge(BootClock::now());
        const bool isSettled = knowledge.sinceHostsKnown ? *knowledge.sinceHostsKnown >= s_roleSettlingTime : knowledge.sinceStart >= s_copyTimeout;
        const bool isSmallZone = knowledge.sinceHostsKnown && knowledge.registeredHosts < m_choice.settings().minimumZoneSize;
        const bool isMostlyKnown = static_cast<double>(knowledge.ready.size() + 1) >= s_settledShare * static_cast<double>(knowledge.registeredHosts);
        if (isSettled || isSmallZone || isMostlyKnown) {
            return;
        }
        sleepFor(m_context, s_startPollInterval, yield);
    }
}

void FeedSharing::receive(const HostId &from, const PeerMessage &message, BootTime now)
{
    // A host that knows no era yet, or doesn't know the field, states 0; this says nothing of the store.
    const auto recordStated = [this](StoreEra stated) {
        if (stated != StoreEra()) {
            recordEra(stated);
        }
    };
    if (const auto *request = std::get_if<AwaitChanges>(&message)) {
        recordStated(request->era);
        m_server.request(from, *request, now);
    } else if (const auto *response = std::get_if<ChangesSince>(&message)) {
        recordStated(response->era);
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
