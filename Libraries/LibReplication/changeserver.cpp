#include <LibReplication/changeserver.h>

#include <LibReplication/storeera.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Log size of each table; hosts have 160 MB of memory. A subscriber that is further behind reads the store.
constexpr std::size_t s_maximumLogBytes = std::size_t{4} * 1024 * 1024;
/// Size up to which whole tables are kept for other hosts: 15,000 upstreams.
constexpr std::size_t s_maximumImageBytes = std::size_t{8} * 1024 * 1024;
/// Half of the number of entries that a message between hosts may list.
constexpr std::size_t s_maximumRowsPerResponse = 5000;
/// Each subscriber has one pending request for each table.
constexpr std::size_t s_maximumPendingRequests = 1024;
/// Upper bound of the wait that a subscriber requests.
constexpr std::chrono::milliseconds s_maximumWait{30000};

std::uint64_t wholeMilliseconds(BootClock::duration age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count(), 0));
}

ChangesSince servedResponse(std::uint64_t sequence, const FeedRows &changes, BootClock::duration age, BootClock::duration proofAge)
{
    ChangesSince message;
    message.sequence = sequence;
    message.isServed = true;
    message.version = changes.version;
    message.era = changes.era;
    message.isWholeTable = changes.isWholeTable;
    message.ageMilliseconds = wholeMilliseconds(age);
    message.proofAgeMilliseconds = wholeMilliseconds(proofAge);
    for (const FeedRow &row : changes.rows) {
        message.keys.push_back(row.key);
        message.values.push_back(row.value);
        message.versions.push_back(row.version);
        message.removed.push_back(row.removed ? 1 : 0);
    }
    return message;
}

ChangesSince rejection(std::uint64_t sequence, StoreEra era)
{
    ChangesSince message;
    message.sequence = sequence;
    message.era = era;
    return message;
}

} // namespace

ChangeServer::ChangeServer(Send send)
    : m_send(std::move(send))
{
}

void ChangeServer::addTable(const std::string &table, std::chrono::milliseconds maximumAge)
{
    m_tables.insert_or_assign(table, Table{maximumAge, ChangeLog(s_maximumLogBytes), TableImage(s_maximumImageBytes), {}, {}});
}

void ChangeServer::reset(const std::string &table, const FeedRows &rows)
{
    m_tables.at(table).log.reset(rows.version, rows.era);
    m_tables.at(table).image.replace(rows);
}

void ChangeServer::append(const std::string &table, const FeedRows &changes, BootTime now)
{
    m_tables.at(table).log.append(changes);
    m_tables.at(table).image.apply(changes);
    if (!changes.rows.empty()) {
        respondToDueRequests(now);
    }
}

void ChangeServer::confirm(const std::string &table, BootTime now, BootTime provenAt)
{
    m_tables.at(table).confirmedAt = now;
    m_tables.at(table).provenAt = provenAt;
}

void ChangeServer::request(const HostId &from, const AwaitChanges &request, BootTime now)
{
    const auto wait = std::min(std::chrono::milliseconds(request.waitMilliseconds), s_maximumWait);
    const PendingRequest pending{from, request, now, now + wait};
    if (m_pendingRequests.size() >= s_maximumPendingRequests) {
        m_send(from, rejection(request.sequence, StoreEra()));
        return;
    }
    if (!tryRespond(pending, now)) {
        m_pendingRequests.push_back(pending);
    }
}

void ChangeServer::respondToDueRequests(BootTime now)
{
    m_pendingRequests.remove_if([this, now](const PendingRequest &pending) { return tryRespond(pending, now); });
}

bool ChangeServer::tryRespond(const PendingRequest &pending, BootTime now)
{
    const AwaitChanges &request = pending.request;
    const auto table = m_tables.find(request.table);
    const bool isCurrent = table != m_tables.end() && table->second.confirmedAt != BootTime{} && now - table->second.confirmedAt <= table->second.maximumAge;
    const StoreEra era = table != m_tables.end() ? table->second.log.era() : StoreEra();
    if (!isCurrent || useOfRequest(era, {request.era, request.after}) == RequestUse::Reject) {
        m_send(pending.from, rejection(request.sequence, era));
        return true;
    }
    const auto changes = table->second.log.since(request.after);
    const auto *served = std::get_if<FeedRows>(&changes);
    const auto whole = served ? std::nullopt : table->second.image.rows();
    const FeedRows *rows = served ? served : whole ? &*whole : nullptr;
    if (!rows || rows->rows.size() > s_maximumRowsPerResponse) {
        m_send(pending.from, rejection(request.sequence, era));
        return true;
    }
    if (served && rows->rows.empty() && now < pending.deadline) {
        return false;
    }
    // The age of the proof is that at the arrival of the request, since the subscriber counts from when it sent the request. A proof from the time in
    // which the request waited has the age 0.
    m_send(pending.from, servedResponse(request.sequence, *rows, now - table->second.confirmedAt, pending.receivedAt - table->second.provenAt));
    return true;
}

} // namespace Trefoil
