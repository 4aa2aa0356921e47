#include <LibHttp/failedrequests.h>

#include <algorithm>
#include <functional>

namespace Trefoil
{

namespace
{

/// Bounds the memory of a connection to 1 KB; an upstream that sheds load then gets a new connection for 128 rejections.
constexpr std::size_t s_maximumRequests = 128;

} // namespace

void FailedRequests::add(std::string_view requestId)
{
    m_hashes.push_back(std::hash<std::string_view>()(requestId));
}

bool FailedRequests::contains(std::string_view requestId) const
{
    return !m_hashes.empty() && std::find(m_hashes.begin(), m_hashes.end(), std::hash<std::string_view>()(requestId)) != m_hashes.end();
}

bool FailedRequests::isFull() const
{
    return m_hashes.size() >= s_maximumRequests;
}

} // namespace Trefoil
