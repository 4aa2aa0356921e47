#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Trefoil
{

/// What a host says of itself in its row.
struct HostReport
{
    HostId id;
    /// Address for callers, IP:port.
    std::string address;
    ZoneId zone;
    RegionId region;
    /// Random number of the process.
    std::uint64_t incarnation = 0;
    /// Grows with each report of one process.
    std::uint64_t number = 0;
    /// The host takes no new callers.
    bool leaving = false;
};

struct HostDirectorySettings
{
    HostId self;
    /// A host whose report has not changed for this long is taken for dead.
    std::chrono::milliseconds silenceLimit{4000};
    /// Most addresses of one answer.
    std::size_t maximumAddresses = 16;
};

/// The hosts that callers may be sent to, from reports read from time to time.
/// Silence counts only while reports can be read: an outage of the store says nothing about the hosts.
/// Thread safety: one thread at a time.
class HostDirectory
{
public:
    explicit HostDirectory(HostDirectorySettings settings);

    /// Takes all reports that stand in the store now. Precondition: now does not go back.
    void apply(const std::vector<HostReport> &reports, BootTime now);

    /// Notes that reports could not be read, so that no host's silence counts until the limit has passed again.
    void noteOutage(BootTime now);

    /// Takes this host's own report, which needs no store. Precondition: its id is that of the settings.
    void setSelf(HostReport report);

    /// Addresses for callers of an availability zone: its hosts, else those of the region, else all. Precondition: none.
    std::vector<std::string> addressesFor(const RegionId &region, const ZoneId &zone) const;

    /// Ids of the live hosts, this one included. Precondition: none.
    std::vector<HostId> liveHosts() const;

private:
    struct Known
    {
        HostReport report;
        BootTime changedAt;
        bool isAlive = true;
    };

    bool isUsable(const Known &known) const;

    HostDirectorySettings m_settings;
    std::map<HostId, Known> m_hosts;
};

} // namespace Trefoil
