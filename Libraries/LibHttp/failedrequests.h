#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// Ids of the requests that were answered with a failure on one connection. The other end may write such a response once more at any
/// time, and the copy would pass for the response to the same request if that were sent there again.
/// Thread safety: one thread at a time.
class FailedRequests
{
public:
    /// Precondition: the id is not empty.
    void add(std::string_view requestId);

    /// True for each id that was added, and by chance for another one. Precondition: none.
    bool contains(std::string_view requestId) const;

    /// Whether there is no room for another id, so that the connection must end. Precondition: none.
    bool isFull() const;

private:
    std::vector<std::size_t> m_hashes;
};

} // namespace Trefoil
