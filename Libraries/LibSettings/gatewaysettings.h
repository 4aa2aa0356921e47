#pragma once

#include <LibCore/result.h>
#include <LibCore/strongid.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// How look-ups choose among the hosts of an availability zone.
enum class EntryHostChoice {
    Even,
    /// By what each host can carry.
    Capacity,
};

/// Limits that operators set for a gateway host.
struct GatewayLimits
{
    /// From the signal to stop until the process is killed.
    std::chrono::milliseconds stopGrace{6000};
    /// Longest lifetime of a look-up.
    std::chrono::milliseconds lookupLifetime{5000};
    /// Retries of all hosts: this share of the requests of a service, and this many more, in each window.
    double retryRatio = 0.2;
    std::chrono::milliseconds retryWindow{10000};
    double retrySlack = 0;
    /// Requests of all hosts to a cold upstream in one second: its rate times the factor, and this many more.
    double coldFactor = 1;
    double coldSlack = 0;
    /// Largest part of a region's requests that may change their region from one window of 2 s to the next.
    double maximumShift = 0.15;
    /// A leaving upstream may get requests for this long after it is registered as leaving.
    std::chrono::milliseconds drainNotice{2000};
    /// A configuration must be in force on every host within this time.
    std::chrono::milliseconds configurationApply{2000};
    /// Memory of the process, in megabytes; the smallest host has 160.
    double memory = 160;
    /// Whether a request must not run once its key was taken away for revocationTime, also at a host that can't reach the store.
    bool isRevocationStrict = false;
    std::chrono::milliseconds revocationTime{5000};
    /// Requests of a customer in each window, on all hosts together, beyond its rate and burst: this share of them, and this many more.
    std::chrono::milliseconds quotaWindow{5000};
    double quotaOverage = 0;
    double quotaSlack = 0;
    /// Part of a processor core, link in Mbit/s, and file descriptors of the host; 0 where that is not known.
    double cores = 0;
    double linkMegabits = 0;
    double descriptors = 0;
    /// Nothing where the settings leave it to the deployment's terms.
    std::optional<EntryHostChoice> entryHostChoice;
};

/// Settings of a host that runs as a gateway on the operators' platform.
struct PlatformHostSettings
{
    HostId host;
    ZoneId zone;
    RegionId region;
    /// Local IP of outgoing connections.
    std::string sourceAddress;
    /// Listening IP:port for requests, for the readiness check and for look-ups.
    std::string callerAddress;
    std::string readinessAddress;
    std::string lookupAddress;
    /// IP:port for datagrams of other hosts.
    std::string peerAddress;
    /// Listening IP:port for scrapes of the metrics.
    std::string metricsAddress;
    /// Region of each availability zone.
    std::map<ZoneId, RegionId> zones;
    /// IP:port of the platform's store.
    std::string storeAddress;
    GatewayLimits limits;
    /// Names of the terms that are in force in the deployment; the adapter of the platform reads them.
    std::vector<std::string> terms;
    /// Whether all hosts of the deployment start for the first time, so that the store holds no rows of hosts yet.
    bool isFirstStart = false;
};

/// Reads the settings file of a gateway host. All findings are reported together, each with its JSON pointer.
/// Precondition: none. Thread safety: safe from any thread.
Result<PlatformHostSettings> parseGatewaySettings(const std::string &text);

/// Reads a time such as "1500ms" or "2.5s"; nothing when it has another form or is negative.
/// Precondition: none. Thread safety: safe from any thread.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace Trefoil
