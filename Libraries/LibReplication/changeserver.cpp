#include <LibReplication/changeserver.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Changes kept for each table; hosts have 160 MB. A subscriber that is further behind reads the store.
constexpr std::size_t s_mostBytes = std::size_t{4} * 1024 * 1024;
/// Rows of one answer, half of what a message between hosts may list.
constexpr std::size_t s_mostRowsOfAnswer = 5000;
/// Requests that wait at once. Each subscriber has one for each table.
constexpr std::size_t s_mostWaiting = 1024;
/// Longest wait that a subscriber may ask for.
constexpr std::chrono::milliseconds s_longestWait{30000};

ChangesSince changesMessage(std::uint64_t sequence, const FeedRows &changes)
{
    ChangesSince message;
    message.sequence = sequence;
    message.isServed = true;
    message.version = changes.version;
    for (const FeedRow &row : changes.rows) {
        message.keys.push_back(row.key);
        message.values.push_back(row.value);
        message.versions.push_back(row.version);
        message.removed.push_back(row.removed ? 1 : 0);
    }
    return message;
}

ChangesSince refusal(std::uint64_t sequence)
{
    ChangesSince message;
    message.sequence = sequence;
    return message;
}

} // namespace

ChangeServer::ChangeServer(Send send)
    : m_send(std::move(send))
{
}

void ChangeServer::addTable(const std::string &table, std::chrono::milliseconds currentFor)
{
    m_tables.insert_or_assign(table, Table{currentFor, ChangeLog(s_mostBytes), {}});
}

void ChangeServer::reset(const std::string &table, FeedVersion version)
{
    m_tables.at(table).log.reset(version);
}

void ChangeServer::append(const std::string &table, const FeedRows &changes, BootTime now)
{
    m_tables.at(table).log.append(changes);
    if (!changes.rows.empty()) {
        answerDue(now);
    }
}

void ChangeServer::confirm(const std::string &table, BootTime now)
{
    m_tables.at(table).confirmedAt = now;
}

void ChangeServer::request(const HostId &from, const AwaitChanges &request, BootTime now)
{
    const auto wait = std::min(std::chrono::milliseconds(request.waitMilliseconds), s_longestWait);
    const Waiting waiting{from, request, now + wait};
    if (m_waiting.size() >= s_mostWaiting) {
        m_send(from, refusal(request.sequence));
        return;
    }
    if (!answer(waiting, now)) {
        m_waiting.push_back(waiting);
    }
}

void ChangeServer::answerDue(BootTime now)
{
    m_waiting.remove_if([this, now](const Waiting &waiting) { return answer(waiting, now); });
}

bool ChangeServer::answer(const Waiting &waiting, BootTime now)
{
    const AwaitChanges &request = waiting.request;
    const auto table = m_tables.find(request.table);
    const bool isCurrent = table != m_tables.end() && table->second.confirmedAt != BootTime{} && now - table->second.confirmedAt <= table->second.currentFor;
    if (!isCurrent) {
        m_send(waiting.from, refusal(request.sequence));
        return true;
    }
    const auto changes = table->second.log.since(request.after);
    const auto *known = std::get_if<FeedRows>(&changes);
    if (!known || known->rows.size() > s_mostRowsOfAnswer) {
        m_send(waiting.from, refusal(request.sequence));
        return true;
    }
    if (known->rows.empty() && now < waiting.until) {
        return false;
    }
    m_send(waiting.from, changesMessage(request.sequence, *known));
    return true;
}

} // namespace Trefoil
