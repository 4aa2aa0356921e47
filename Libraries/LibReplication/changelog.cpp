#include <LibReplication/changelog.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

std::size_t sizeOf(const FeedRow &row)
{
    return sizeof(FeedRow) + row.key.size() + row.value.size();
}

} // namespace

ChangeLog::ChangeLog(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

void ChangeLog::reset(FeedVersion version, StoreEra era)
{
    m_rows.clear();
    m_rowsByKey.clear();
    m_bytes = 0;
    m_startVersion = version;
    m_version = version;
    m_era = era;
    m_isInitialized = true;
}

void ChangeLog::append(const FeedRows &changes)
{
    for (const FeedRow &row : changes.rows) {
        if (const auto replaced = m_rowsByKey.find(row.key); replaced != m_rowsByKey.end()) {
            discard(replaced->second);
        }
        m_rowsByKey.emplace(row.key, m_rows.insert(m_rows.end(), row));
        m_bytes += sizeOf(row);
    }
    m_version = std::max(m_version, changes.version);
    while (m_bytes > m_maximumBytes && m_rows.size() > 1) {
        m_startVersion = std::max(m_startVersion, m_rows.front().version);
        discard(m_rows.begin());
    }
}

void ChangeLog::discard(std::list<FeedRow>::iterator row)
{
    m_bytes -= sizeOf(*row);
    m_rowsByKey.erase(row->key);
    m_rows.erase(row);
}

std::variant<FeedRows, HistoryTruncated> ChangeLog::since(FeedVersion after) const
{
    if (!m_isInitialized || after < m_startVersion) {
        return HistoryTruncated{};
    }
    FeedRows changes;
    changes.version = m_version;
    changes.era = m_era;
    std::copy_if(m_rows.begin(), m_rows.end(), std::back_inserter(changes.rows), [after](const FeedRow &row) { return row.version > after; });
    return changes;
}

} // namespace Trefoil
