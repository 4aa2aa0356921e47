#include <LibReplication/tablewatch.h>

#include <LibCore/sleep.h>
#include <LibTelemetry/log.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Longest pause after a first and after further failures. Changes must be in force within two seconds of the store's return, at
/// least for tables whose changes don't wait for longer anyway; all hosts call the store again and again while it is down.
constexpr std::chrono::milliseconds s_firstPause{150};
constexpr std::chrono::milliseconds s_longestPause{1200};

} // namespace

TableWatch::TableWatch(
    boost::asio::io_context &context, FeedStore &store, FeedSharing &sharing, std::string table, const WatchPace &pace, TableWatchHandlers handlers)
    : m_context(context)
    , m_store(store)
    , m_sharing(sharing)
    , m_table(std::move(table))
    , m_pace(pace)
    , m_handlers(std::move(handlers))
    , m_backoff(s_firstPause, std::max(s_longestPause, pace.batchPause))
    , m_random(std::random_device{}())
{
    m_sharing.addTable(m_table, m_pace.publisher);
}

void TableWatch::run(const boost::asio::yield_context &yield)
{
    while (!m_context.stopped()) {
        const bool succeeded = m_needsAll ? readAll(yield) : readChanges(yield);
        if (!succeeded) {
            pause(yield);
        }
    }
}

void TableWatch::pause(const boost::asio::yield_context &yield)
{
    sleepFor(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(m_backoff.next(m_random)), yield);
}

void TableWatch::noteSuccess()
{
    m_backoff.reset();
    m_confirmedAt = BootClock::now();
    m_sharing.server().confirm(m_table, m_confirmedAt);
    if (!m_isReachable) {
        m_isReachable = true;
        m_handlers.reachability(true, "");
    }
}

void TableWatch::noteFailure(const std::string &reason, BootTime calledAt, std::chrono::milliseconds wait)
{
    writeLog(LogLevel::Info,
        "feed-call-failed",
        {{"table", m_table},
            {"reason", reason},
            {"waitMs", std::int64_t{wait.count()}},
            {"elapsedMs", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - calledAt).count()}},
            {"knownVersion", static_cast<std::int64_t>(m_version)}});
    if (m_isReachable) {
        m_isReachable = false;
        m_handlers.reachability(false, reason);
    }
}

bool TableWatch::readAll(const boost::asio::yield_context &yield)
{
    const BootTime calledAt = BootClock::now();
    const ReadResult result = m_store.readTable(m_table, yield);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        noteFailure(failure->reason, calledAt, {});
        return false;
    }
    const auto &read = std::get<FeedRows>(result);
    if (read.version < m_version) {
        noteFailure("the answer is older than what is known", calledAt, {});
        return false;
    }
    noteSuccess();
    m_handlers.replace(read.rows);
    m_version = read.version;
    m_sharing.server().reset(m_table, m_version);
    m_needsAll = false;
    return true;
}

bool TableWatch::readChanges(const boost::asio::yield_context &yield)
{
    struct Reader
    {
        TableWatch &watch;
        const boost::asio::yield_context &yield;

        bool operator()(const ReadsForOthers & /*role*/) const
        {
            return watch.readFeed(watch.m_pace.publisher.wait, watch.m_pace.publisher.batchPause, yield);
        }
        bool operator()(const ReadsForItself & /*role*/) const
        {
            return watch.readFeed(watch.m_pace.longestWait, watch.m_pace.batchPause, yield);
        }
        bool operator()(const Subscribes &role) const
        {
            return watch.follow(role.publisher, yield);
        }
    };
    return std::visit(Reader{*this, yield}, m_sharing.role(BootClock::now()));
}

bool TableWatch::readFeed(std::chrono::milliseconds wait, std::chrono::milliseconds batchPause, const boost::asio::yield_context &yield)
{
    const BootTime calledAt = BootClock::now();
    const FeedResult result = m_store.awaitChanges(m_table, m_version, wait, yield);
    if (std::holds_alternative<HistoryLost>(result)) {
        m_needsAll = true;
        return true;
    }
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        noteFailure(failure->reason, calledAt, wait);
        return false;
    }
    const auto &read = std::get<FeedRows>(result);
    noteSuccess();
    take(read);
    if (!read.rows.empty()) {
        sleepFor(m_context, batchPause, yield);
    }
    return true;
}

bool TableWatch::follow(const HostId &publisher, const boost::asio::yield_context &yield)
{
    if (const auto changes = m_sharing.awaitChanges(publisher, m_table, m_version, yield)) {
        m_confirmedAt = BootClock::now();
        take(*changes);
    }
    // Without changes the next call goes to another publisher or to the store, at once.
    return true;
}

void TableWatch::take(const FeedRows &changes)
{
    m_version = std::max(m_version, changes.version);
    m_sharing.server().append(m_table, changes, BootClock::now());
    if (!changes.rows.empty()) {
        m_handlers.change(changes.rows);
    }
}

} // namespace Trefoil
