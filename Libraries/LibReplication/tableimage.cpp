#include <LibReplication/tableimage.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

std::size_t sizeOf(const FeedRow &row)
{
    return sizeof(FeedRow) + 2 * row.key.size() + row.value.size();
}

} // namespace

TableImage::TableImage(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

void TableImage::replace(const FeedRows &table)
{
    m_rows.clear();
    m_bytes = 0;
    m_version = table.version;
    m_era = table.era;
    m_isComplete = true;
    for (const FeedRow &row : table.rows) {
        set(row);
    }
}

void TableImage::apply(const FeedRows &changes)
{
    if (!m_isComplete) {
        return;
    }
    m_version = std::max(m_version, changes.version);
    for (const FeedRow &row : changes.rows) {
        set(row);
    }
}

std::optional<FeedRows> TableImage::rows() const
{
    if (!m_isComplete) {
        return std::nullopt;
    }
    FeedRows table;
    table.version = m_version;
    table.era = m_era;
    table.isWholeTable = true;
    table.rows.reserve(m_rows.size());
    for (const auto &[key, row] : m_rows) {
        table.rows.push_back(row);
    }
    return table;
}

void TableImage::set(const FeedRow &row)
{
    if (!m_isComplete) {
        return;
    }
    if (const auto known = m_rows.find(row.key); known != m_rows.end()) {
        m_bytes -= sizeOf(known->second);
        m_rows.erase(known);
    }
    if (row.removed) {
        return;
    }
    m_bytes += sizeOf(row);
    m_rows.emplace(row.key, row);
    if (m_bytes > m_maximumBytes) {
        m_rows.clear();
        m_bytes = 0;
        m_isComplete = false;
    }
}

} // namespace Trefoil
