#include <LibReplication/publisherchoice.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>
#include <utility>

namespace Trefoil
{

std::vector<HostId> rankHosts(const std::vector<HostId> &hosts, std::uint64_t key)
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

std::vector<HostId> publishersAmong(const std::vector<HostId> &hosts, const PublisherChoiceSettings &settings)
{
    static const std::uint64_t publisherKey = stableHash("publishers");
    std::vector<HostId> publishers = rankHosts(hosts, publisherKey);
    if (settings.linkMegabits) {
        std::stable_sort(publishers.begin(), publishers.end(), [&settings](const HostId &a, const HostId &b) {
            return settings.linkMegabits(a) > settings.linkMegabits(b);
        });
    }
    publishers.resize((hosts.size() + settings.hostsPerPublisher - 1) / settings.hostsPerPublisher);
    return publishers;
}

PublisherChoice::PublisherChoice(PublisherChoiceSettings settings)
    : m_settings(std::move(settings))
{
}

FeedRole PublisherChoice::role(const std::vector<HostId> &liveHosts, BootTime now) const
{
    if (liveHosts.size() < m_settings.minimumZoneSize) {
        return StandaloneRole{};
    }
    const std::vector<HostId> publishers = publishersAmong(liveHosts, m_settings);
    if (std::find(publishers.begin(), publishers.end(), m_settings.self) != publishers.end()) {
        return PublisherRole{};
    }
    const auto publisher = firstUsable(publishers, now);
    return publisher ? FeedRole(SubscriberRole{*publisher}) : StandaloneRole{};
}

std::optional<HostId> PublisherChoice::substitute(const std::vector<HostId> &liveHosts, BootTime now) const
{
    std::vector<HostId> others = liveHosts;
    others.erase(std::remove(others.begin(), others.end(), m_settings.self), others.end());
    // In a small zone each host reads the feeds and can vouch for its copy.
    return firstUsable(others.size() < m_settings.minimumZoneSize ? others : publishersAmong(others, m_settings), now);
}

std::optional<HostId> PublisherChoice::firstUsable(const std::vector<HostId> &publishers, BootTime now) const
{
    for (const HostId &publisher : rankHosts(publishers, stableHash(m_settings.self.value()))) {
        const auto excluded = m_excludedUntil.find(publisher);
        if (excluded == m_excludedUntil.end() || now >= excluded->second) {
            return publisher;
        }
    }
    return std::nullopt;
}

void PublisherChoice::exclude(const HostId &host, BootTime until)
{
    m_excludedUntil[host] = until;
}

} // namespace Trefoil
