#pragma once

#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// The configuration that operators declare: one immutable document per version.
/// All structures are plain values; reading one from several threads is safe while no thread changes it.
namespace Trefoil
{

using Milliseconds = std::chrono::milliseconds;

/// What the operators weigh first when two choices are both safe.
enum class Objective {
    Latency,
    Headroom,
};

struct ZoneConfiguration
{
    ZoneId id;
    /// New work is kept away from the upstreams of a drained availability zone.
    bool drained = false;
};

struct RegionConfiguration
{
    RegionId id;
    std::vector<ZoneConfiguration> zones;
    /// Requests in flight that the region's upstreams may hold together, per service, in percent of their slots.
    std::int32_t limitPercent = 100;
    /// New work is kept out of a drained region.
    bool drained = false;
};

/// Link from one region to another, shared by all traffic.
struct LinkConfiguration
{
    RegionId from;
    RegionId to;
    Milliseconds delay{0};
    KilobitsPerSecond capacity;
};

struct UpstreamConfiguration
{
    UpstreamId id;
    RegionId region;
    ZoneId zone;
    /// IP number and port, for example 127.0.0.1:9001.
    std::string address;
    SlotCount slots;
    ConnectionCount connections;
    /// Relative share of work when nothing has been measured.
    std::int32_t weight = 100;
    bool drained = false;
};

/// Cap on the requests that may begin to be served outside their home region.
struct ShiftCap
{
    /// Requests per interval over all hosts, counted at the serving region.
    RequestCount requests;
    Milliseconds interval{10000};
};

struct ServiceConfiguration
{
    ServiceId id;
    Objective objective = Objective::Latency;
    ShiftCap shiftCap;
    std::vector<UpstreamConfiguration> upstreams;
};

/// A class of requests with its defaults; a request names its class.
struct ClassConfiguration
{
    ClassId id;
    bool mayWait = false;
    bool mayRepeat = true;
    Milliseconds defaultDeadline{5000};
    /// Longest silence on an upstream connection while an answer is awaited or read.
    Milliseconds progressTimeout{2000};
};

struct TenantConfiguration
{
    TenantId id;
    /// Weight of the tenant in the waiting queue.
    std::int32_t weight = 100;
};

/// Client addresses that share a home region, IPv4 in CIDR form.
struct ClientBlockConfiguration
{
    std::string block;
    RegionId region;
};

struct Configuration
{
    ConfigurationVersion version;
    std::vector<RegionConfiguration> regions;
    std::vector<LinkConfiguration> links;
    std::vector<ServiceConfiguration> services;
    std::vector<ClassConfiguration> classes;
    std::vector<TenantConfiguration> tenants;
    std::vector<ClientBlockConfiguration> clientBlocks;
};

} // namespace Trefoil
