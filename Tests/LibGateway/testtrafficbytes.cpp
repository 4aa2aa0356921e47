#include <LibGateway/beacon.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct RelationCase
{
    char zone[16];
    char region[16];
    ZoneRelation expected;
};

const BootTime s_start{std::chrono::hours(1)};

HostRegistration registration(const std::string &id, const std::string &zone, const std::string &region)
{
    return {HostId(id), "127.0.0.1:1", "127.0.0.1:9", ZoneId(zone), RegionId(region), 1};
}

} // namespace

// Guards against bytes that cross zones or regions and are counted as local.
ParameterizedTestParameters(TrafficBytes, relations)
{
    static RelationCase cases[] = {
        {"gulf-a", "gulf", ZoneRelation::SameZone},
        {"gulf-b", "gulf", ZoneRelation::SameRegion},
        {"hill-a", "hill", ZoneRelation::OtherRegion},
        {"gulf-a", "hill", ZoneRelation::OtherRegion},
    };
    return cr_make_param_array(RelationCase, cases, std::size(cases));
}

ParameterizedTest(RelationCase *testCase, TrafficBytes, relations)
{
    const auto relation = relationBetween(ZoneId("gulf-a"), RegionId("gulf"), ZoneId(testCase->zone), RegionId(testCase->region));
    cr_assert(relation == testCase->expected, "%s %s", testCase->zone, testCase->region);
}

// Guards against sums that mix purposes, and against beacons that are counted at the wrong place or not at all.
Test(TrafficBytes, beaconsCountByPlace)
{
    HostDirectory hosts({HostId("self"), ZoneId("gulf-a"), RegionId("gulf")});
    hosts.setSelf(registration("self", "gulf-a", "gulf"), HostPhase::Serving);
    hosts.add(registration("peer", "gulf-a", "gulf"), s_start);
    hosts.add(registration("far", "hill-a", "hill"), s_start);
    cr_assert(hosts.relationTo(HostId("peer")) == ZoneRelation::SameZone);
    cr_assert(hosts.relationTo(HostId("far")) == ZoneRelation::OtherRegion);
    cr_assert_not(hosts.relationTo(HostId("stranger")).has_value());
    boost::asio::io_context context;
    auto beacons = std::move(BeaconSocket::create(context, "127.0.0.1:0", HostId("self"), hosts).value());
    beacons->sendAll(HostPhase::Serving, true);
    const auto ofZone = beacons->traffic().of(TrafficPurpose::Beacon, ZoneRelation::SameZone);
    cr_assert_gt(ofZone, 0);
    cr_assert_eq(beacons->traffic().of(TrafficPurpose::Beacon, ZoneRelation::OtherRegion), 0, "no look-up asked for its zone");
    beacons->requestBeacons({registration("far", "hill-a", "hill")});
    cr_assert_gt(beacons->traffic().of(TrafficPurpose::Beacon, ZoneRelation::OtherRegion), 0);
    TrafficBytes sum;
    sum.add(TrafficPurpose::Request, ZoneRelation::SameZone, 5);
    sum.addAll(beacons->traffic());
    cr_assert_eq(sum.of(TrafficPurpose::Request, ZoneRelation::SameZone), 5);
    cr_assert_eq(sum.of(TrafficPurpose::Beacon, ZoneRelation::SameZone), ofZone);
}
