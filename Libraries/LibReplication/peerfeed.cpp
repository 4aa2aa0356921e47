#include <LibReplication/peerfeed.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace Trefoil
{

namespace
{

/// Bounds what a malformed response may claim; far above the age at which copies are refused.
constexpr std::uint64_t s_maximumAgeMilliseconds = 3600000;

std::chrono::milliseconds boundedAge(std::uint64_t milliseconds)
{
    return std::chrono::milliseconds(std::min<std::uint64_t>(milliseconds, s_maximumAgeMilliseconds));
}

PeerFeedResult parseResponse(const ChangesSince &response)
{
    const std::size_t count = response.keys.size();
    // Lists of different lengths are malformed and treated like a rejection.
    if (!response.isServed || response.values.size() != count || response.versions.size() != count || response.removed.size() != count) {
        return PublisherRejected{response.era};
    }
    FeedRows changes;
    changes.version = response.version;
    changes.era = response.era;
    changes.isWholeTable = response.isWholeTable;
    changes.age = boundedAge(response.ageMilliseconds);
    changes.proofAge = boundedAge(response.proofAgeMilliseconds);
    for (std::size_t i = 0; i < count; ++i) {
        changes.rows.push_back({response.keys[i], response.values[i], response.versions[i], response.removed[i] != 0});
    }
    return changes;
}

} // namespace

/// One request that is waiting for its response.
struct PeerFeed::Call
{
    HostId publisher;
    boost::asio::steady_timer timer;
    std::optional<ChangesSince> response{};
};

PeerFeed::PeerFeed(boost::asio::io_context &context, Send send)
    : m_context(context)
    , m_send(std::move(send))
    , m_sequence(std::random_device{}())
{
}

PeerFeedResult PeerFeed::awaitChanges(const HostId &publisher,
    const std::string &table,
    const StorePosition &after,
    std::chrono::milliseconds holdTime,
    std::chrono::milliseconds responseMargin,
    const boost::asio::yield_context &yield)
{
    const std::uint64_t sequence = ++m_sequence;
    Call call{publisher, boost::asio::steady_timer(m_context, holdTime + responseMargin)};
    m_calls.emplace(sequence, &call);
    m_send(publisher, AwaitChanges{sequence, table, after.version, static_cast<std::uint64_t>(holdTime.count()), after.era});
    boost::system::error_code cancelledByResponse;
    call.timer.async_wait(yield[cancelledByResponse]);
    m_calls.erase(sequence);
    return call.response ? parseResponse(*call.response) : PeerFeedResult(PublisherUnresponsive{});
}

void PeerFeed::receive(const HostId &from, const ChangesSince &response)
{
    const auto found = m_calls.find(response.sequence);
    if (found == m_calls.end() || found->second->publisher != from) {
        return;
    }
    found->second->response = response;
    found->second->timer.cancel();
}

} // namespace Trefoil
