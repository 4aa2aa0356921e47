#include <LibReplication/changelog.h>

#include <algorithm>

namespace Trefoil
{

ChangeLog::ChangeLog(std::size_t mostRows)
    : m_mostRows(mostRows)
{
}

void ChangeLog::reset(FeedVersion version)
{
    m_rows.clear();
    m_start = version;
    m_version = version;
    m_isKnown = true;
}

void ChangeLog::append(const FeedRows &changes)
{
    m_rows.insert(m_rows.end(), changes.rows.begin(), changes.rows.end());
    m_version = std::max(m_version, changes.version);
    while (m_rows.size() > m_mostRows) {
        m_start = std::max(m_start, m_rows.front().version);
        m_rows.pop_front();
    }
}

std::variant<FeedRows, HistoryLost> ChangeLog::since(FeedVersion after) const
{
    if (!m_isKnown || after < m_start) {
        return HistoryLost{};
    }
    FeedRows changes;
    changes.version = m_version;
    std::copy_if(m_rows.begin(), m_rows.end(), std::back_inserter(changes.rows), [after](const FeedRow &row) { return row.version > after; });
    return changes;
}

} // namespace Trefoil
