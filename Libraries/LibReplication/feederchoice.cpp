#include <LibReplication/feederchoice.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <utility>

namespace Trefoil
{

namespace
{

/// Hosts in the rendezvous order of a key, the first one at the front.
std::vector<HostId> ranked(const std::vector<HostId> &hosts, std::uint64_t key)
{
    std::vector<std::pair<double, HostId>> scores;
    scores.reserve(hosts.size());
    for (const HostId &host : hosts) {
        scores.emplace_back(-affinityScore(key, stableHash(host.value()), 1), host);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<HostId> order;
    order.reserve(scores.size());
    for (auto &[score, host] : scores) {
        order.push_back(std::move(host));
    }
    return order;
}

} // namespace

FeederChoice::FeederChoice(FeederChoiceSettings settings)
    : m_settings(std::move(settings))
{
}

FeedRole FeederChoice::role(const std::vector<HostId> &liveHosts, BootTime now) const
{
    if (liveHosts.size() < m_settings.smallestZone) {
        return ReadsForItself{};
    }
    static const std::uint64_t s_feederKey = stableHash("feeders");
    std::vector<HostId> feeders = ranked(liveHosts, s_feederKey);
    feeders.resize((liveHosts.size() + m_settings.hostsPerFeeder - 1) / m_settings.hostsPerFeeder);
    if (std::find(feeders.begin(), feeders.end(), m_settings.self) != feeders.end()) {
        return ReadsForOthers{};
    }
    // Each follower prefers another one of the feeders.
    for (const HostId &feeder : ranked(feeders, stableHash(m_settings.self.value()))) {
        const auto distrusted = m_distrustedUntil.find(feeder);
        if (distrusted == m_distrustedUntil.end() || now >= distrusted->second) {
            return Follows{feeder};
        }
    }
    return ReadsForItself{};
}

void FeederChoice::distrust(const HostId &host, BootTime until)
{
    m_distrustedUntil[host] = until;
}

} // namespace Trefoil
