#pragma once

#include <LibCore/strongid.h>
#include <LibTelemetry/scrapewriter.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace Trefoil
{

/// What bytes between hosts, and between hosts and upstreams, are for.
enum class TrafficPurpose {
    /// Requests to upstreams.
    Request,
    /// Responses of upstreams.
    Response,
    /// Beacons to other hosts.
    Beacon,
    /// Changes and copies of tables for hosts of the same zone.
    Feed,
};
constexpr std::size_t s_trafficPurposeCount = 4;

/// Where the other side is. Bytes to another availability zone cost money, those to another region more.
enum class ZoneRelation {
    SameZone,
    SameRegion,
    OtherRegion,
};
constexpr std::size_t s_zoneRelationCount = 3;

/// Precondition: none. Thread safety: safe from any thread.
ZoneRelation relationBetween(const ZoneId &zone, const RegionId &region, const ZoneId &otherZone, const RegionId &otherRegion);

/// Bytes by purpose and by where the other side is. Thread safety: one thread at a time.
class TrafficBytes
{
public:
    /// Precondition: none.
    void add(TrafficPurpose purpose, ZoneRelation relation, std::uint64_t bytes)
    {
        m_bytes[static_cast<std::size_t>(purpose)][static_cast<std::size_t>(relation)] += bytes;
    }

    /// Precondition: none.
    std::uint64_t of(TrafficPurpose purpose, ZoneRelation relation) const
    {
        return m_bytes[static_cast<std::size_t>(purpose)][static_cast<std::size_t>(relation)];
    }

    /// Adds all counts of another object. Precondition: none.
    void addAll(const TrafficBytes &other);

    /// Writes all counts to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer) const;

private:
    std::array<std::array<std::uint64_t, s_zoneRelationCount>, s_trafficPurposeCount> m_bytes{};
};

} // namespace Trefoil
