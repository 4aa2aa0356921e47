#include <LibGateway/beacon.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <pcg_random.hpp>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};

HostRegistration registration(const std::string &id, const std::string &zone, const std::string &region, std::uint64_t incarnation = 1)
{
    return {HostId(id), id + ":80", id + ":81", ZoneId(zone), RegionId(region), incarnation};
}

HostDirectory directory()
{
    HostDirectory result({HostId("self"), ZoneId("gulf-a"), RegionId("gulf")});
    result.setSelf(registration("self", "gulf-a", "gulf"), HostPhase::Serving);
    result.setRegistered({registration("self", "gulf-a", "gulf"),
                             registration("peer", "gulf-a", "gulf"),
                             registration("neighbour", "gulf-b", "gulf"),
                             registration("far", "hill-a", "hill")},
        s_start);
    return result;
}

struct LookupCase
{
    char name[48];
    char region[8];
    char zone[8];
    /// Host whose beacon was just received; empty for none.
    char beaconFrom[32];
    char expected[48];
};

std::string joined(const std::vector<std::string> &addresses)
{
    std::string text;
    for (const std::string &address : addresses) {
        text += address.substr(0, address.find(':')) + " ";
    }
    return text;
}

} // namespace

// Guards against callers that are sent to hosts which aren't live, or to another region while their own has live hosts.
ParameterizedTestParameters(HostDirectory, lookups)
{
    static LookupCase cases[] = {
        {"own zone, no beacon", "gulf", "gulf-a", "", "self "},
        {"own zone, beacon of the peer", "gulf", "gulf-a", "peer", "peer self "},
        {"neighbouring zone, beacon of its host", "gulf", "gulf-b", "neighbour", "neighbour "},
        {"neighbouring zone, no beacon", "gulf", "gulf-b", "", "self "},
        {"neighbouring zone, beacon of the peer only", "gulf", "gulf-b", "peer", "peer self "},
        {"other region, beacon of its host", "hill", "hill-a", "far", "far "},
        {"other region, no beacon", "hill", "hill-a", "", "self "},
        {"unknown zone", "moon", "moon-a", "", "self "},
    };
    return cr_make_param_array(LookupCase, cases, std::size(cases));
}

ParameterizedTest(LookupCase *testCase, HostDirectory, lookups)
{
    HostDirectory hosts = directory();
    if (testCase->beaconFrom[0] != '\0') {
        hosts.recordBeacon(HostId(testCase->beaconFrom), HostPhase::Serving, true, s_start);
    }
    const auto addresses = hosts.addressesFor(RegionId(testCase->region), ZoneId(testCase->zone), s_start + 1s);
    cr_assert_eq(joined(addresses), testCase->expected, "%s: %s", testCase->name, joined(addresses).c_str());
}

// Guards against a host that counts itself as the only one because it hasn't read the rows of the others yet.
Test(HostDirectory, noHostIsRegisteredBeforeTheRowsAreRead)
{
    HostDirectory hosts({HostId("self"), ZoneId("gulf-a"), RegionId("gulf")});
    hosts.setSelf(registration("self", "gulf-a", "gulf"), HostPhase::Serving);
    hosts.add(registration("self", "gulf-a", "gulf"), s_start);
    cr_assert(hosts.registeredHosts().empty());
    cr_assert_eq(directory().registeredHosts().size(), 4);
}

// Guards against a host that counts itself as a lender while the others don't, and a change of the table of hosts that goes unnoticed.
Test(HostDirectory, rowsAreThoseOfTheStore)
{
    HostDirectory hosts({HostId("self"), ZoneId("gulf-a"), RegionId("gulf")});
    hosts.setSelf(registration("self", "gulf-a", "gulf", 2), HostPhase::Starting);
    cr_assert(hosts.hostsWithRows().empty());
    auto version = hosts.rowsVersion();
    const auto hasChanged = [&] { return std::exchange(version, hosts.rowsVersion()) != version; };
    hosts.setRegistered({registration("self", "gulf-a", "gulf", 1), registration("peer", "gulf-a", "gulf")}, s_start);
    cr_assert(hasChanged() && hosts.hadEarlierRow());
    cr_assert(hosts.hostsWithRows() == std::vector<HostId>{HostId("peer")}, "the own row is that of an earlier process");
    hosts.add(registration("self", "gulf-a", "gulf", 2), s_start);
    cr_assert(hasChanged());
    cr_assert_eq(hosts.hostsWithRows().size(), 2);
    hosts.add(registration("far", "hill-a", "hill"), s_start);
    cr_assert(hasChanged() && hosts.registration(HostId("far"))->peerAddress == "far:81");
    hosts.recordBeacon(HostId("far"), HostPhase::Serving, true, s_start);
    hosts.add(registration("far", "hill-a", "hill", 2), s_start);
    cr_assert_not(hasChanged());
    hosts.remove(HostId("far"));
    cr_assert(hasChanged() && !hosts.registration(HostId("far")));
    hosts.setRegistered({registration("peer", "gulf-a", "gulf")}, s_start);
    cr_assert(hasChanged());
    cr_assert_eq(hosts.hostsWithRows().size(), 1, "the own row is missing");
    cr_assert_not(directory().hadEarlierRow());
}

// Guards against a killed host that look-ups still return, and a stopping one that gets new callers.
Test(HostDirectory, unresponsiveAndStoppingHostsAreLeftOut)
{
    HostDirectory hosts = directory();
    const auto own = [&hosts](BootTime now) { return joined(hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-a"), now)); };
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start);
    cr_assert_eq(own(s_start + 3s), "peer self ");
    cr_assert_eq(own(s_start + 4s), "self ");
    hosts.recordBeacon(HostId("peer"), HostPhase::Stopping, true, s_start + 5s);
    cr_assert_eq(own(s_start + 5s), "self ");
    hosts.add(registration("peer", "gulf-a", "gulf", 2), s_start);
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start + 6s);
    cr_assert_eq(own(s_start + 6s), "peer self ");
    hosts.remove(HostId("peer"));
    cr_assert_eq(own(s_start + 6s), "self ");
    hosts.setSelf(registration("self", "gulf-a", "gulf"), HostPhase::Stopping);
    cr_assert_eq(own(s_start + 6s), "");
}

// Guards against look-ups that wait for hosts which already count as unresponsive, and against hosts that count as unresponsive
// because of requests that are long past.
Test(HostDirectory, hostsAreAwaitedUntilTheyReplyOrTimeOut)
{
    HostDirectory hosts = directory();
    const auto awaited = [&hosts](BootTime now) { return hosts.hostsToAwait(RegionId("hill"), ZoneId("hill-a"), now).size(); };
    cr_assert_eq(hosts.hostsToAwait(RegionId("gulf"), ZoneId("gulf-a"), s_start).size(), 0, "this host is one of the zone");
    cr_assert_eq(hosts.hostsToAwait(RegionId("moon"), ZoneId("moon-a"), s_start).size(), 0);
    cr_assert_eq(awaited(s_start), 1);
    hosts.recordBeaconRequest(HostId("far"), s_start);
    cr_assert_eq(awaited(s_start + 299ms), 1);
    cr_assert_eq(awaited(s_start + 300ms), 0, "the request timed out");
    for (int second = 1; second < 10; ++second) {
        hosts.recordBeaconRequest(HostId("far"), s_start + std::chrono::seconds(second));
        cr_assert_eq(awaited(s_start + std::chrono::seconds(second)), 0, "still unresponsive");
    }
    cr_assert_eq(awaited(s_start + 20s), 1, "no recent request");
    hosts.recordBeaconRequest(HostId("far"), s_start + 20s);
    hosts.add(registration("far", "hill-a", "hill", 2), s_start + 21s);
    cr_assert_eq(awaited(s_start + 21s), 1, "another process");
    hosts.recordBeaconRequest(HostId("far"), s_start + 21s);
    hosts.recordBeacon(HostId("far"), HostPhase::Serving, true, s_start + 21s + 50ms);
    cr_assert_eq(awaited(s_start + 22s), 0, "it is live");
    cr_assert_eq(awaited(s_start + 26s), 1, "no recent beacon");
    hosts.recordBeacon(HostId("far"), HostPhase::Stopping, true, s_start + 27s);
    cr_assert_eq(awaited(s_start + 27s), 0, "its beacon reports that it stops");
}

// Guards against beacons from every host to every other: their number grows with the square of the number of hosts.
Test(HostDirectory, beaconsGoToTheOwnZoneAndToZonesWithLookups)
{
    HostDirectory hosts = directory();
    cr_assert_eq(hosts.beaconTargets(s_start).size(), 1);
    hosts.addressesFor(RegionId("hill"), ZoneId("hill-a"), s_start);
    cr_assert_eq(hosts.beaconTargets(s_start + 1s).size(), 2);
    cr_assert_eq(hosts.beaconTargets(s_start + 11s).size(), 1);
}

// Guards against callers of a zone without live hosts that are sent to another region once the first beacons from their own region
// are out of date.
Test(HostDirectory, regionOfAnUnresponsiveZoneGetsBeacons)
{
    HostDirectory hosts = directory();
    hosts.add(registration("reserve", "hill-b", "hill"), s_start);
    hosts.recordBeacon(HostId("far"), HostPhase::Serving, true, s_start);
    hosts.addressesFor(RegionId("hill"), ZoneId("hill-a"), s_start);
    cr_assert_eq(hosts.beaconTargets(s_start).size(), 2, "the zone's host is live");
    hosts.recordBeacon(HostId("reserve"), HostPhase::Serving, true, s_start + 4s);
    cr_assert_eq(joined(hosts.addressesFor(RegionId("hill"), ZoneId("hill-a"), s_start + 4s)), "reserve ");
    cr_assert_eq(hosts.beaconTargets(s_start + 5s).size(), 3);
    cr_assert_eq(hosts.beaconTargets(s_start + 15s).size(), 1);
}

// Guards against two datagrams a second between hosts that send each other beacons anyway, and against a starting host that gets no
// beacons.
Test(HostDirectory, repliesAreNotRequestedFromLiveZonePeers)
{
    HostDirectory hosts = directory();
    cr_assert(hosts.beaconTargets(s_start).front().isReplyRequested);
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start);
    cr_assert_not(hosts.beaconTargets(s_start + 1s).front().isReplyRequested);
    cr_assert(hosts.beaconTargets(s_start + 5s).front().isReplyRequested);
    hosts.recordBeacon(HostId("far"), HostPhase::Serving, true, s_start);
    hosts.addressesFor(RegionId("hill"), ZoneId("hill-a"), s_start);
    for (const BeaconTarget &target : hosts.beaconTargets(s_start + 1s)) {
        cr_assert_eq(target.isReplyRequested, target.registration.id == HostId("far"));
    }
}

// Guards against callers of a large zone that are all sent to its first hosts.
Test(HostDirectory, lookupsSpreadOverALargeZone)
{
    HostDirectory hosts = directory();
    constexpr int count = 50;
    for (int i = 0; i < count; ++i) {
        const std::string id = "p" + std::to_string(i);
        hosts.add(registration(id, "gulf-a", "gulf"), s_start);
        hosts.recordBeacon(HostId(id), HostPhase::Serving, true, s_start);
    }
    std::map<std::string, int> answers;
    for (int i = 0; i < count; ++i) {
        const auto addresses = hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-a"), s_start);
        cr_assert_eq(addresses.size(), 16);
        for (const std::string &address : addresses) {
            ++answers[address];
        }
    }
    cr_assert_eq(answers.size(), count + 1);
    for (const auto &[address, times] : answers) {
        cr_assert(times >= 14 && times <= 18, "%s is in %d of %d answers", address.c_str(), times, count);
    }
}

// Guards against hosts that all read the store while they start, and against hosts that choose a publisher which is unresponsive or
// stopping.
Test(HostDirectory, publisherCandidates)
{
    HostDirectory hosts = directory();
    const auto count = [&hosts](BootTime now) { return hosts.publisherCandidates(now).size(); };
    cr_assert_eq(count(s_start), 1);
    hosts.recordBeacon(HostId("peer"), HostPhase::Starting, true, s_start);
    hosts.recordBeacon(HostId("neighbour"), HostPhase::Serving, true, s_start);
    cr_assert_eq(count(s_start), 2, "a starting host, and none of another zone");
    cr_assert_eq(joined(hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-a"), s_start)), "self ", "callers are not sent to it");
    hosts.recordBeacon(HostId("peer"), HostPhase::Stopping, true, s_start + 1s);
    cr_assert_eq(count(s_start + 1s), 1);
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start + 2s);
    cr_assert_eq(count(s_start + 2s), 2);
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, false, s_start + 2s);
    cr_assert_eq(count(s_start + 2s), 1, "a host that doesn't reach the store");
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start + 2s);
    cr_assert_eq(count(s_start + 6s), 1, "an unresponsive host");
}

namespace
{

constexpr HostCapacity s_large{0.5, 200, 8192};
constexpr HostCapacity s_small{0.1, 10, 4100};

/// A zone with two large hosts and nine small ones, one of which is this host, and a small host in a neighbouring zone.
HostDirectory unevenDirectory(const std::string &self, bool choosesByCapacity)
{
    HostDirectorySettings settings;
    settings.self = HostId(self);
    settings.zone = ZoneId("gulf-a");
    settings.region = RegionId("gulf");
    settings.choosesByCapacity = choosesByCapacity;
    HostDirectory hosts(settings);
    const auto add = [&](const std::string &id, const std::string &zone, const HostCapacity &capacity) {
        HostRegistration row = registration(id, zone, "gulf");
        row.capacity = capacity;
        if (id == self) {
            hosts.setSelf(row, HostPhase::Serving);
        }
        hosts.add(row, s_start);
        hosts.recordBeacon(HostId(id), HostPhase::Serving, true, s_start);
    };
    add("large1", "gulf-a", s_large);
    add("large2", "gulf-a", s_large);
    for (int i = 1; i <= 9; ++i) {
        add("small" + std::to_string(i), "gulf-a", s_small);
    }
    add("neighbour", "gulf-b", s_small);
    return hosts;
}

} // namespace

// Guards against callers that are sent to weak hosts while strong ones suffice, hosts that answer look-ups differently, a zone whose callers hang on
// the one strong host that is left, and a zone with live hosts that is left without addresses.
Test(HostDirectory, strongHostsAreChosenByCapacity)
{
    const auto zone = [](HostDirectory &hosts, BootTime now) { return joined(hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-a"), now)); };
    HostDirectory even = unevenDirectory("small3", false);
    cr_assert_eq(even.addressesFor(RegionId("gulf"), ZoneId("gulf-a"), s_start + 1s).size(), 11);
    for (const char *self : {"large1", "large2", "small1", "small9"}) {
        HostDirectory hosts = unevenDirectory(self, true);
        cr_assert_eq(zone(hosts, s_start + 1s), "large1 large2 ", "%s: %s", self, zone(hosts, s_start + 1s).c_str());
        cr_assert_eq(joined(hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-b"), s_start + 1s)), "neighbour ");
        cr_assert_eq(joined(hosts.addressesFor(RegionId("gulf"), ZoneId("gulf-c"), s_start + 1s)), "large1 large2 ", "the region's hosts");
    }
    HostDirectory hosts = unevenDirectory("small3", true);
    hosts.recordBeacon(HostId("large2"), HostPhase::Stopping, true, s_start + 1s);
    cr_assert_eq(zone(hosts, s_start + 1s), "large1 small1 small2 small3 small4 small5 small6 small7 small8 small9 ");
    hosts.recordBeacon(HostId("large2"), HostPhase::Serving, true, s_start + 2s);
    cr_assert_eq(zone(hosts, s_start + 2s), "large1 large2 ");
    cr_assert_eq(zone(hosts, s_start + 10s), "small3 ", "the others are silent");
}

// Guards against cold upstreams that get no requests, since the hosts that may warm them up get no callers.
Test(HostDirectory, warmUpHostsAreEntryHosts)
{
    const HostDirectory even = unevenDirectory("small3", false);
    cr_assert_eq(even.hostsOf(ZoneId("gulf-a"), s_start + 1s).size(), 11);
    const HostDirectory hosts = unevenDirectory("small3", true);
    const std::vector<HostId> expected{HostId("large1"), HostId("large2")};
    cr_assert(hosts.hostsOf(ZoneId("gulf-a"), s_start + 1s) == expected);
    cr_assert_eq(hosts.hostsOf(ZoneId("gulf-b"), s_start + 1s).size(), 1, "all registered hosts of another zone");
}

// Guards against rows of terminated hosts that stay forever, rows of live hosts that are removed, and rows that every host removes
// instead of one.
Test(HostDirectory, rowsOfUnresponsiveHostsAreAbandoned)
{
    HostDirectory hosts = directory();
    cr_assert_eq(hosts.abandonedHosts(s_start + 60s).size(), 0);
    const auto abandoned = hosts.abandonedHosts(s_start + 61s);
    cr_assert_eq(abandoned.size(), 1, "none of another zone");
    cr_assert_eq(abandoned.front().id.value(), "peer");
    hosts.recordBeacon(HostId("peer"), HostPhase::Serving, true, s_start + 50s);
    cr_assert_eq(hosts.abandonedHosts(s_start + 61s).size(), 0);
    hosts.add(registration("peer", "gulf-a", "gulf", 2), s_start + 109s);
    cr_assert_eq(hosts.abandonedHosts(s_start + 120s).size(), 0, "a host that has started again");
    int removers = 0;
    for (const char *self : {"a", "b", "c"}) {
        HostDirectory view({HostId(self), ZoneId("gulf-a"), RegionId("gulf")});
        view.setSelf(registration(self, "gulf-a", "gulf"), HostPhase::Serving);
        for (const char *id : {"a", "b", "c", "gone"}) {
            view.add(registration(id, "gulf-a", "gulf"), s_start);
            view.recordBeacon(HostId(id), HostPhase::Serving, true, std::string_view(id) == "gone" ? s_start : s_start + 99s);
        }
        removers += static_cast<int>(view.abandonedHosts(s_start + 100s).size());
    }
    cr_assert_eq(removers, 1);
}

// Guards against a host whose row is missing from the store without the host detecting it.
Test(HostDirectory, missingOwnRowIsDetected)
{
    HostDirectory hosts = directory();
    cr_assert(hosts.isSelfRegistered());
    hosts.remove(HostId("self"));
    cr_assert_not(hosts.isSelfRegistered());
    hosts.add(registration("self", "gulf-a", "gulf", 7), s_start);
    cr_assert_not(hosts.isSelfRegistered(), "the row of an earlier process");
    hosts.setRegistered({registration("self", "gulf-a", "gulf")}, s_start);
    cr_assert(hosts.isSelfRegistered());
}

// Guards against malformed datagrams that crash the process or are decoded as a beacon.
Test(Beacon, malformedBytesAreHandled)
{
    const std::string bytes = encodeBeacon({HostId("edge-1"), HostPhase::Stopping, true, false});
    const auto beacon = decodeBeacon(bytes);
    cr_assert(beacon && beacon->from.value() == "edge-1" && beacon->phase == HostPhase::Stopping && beacon->isStoreReachable && !beacon->isReplyRequested);
    pcg32 random(20261204);
    for (int i = 0; i < 20000; ++i) {
        std::string mutated = bytes;
        for (std::uint32_t change = 0; change <= random(4); ++change) {
            mutated[random(static_cast<std::uint32_t>(mutated.size()))] = static_cast<char>(random(256));
        }
        mutated.resize(random(static_cast<std::uint32_t>(mutated.size()) + 1));
        const auto read = decodeBeacon(mutated);
        cr_assert(!read || mutated.size() >= 8);
    }
}
