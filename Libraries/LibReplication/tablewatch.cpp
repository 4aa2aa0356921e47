#include <LibReplication/tablewatch.h>

#include <LibCore/sleep.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace Trefoil
{

namespace
{

/// From the start of a call that failed first to the start of the next one, at most.
constexpr std::chrono::milliseconds s_firstRetry{150};
/// Hold of a call after a failure: the store answers at once, whether there are changes or not.
constexpr std::chrono::milliseconds s_probeHold{1};
/// How long the answers of a store that is slow, not gone, are awaited.
constexpr std::chrono::milliseconds s_patientAnswer{2000};

} // namespace

/// Full reads, or calls for changes after a failure, never both. Each is followed by the next one before a slow store would answer
/// it, so that neither a call that is lost nor a slow answer delays what the other tells.
struct TableWatch::OverlappingCalls
{
    explicit OverlappingCalls(boost::asio::io_context &context)
        : wait(context)
    {
    }

    /// Waits for a time, or less when a call is answered or the latest one fails.
    void waitFor(BootClock::duration time, const boost::asio::yield_context &yield)
    {
        if (answer) {
            return;
        }
        wait.expires_after(std::max(time, BootClock::duration(0)));
        boost::system::error_code cancelledByCall;
        wait.async_wait(yield[cancelledByCall]);
    }

    boost::asio::steady_timer wait;
    int latest = 0;
    /// The first answer; what the other calls tell is older.
    std::optional<FeedResult> answer;
    /// Set when the latest call has failed. Earlier ones, whose losses are noticed late, say nothing about the store's state now.
    std::optional<StoreFailure> failure;
};

TableWatch::TableWatch(
    boost::asio::io_context &context, FeedStore &store, FeedSharing &sharing, std::string table, const WatchPace &pace, TableWatchHandlers handlers)
    : m_context(context)
    , m_store(store)
    , m_sharing(sharing)
    , m_table(std::move(table))
    , m_pace(pace)
    , m_handlers(std::move(handlers))
    , m_overlapping(std::make_shared<OverlappingCalls>(context))
    , m_backoff(s_firstRetry, std::max(s_firstRetry, pace.longestRetry))
    , m_random(std::random_device{}())
{
    m_sharing.addTable(m_table, m_pace.publisher);
}

void TableWatch::run(const boost::asio::yield_context &yield)
{
    while (!m_context.stopped()) {
        const BootTime calledAt = BootClock::now();
        const bool succeeded = m_needsAll ? readAll(yield) : readChanges(yield);
        // The history that the store keeps may begin after the time that its full reads show.
        const bool isReadInVain = m_needsAll && m_isReadUncontinued;
        if (!succeeded || isReadInVain) {
            pause(calledAt, yield);
        }
    }
}

void TableWatch::pause(BootTime failedCall, const boost::asio::yield_context &yield)
{
    // A call that failed late has already waited; one that failed at once must not be repeated at once.
    m_overlapping->waitFor(failedCall + m_backoff.next(m_random) - BootClock::now(), yield);
}

void TableWatch::noteSuccess()
{
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
    const FeedResult result = awaitAnswer(yield);
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
    m_isReadUncontinued = true;
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

bool TableWatch::readFeed(std::chrono::milliseconds held, std::chrono::milliseconds batchPause, const boost::asio::yield_context &yield)
{
    if (!m_isReachable) {
        return probe(yield);
    }
    const BootTime calledAt = BootClock::now();
    const FeedResult result = m_store.awaitChanges(m_table, m_version, {held, m_pace.answerTime}, yield);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        noteFailure(failure->reason, calledAt, held);
        return false;
    }
    if (takeResult(result)) {
        sleepFor(m_context, batchPause, yield);
    }
    return true;
}

bool TableWatch::probe(const boost::asio::yield_context &yield)
{
    const BootTime calledAt = BootClock::now();
    const FeedResult result = awaitAnswer(yield);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        noteFailure(failure->reason, calledAt, s_probeHold);
        return false;
    }
    takeResult(result);
    return true;
}

FeedResult TableWatch::awaitAnswer(const boost::asio::yield_context &yield)
{
    if (!m_overlapping->answer) {
        startCall();
        if (!m_overlapping->failure) {
            m_overlapping->waitFor(m_pace.answerTime, yield);
        }
    }
    if (m_overlapping->answer) {
        const auto answered = std::exchange(m_overlapping, std::make_shared<OverlappingCalls>(m_context));
        return std::move(*answered->answer);
    }
    return m_overlapping->failure.value_or(StoreFailure{"no answer yet"});
}

void TableWatch::startCall()
{
    m_overlapping->failure.reset();
    boost::asio::spawn(m_context, [this, calls = m_overlapping, number = ++m_overlapping->latest](const boost::asio::yield_context &callYield) {
        FeedResult result = callOnce(callYield);
        const auto *failure = std::get_if<StoreFailure>(&result);
        if (calls->answer || (failure && number != calls->latest)) {
            return;
        }
        if (failure) {
            calls->failure = *failure;
        } else {
            calls->answer = std::move(result);
        }
        calls->wait.cancel();
    });
}

FeedResult TableWatch::callOnce(const boost::asio::yield_context &yield)
{
    if (!m_needsAll) {
        return m_store.awaitChanges(m_table, m_version, {s_probeHold, s_patientAnswer}, yield);
    }
    ReadResult read = m_store.readTable(m_table, s_patientAnswer, yield);
    if (auto *failure = std::get_if<StoreFailure>(&read)) {
        return std::move(*failure);
    }
    return std::move(std::get<FeedRows>(read));
}

bool TableWatch::takeResult(const FeedResult &result)
{
    const auto *read = std::get_if<FeedRows>(&result);
    if (!read) {
        m_needsAll = true;
        return false;
    }
    m_backoff.reset();
    m_isReadUncontinued = false;
    noteSuccess();
    // Another host may have told more since the call began.
    if (read->version < m_version) {
        return false;
    }
    take(*read);
    return !read->rows.empty();
}

bool TableWatch::follow(const HostId &publisher, const boost::asio::yield_context &yield)
{
    // An answer that comes meanwhile would later pass for one of that time.
    m_overlapping = std::make_shared<OverlappingCalls>(m_context);
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
