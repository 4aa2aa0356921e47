#include <LibReplication/tablewatch.h>

#include <LibCore/sleep.h>
#include <LibTelemetry/log.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Trefoil
{

namespace
{

/// Upper bound from the start of the first failed call to the start of the next one.
constexpr std::chrono::milliseconds s_initialRetryInterval{150};
/// Hold time of a probe: the store responds at once, whether there are changes or not.
constexpr std::chrono::milliseconds s_probeHoldTime{1};
/// How often a proof that is overdue is looked at.
constexpr std::chrono::milliseconds s_proofPollInterval{20};
/// Response timeout for a store that is slow but reachable.
constexpr std::chrono::milliseconds s_slowResponseTimeout{2000};
/// How long a response that has begun may take: several configurations of the largest size over a link that others use as well.
constexpr std::chrono::milliseconds s_longestTransfer{10000};

/// The last change of each row after a version. The feed holds every version of a row, and decoding a large configuration that is replaced already
/// delays the one that is in force.
std::vector<FeedRow> latestChanges(const std::vector<FeedRow> &rows, FeedVersion after)
{
    std::unordered_map<std::string_view, FeedVersion> latest;
    for (const FeedRow &row : rows) {
        FeedVersion &version = latest[row.key];
        version = std::max(version, row.version);
    }
    std::vector<FeedRow> result;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(result), [&latest, after](const FeedRow &row) {
        return row.version > after && row.version == latest.at(row.key);
    });
    return result;
}

/// Era of an answer of the store; nothing for a failed call.
struct EraOf
{
    std::optional<StoreEra> operator()(const FeedRows &rows) const
    {
        return rows.era;
    }
    std::optional<StoreEra> operator()(const HistoryTruncated &truncated) const
    {
        return truncated.era;
    }
    std::optional<StoreEra> operator()(const StoreFailure & /*failure*/) const
    {
        return std::nullopt;
    }
};

} // namespace

/// Calls for changes after a failure, until the store has answered one. The next one is sent before a slow store would answer the
/// previous one, so that neither a lost call nor a slow response delays the result of the other.
struct TableWatch::Probes
{
    explicit Probes(boost::asio::io_context &context)
        : callEnded(context)
        , answered(context)
    {
    }

    /// Waits until a timer is cancelled while the condition holds, or until a point in time.
    template<typename Condition>
    static void await(boost::asio::steady_timer &timer, Condition condition, BootTime until, const boost::asio::yield_context &yield)
    {
        for (BootTime now = BootClock::now(); !condition() && now < until; now = BootClock::now()) {
            timer.expires_after(until - now);
            // The end of a call cancels the timer.
            boost::system::error_code ignored;
            timer.async_wait(yield[ignored]);
        }
    }

    boost::asio::steady_timer callEnded;
    boost::asio::steady_timer answered;
    bool isAnswered = false;
    /// Set when the next call must not wait.
    bool isRetryDue = false;
    int callCount = 0;
    /// Calls whose response has begun to arrive and is not complete.
    int arriving = 0;
    /// Why the latest call failed.
    std::optional<std::string> failure{};
};

/// Overlapping full reads until one of them is answered. Each is followed by the next one while it may still be answered, as probes are.
struct TableWatch::FullReads
{
    explicit FullReads(boost::asio::io_context &context)
        : timer(context)
    {
    }

    /// Waits for a duration, or less when a read is answered or the latest one fails.
    void waitFor(BootClock::duration time, const boost::asio::yield_context &yield)
    {
        if (response) {
            return;
        }
        timer.expires_after(std::max(time, BootClock::duration(0)));
        boost::system::error_code cancelledByRead;
        timer.async_wait(yield[cancelledByRead]);
    }

    boost::asio::steady_timer timer;
    int latestNumber = 0;
    /// The first response; those of the other reads are older.
    std::optional<FeedRows> response;
    /// Set when the latest read has failed. The loss of earlier ones is noticed late and says nothing about the current state of the store.
    std::optional<StoreFailure> failure;
};

TableWatch::TableWatch(
    boost::asio::io_context &context, FeedStore &store, FeedSharing &sharing, std::string table, const TableWatchTiming &timing, TableWatchHandlers handlers)
    : m_context(context)
    , m_store(store)
    , m_sharing(sharing)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_handlers(std::move(handlers))
    , m_fullReads(std::make_shared<FullReads>(context))
    , m_backoff(s_initialRetryInterval, std::max(s_initialRetryInterval, timing.maximumRetryInterval))
    , m_random(std::random_device{}())
{
    m_sharing.addTable(m_table, m_timing.publisher);
}

void TableWatch::run(const boost::asio::yield_context &yield)
{
    if (m_timing.maximumProofAge) {
        boost::asio::spawn(
            m_context, [this, age = *m_timing.maximumProofAge](const boost::asio::yield_context &renewalYield) { renewProofs(age, renewalYield); });
    }
    while (!m_context.stopped()) {
        const BootTime calledAt = BootClock::now();
        const bool succeeded = isFullReadDue() ? readFullTable(yield) : readChanges(yield);
        // The history that the store keeps may begin after the version of its full reads.
        const bool isFullReadTooOld = m_needsFullRead && m_isFullReadUnconfirmed;
        if (!succeeded || isFullReadTooOld) {
            delayRetry(calledAt, yield);
        }
    }
}

void TableWatch::delayRetry(BootTime failedCall, const boost::asio::yield_context &yield)
{
    // The delay counts from the start of the call: one that failed late has already waited, one that failed at once must not be repeated
    // at once.
    m_fullReads->waitFor(failedCall + m_backoff.next(m_random) - BootClock::now(), yield);
}

void TableWatch::renewProofs(std::chrono::milliseconds maximumAge, const boost::asio::yield_context &yield)
{
    // Beside the requests to a publisher: one that began shortly before the age is reached may be held beyond the age at which the copy is too old.
    while (!m_context.stopped()) {
        const auto left = m_provenAt + maximumAge - BootClock::now();
        const bool isOverdue = m_hasTable && !isFullReadDue() && left.count() <= 0;
        if (isOverdue) {
            startProbing();
        }
        sleepFor(m_context, left.count() > 0 ? std::chrono::ceil<std::chrono::milliseconds>(left) : s_proofPollInterval, yield);
    }
}

void TableWatch::recordSuccess(bool isCurrent, BootTime calledAt)
{
    if (isCurrent) {
        m_confirmedAt = BootClock::now();
        m_provenAt = std::max(m_provenAt, calledAt);
        m_sharing.server().confirm(m_table, m_confirmedAt, m_provenAt);
    }
    if (!m_isReachable) {
        m_isReachable = true;
        m_handlers.reachabilityChanged(true, "");
    }
}

void TableWatch::recordFailure(const std::string &reason, BootTime calledAt, std::chrono::milliseconds holdTime)
{
    writeLog(LogLevel::Info,
        "feed-call-failed",
        {{"table", m_table},
            {"reason", reason},
            {"waitMs", std::int64_t{holdTime.count()}},
            {"elapsedMs", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - calledAt).count()}},
            {"knownVersion", static_cast<std::int64_t>(m_version)}});
    if (m_isReachable) {
        m_isReachable = false;
        m_handlers.reachabilityChanged(false, reason);
    }
}

bool TableWatch::copyTable(const boost::asio::yield_context &yield)
{
    while (!m_hasTable) {
        const auto source = m_sharing.awaitStartSource(m_table, yield);
        const auto *copy = std::get_if<CopyFrom>(&source);
        if (!copy) {
            return false;
        }
        const BootTime requestedAt = BootClock::now();
        if (const auto table = m_sharing.copyTable(copy->host, m_table, yield)) {
            m_confirmedAt = BootClock::now() - table->age;
            m_provenAt = requestedAt - table->proofAge;
            replaceTable(*table);
            return true;
        }
    }
    return false;
}

bool TableWatch::copyNewEra(const boost::asio::yield_context &yield)
{
    const auto role = m_sharing.role(BootClock::now());
    const auto *subscriber = std::get_if<SubscriberRole>(&role);
    if (!subscriber || !m_hasTable || m_era >= m_sharing.era()) {
        return false;
    }
    const BootTime requestedAt = BootClock::now();
    const auto table = m_sharing.copyEra(subscriber->publisher, m_table, yield);
    const bool isUsable = table && useOfTable({m_era, m_version}, m_sharing.era(), {table->era, table->version}) == AnswerUse::Apply;
    if (isUsable) {
        // The handlers may ask for the proof of the earlier era.
        replaceTable(*table);
        m_confirmedAt = BootClock::now() - table->age;
        m_provenAt = std::max(m_provenAt, requestedAt - table->proofAge);
    }
    return isUsable;
}

void TableWatch::replaceTable(const FeedRows &table)
{
    m_era = table.era;
    m_handlers.replace(table);
    m_version = table.version;
    m_sharing.server().reset(m_table, table);
    m_needsFullRead = false;
    m_hasTable = true;
}

bool TableWatch::readFullTable(const boost::asio::yield_context &yield)
{
    if (copyTable(yield) || copyNewEra(yield)) {
        return true;
    }
    const BootTime calledAt = BootClock::now();
    const ReadResult result = awaitFullRead(yield);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        recordFailure(failure->reason, calledAt, {});
        return false;
    }
    const auto &read = std::get<FeedRows>(result);
    if (useOfTable({m_era, m_version}, m_sharing.era(), {read.era, read.version}) == AnswerUse::Ignore) {
        recordFailure("the response is older than the current version", calledAt, {});
        return false;
    }
    // A full read may be answered from an old state of the store, so that only the feed proves that the copy is the newest one.
    recordSuccess(true, m_provenAt);
    replaceTable(read);
    m_isFullReadUnconfirmed = true;
    return true;
}

ReadResult TableWatch::awaitFullRead(const boost::asio::yield_context &yield)
{
    if (!m_fullReads->response) {
        startFullRead();
        if (!m_fullReads->failure) {
            m_fullReads->waitFor(m_timing.responseTimeout, yield);
        }
    }
    if (m_fullReads->response) {
        const auto answered = std::exchange(m_fullReads, std::make_shared<FullReads>(m_context));
        return std::move(*answered->response);
    }
    return m_fullReads->failure.value_or(StoreFailure{"no response yet"});
}

void TableWatch::startFullRead()
{
    m_fullReads->failure.reset();
    boost::asio::spawn(m_context, [this, reads = m_fullReads, number = ++m_fullReads->latestNumber](const boost::asio::yield_context &readYield) {
        ReadResult result = checkEra(m_store.readTable(m_table, s_slowResponseTimeout, readYield));
        const auto *failure = std::get_if<StoreFailure>(&result);
        if (reads->response || (failure && number != reads->latestNumber)) {
            return;
        }
        if (failure) {
            reads->failure = *failure;
        } else {
            reads->response = std::move(std::get<FeedRows>(result));
        }
        reads->timer.cancel();
    });
}

bool TableWatch::readChanges(const boost::asio::yield_context &yield)
{
    struct Reader
    {
        TableWatch &watch;
        const boost::asio::yield_context &yield;

        bool operator()(const PublisherRole & /*role*/) const
        {
            return watch.readFeed(watch.m_timing.publisher.holdTime, watch.m_timing.publisher.batchDelay, yield);
        }
        bool operator()(const StandaloneRole & /*role*/) const
        {
            return watch.readFeed(watch.m_timing.holdTime, watch.m_timing.batchDelay, yield);
        }
        bool operator()(const SubscriberRole &role) const
        {
            return watch.readFromPublisher(role.publisher, yield);
        }
    };
    if (!m_isRoleKnown) {
        m_sharing.awaitRole(yield);
        m_isRoleKnown = true;
    }
    if (!m_isReachable) {
        // A subscriber probes the store as well, since other hosts choose publishers by whether they reach the store.
        startProbing();
    }
    const FeedRole role = m_sharing.role(BootClock::now());
    if (!m_isReachable && m_timing.maximumProofAge && !std::holds_alternative<SubscriberRole>(role)) {
        // This host may be the only one that the store rejects.
        if (const auto substitute = m_sharing.substitute(BootClock::now())) {
            return readFromPublisher(*substitute, yield);
        }
    }
    return std::visit(Reader{*this, yield}, role);
}

bool TableWatch::readFeed(std::chrono::milliseconds holdTime, std::chrono::milliseconds batchDelay, const boost::asio::yield_context &yield)
{
    if (m_probes) {
        awaitProbes(yield);
        return true;
    }
    const BootTime calledAt = BootClock::now();
    // Calls follow each other after batchDelay at the latest. When more time has passed, as before the first call, the store must confirm
    // the copy earlier, or subscribers would be refused.
    const auto sinceConfirmed = std::chrono::ceil<std::chrono::milliseconds>(calledAt - m_confirmedAt);
    const auto boundedHoldTime = m_hasBacklog ? s_probeHoldTime : std::clamp(batchDelay + holdTime - sinceConfirmed, s_probeHoldTime, holdTime);
    const StoreEra calledEra = m_era;
    const FeedResult result = checkEra(m_store.awaitChanges(m_table, m_version, {boundedHoldTime, m_timing.responseTimeout}, yield));
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        recordFailure(failure->reason, calledAt, boundedHoldTime);
        return false;
    }
    if (applyResult(result, calledAt, calledEra) && !m_hasBacklog) {
        sleepFor(m_context, batchDelay, yield);
    }
    return true;
}

void TableWatch::startProbing()
{
    if (m_probes) {
        return;
    }
    m_probes = std::make_shared<Probes>(m_context);
    boost::asio::spawn(m_context, [this, probes = m_probes](const boost::asio::yield_context &yield) {
        while (!probes->isAnswered && !m_context.stopped()) {
            probe(*probes, yield);
        }
    });
}

void TableWatch::probe(Probes &probes, const boost::asio::yield_context &yield)
{
    const BootTime calledAt = BootClock::now();
    const int call = ++probes.callCount;
    probes.failure.reset();
    probes.isRetryDue = false;
    boost::asio::spawn(m_context, [this, call, calledAt, shared = m_probes](const boost::asio::yield_context &callYield) {
        bool hasBegun = false;
        const auto responseBegan = [&shared, &hasBegun] {
            hasBegun = true;
            ++shared->arriving;
        };
        const StoreEra calledEra = m_era;
        const FeedResult result = checkEra(m_store.awaitChanges(m_table, m_version, {s_probeHoldTime, s_slowResponseTimeout, responseBegan}, callYield));
        shared->arriving -= hasBegun ? 1 : 0;
        if (shared->isAnswered) {
            // Another call was answered first; this response is older.
            return;
        }
        if (const auto *failure = std::get_if<StoreFailure>(&result)) {
            if (call == shared->callCount) {
                shared->failure = failure->reason;
            }
        } else {
            shared->isAnswered = true;
            m_probes.reset();
            applyResult(result, calledAt, calledEra);
            shared->answered.cancel();
        }
        shared->callEnded.cancel();
    });
    const auto isAnswered = [&probes] { return probes.isAnswered; };
    Probes::await(
        probes.callEnded, [&probes] { return probes.isAnswered || probes.failure || probes.isRetryDue; }, calledAt + m_timing.probeInterval, yield);
    // The response to a further call would share a slow link with the one that is arriving. The client ends a call whose response stops to arrive.
    Probes::await(
        probes.callEnded, [&probes] { return probes.isAnswered || probes.arriving == 0; }, calledAt + s_longestTransfer, yield);
    if (isAnswered()) {
        return;
    }
    recordFailure(probes.failure.value_or("no response yet"), calledAt, s_probeHoldTime);
    // The delay counts from the start of the call: one that failed late has already waited, one that failed at once must not be repeated
    // at once.
    Probes::await(
        probes.callEnded, [&probes] { return probes.isAnswered || probes.isRetryDue; }, calledAt + m_backoff.next(m_random), yield);
}

void TableWatch::retryNow()
{
    if (m_probes) {
        m_probes->isRetryDue = true;
        m_probes->callEnded.cancel();
    }
}

void TableWatch::awaitProbes(const boost::asio::yield_context &yield)
{
    if (const auto probes = m_probes) {
        // Bounded, since the role of this host may change meanwhile.
        Probes::await(
            probes->answered, [&probes] { return probes->isAnswered; }, BootClock::now() + m_timing.probeInterval, yield);
    }
}

template<typename Answer>
Answer TableWatch::checkEra(Answer answer)
{
    const auto era = std::visit(EraOf{}, answer);
    if (!era) {
        return answer;
    }
    if (*era < m_sharing.era()) {
        return StoreFailure{"the response is from an earlier era of the store"};
    }
    m_sharing.recordEra(*era);
    return answer;
}

bool TableWatch::applyResult(const FeedResult &result, BootTime calledAt, StoreEra calledEra)
{
    const auto *read = std::get_if<FeedRows>(&result);
    if (!read) {
        m_needsFullRead = true;
        return false;
    }
    const AnswerUse use = useOfChanges({m_era, calledEra, m_sharing.era()}, read->era);
    if (use == AnswerUse::ReadInFull) {
        m_needsFullRead = true;
        return false;
    }
    if (use == AnswerUse::Ignore) {
        recordSuccess(false, calledAt);
        return false;
    }
    m_backoff.reset();
    m_isFullReadUnconfirmed = false;
    m_hasBacklog = read->mayBePartial;
    // An answer from before what is known proves nothing about the changes since.
    recordSuccess(!m_hasBacklog, read->version >= m_version ? calledAt : m_provenAt);
    return applyChanges(*read);
}

bool TableWatch::readFromPublisher(const HostId &publisher, const boost::asio::yield_context &yield)
{
    const BootTime requestedAt = BootClock::now();
    const StoreEra requestedEra = m_era;
    if (const auto changes = m_sharing.awaitChanges(publisher, m_table, {m_era, m_version}, m_confirmedAt, yield)) {
        applyPublished(*changes, requestedAt, requestedEra);
    } else if (!isFullReadDue()) {
        // The next publisher may fail as well, and so may a call to the store.
        startProbing();
    }
    return true;
}

void TableWatch::applyPublished(const FeedRows &changes, BootTime requestedAt, StoreEra requestedEra)
{
    const AnswerUse use = changes.isWholeTable && changes.era > m_era ? AnswerUse::Apply : useOfChanges({m_era, requestedEra, m_sharing.era()}, changes.era);
    if (use == AnswerUse::ReadInFull) {
        m_needsFullRead = true;
    }
    if (use != AnswerUse::Apply) {
        return;
    }
    const bool isNewEra = changes.era > m_era;
    if (isNewEra) {
        // The handlers may ask for the proof of the earlier era.
        replaceTable(changes);
    }
    m_confirmedAt = std::max(m_confirmedAt, BootClock::now() - changes.age);
    // The publisher states the age at the arrival of the request, which is later than this.
    m_provenAt = std::max(m_provenAt, requestedAt - changes.proofAge);
    if (!changes.isWholeTable) {
        applyChanges(changes);
    } else if (!isNewEra && changes.version >= m_version) {
        replaceTable(changes);
    }
}

bool TableWatch::applyChanges(const FeedRows &changes)
{
    // Some of them may have been received from the store or another host since the call began.
    FeedRows fresh;
    fresh.version = std::max(m_version, changes.version);
    fresh.era = m_era;
    fresh.rows = latestChanges(changes.rows, m_version);
    m_version = fresh.version;
    m_sharing.server().append(m_table, fresh, BootClock::now());
    if (fresh.rows.empty()) {
        return false;
    }
    m_handlers.change(fresh.rows);
    return true;
}

} // namespace Trefoil
