#include <LibReplication/startsource.h>

#include <LibSteering/affinityranking.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

using std::chrono::milliseconds;

/// How long the rows of the hosts are awaited: these come from the store, which may be away.
constexpr milliseconds s_maximumWaitForHosts{600};
/// Time in which running hosts reply to a beacon.
constexpr milliseconds s_replyTime{60};
/// How long another host is awaited that reads the tables: a host with a tenth of a core and a link of 20 Mbit/s needs half of it for a
/// thousand upstreams.
constexpr milliseconds s_maximumWaitForReaders{800};
/// After as many hosts without a copy, the store is faster.
constexpr std::size_t s_maximumFailures = 2;

} // namespace

StartSource startSource(const StartKnowledge &knowledge, const PublisherChoiceSettings &settings)
{
    if (!knowledge.sinceHostsKnown) {
        return knowledge.sinceStart < s_maximumWaitForHosts ? StartSource(AwaitOthers{}) : ReadFromStore{};
    }
    if (knowledge.registeredHosts < settings.minimumZoneSize || knowledge.failed.size() >= s_maximumFailures) {
        return ReadFromStore{};
    }
    // Only hosts that read the feeds may vouch for their tables: all of them in a small zone, the publishers in a larger one.
    const bool isShared = knowledge.ready.size() >= settings.minimumZoneSize;
    const auto sources = isShared ? publishersAmong(knowledge.ready, settings) : knowledge.ready;
    // Each host has an order of its own, so that starting hosts spread over the sources.
    for (const HostId &host : rankHosts(sources, stableHash(settings.self.value()))) {
        if (knowledge.failed.count(host) == 0) {
            return CopyFrom{host};
        }
    }
    if (*knowledge.sinceHostsKnown >= s_maximumWaitForReaders) {
        return ReadFromStore{};
    }
    if (*knowledge.sinceHostsKnown < s_replyTime) {
        return AwaitOthers{};
    }
    std::vector<HostId> hosts = knowledge.live;
    hosts.push_back(settings.self);
    const auto readers = publishersAmong(hosts, settings);
    const bool isReader = std::find(readers.begin(), readers.end(), settings.self) != readers.end();
    return isReader ? StartSource(ReadFromStore{}) : AwaitOthers{};
}

} // namespace Trefoil
