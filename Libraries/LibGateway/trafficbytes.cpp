#include <LibGateway/trafficbytes.h>

namespace Trefoil
{

namespace
{

constexpr std::array<std::string_view, s_trafficPurposeCount> s_purposeNames = {"request", "response", "beacon", "feed"};
constexpr std::array<std::string_view, s_zoneRelationCount> s_relationNames = {"same-zone", "same-region", "other-region"};

} // namespace

ZoneRelation relationBetween(const ZoneId &zone, const RegionId &region, const ZoneId &otherZone, const RegionId &otherRegion)
{
    if (region != otherRegion) {
        return ZoneRelation::OtherRegion;
    }
    return zone == otherZone ? ZoneRelation::SameZone : ZoneRelation::SameRegion;
}

void TrafficBytes::addAll(const TrafficBytes &other)
{
    for (std::size_t purpose = 0; purpose < s_trafficPurposeCount; ++purpose) {
        for (std::size_t relation = 0; relation < s_zoneRelationCount; ++relation) {
            m_bytes[purpose][relation] += other.m_bytes[purpose][relation];
        }
    }
}

void TrafficBytes::writeTo(ScrapeWriter &writer) const
{
    writer.begin("trefoil_traffic_bytes_total", "counter", "Bytes to and from upstreams and to other hosts by purpose and by where the other side is.");
    for (std::size_t purpose = 0; purpose < s_trafficPurposeCount; ++purpose) {
        for (std::size_t relation = 0; relation < s_zoneRelationCount; ++relation) {
            writer.sample("", {{"purpose", s_purposeNames[purpose]}, {"to", s_relationNames[relation]}}, static_cast<double>(m_bytes[purpose][relation]));
        }
    }
}

} // namespace Trefoil
