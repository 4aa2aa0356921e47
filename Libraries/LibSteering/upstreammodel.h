#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Trefoil
{

/// Load that an upstream reports in a response.
struct LoadReport
{
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    /// How long work takes on the machine at the moment of the report, relative to the usual time; nothing where the upstream does not report it.
    std::optional<double> workFactor{};
};

/// How an attempt at an upstream ended, as it concerns the upstream.
enum class AttemptOutcome {
    Success,
    /// A complete response that reports a failure of the upstream.
    Failed,
    /// No complete response.
    Broken,
    /// The upstream did not accept the request.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// Ended by this host or the caller; carries no information about the upstream.
    Cancelled,
};

/// Whether an upstream probably still has what it needs for a key in its cache.
enum class CacheState {
    Unlikely,
    Likely,
    Cached,
};

struct UpstreamIdentity
{
    UpstreamId id;
    ServiceId service;
    /// IP:port.
    std::string address;
    ZoneId zone;
    RegionId region;
    SlotCount slots;
    std::int64_t startedAt = 0;
};

/// This host's model of one upstream process: its load, its health, and the keys that it has served.
/// Thread safety: one thread at a time.
class UpstreamModel
{
public:
    explicit UpstreamModel(UpstreamIdentity identity);

    /// Precondition: none.
    const UpstreamIdentity &identity() const
    {
        return m_identity;
    }

    /// Hash of the id, the same on all hosts. Precondition: none.
    std::uint64_t hash() const
    {
        return m_hash;
    }

    /// Records a request that is about to be sent. Precondition: recordEnd() follows once.
    void recordStart();

    /// Records how a request ended. slowness is the ratio of the time it took to the expected time, if that is available; it is used only for
    /// successes.
    /// Precondition: recordStart() was called for the request.
    void recordEnd(AttemptOutcome outcome, std::optional<double> slowness, const std::optional<LoadReport> &report, BootTime now);

    /// Records that the upstream has served a request for a key. Precondition: none.
    void recordKey(std::uint64_t keyHash, BootTime now);

    /// Running and queued requests at the upstream: this host's own, and those of other hosts from the last reports. As the reports age, the mean
    /// load of the service replaces them. Precondition: meanLoadPerSlot is not negative.
    double occupancy(BootTime now, double meanLoadPerSlot) const;

    /// Expected fraction of requests that fail, from 0 to 1. It decays with time, so that an upstream that is no longer used is tried again.
    double failureRate(BootTime now) const;

    /// Ratio of its service time to the expected one; 1 is normal.
    double slowness(BootTime now) const;

    /// Ratio of the time that work takes on the upstream's machine to the usual time: the mean of the recent reports, which decays to 1. The speed of a
    /// machine changes several times during one request, so that the last report alone says little about it. 1 where the upstream does not report it.
    /// Precondition: none.
    double workFactor(BootTime now) const;

    /// Whether a report of the upstream had a work factor. Precondition: none.
    bool reportsWorkFactor() const
    {
        return m_workFactorAt.has_value();
    }

    /// True if the key is among those stored by recordKey(). Precondition: none.
    bool hasServedKey(std::uint64_t keyHash) const;

    /// Precondition: none.
    std::int32_t inFlight() const
    {
        return m_inFlight;
    }

    /// Extends the time until which the upstream counts as cold; an earlier time is ignored. Precondition: none.
    void setColdUntil(BootTime until);

    /// Precondition: none.
    BootTime coldUntil() const
    {
        return m_coldUntil;
    }

    /// Precondition: none.
    bool isCold(BootTime now) const
    {
        return now < m_coldUntil;
    }

    /// True when no further request may be sent; those in flight continue.
    bool isLeaving = false;

private:
    /// Raises the failure rate by a failure of that weight.
    void raiseFailureRate(double weight, BootTime now);

    /// Maximum number of keys stored for one upstream; the upstream evicts the rest from its cache long before.
    static constexpr std::size_t s_maximumKeys = 512;

    UpstreamIdentity m_identity;
    std::uint64_t m_hash;
    std::int32_t m_inFlight = 0;
    double m_otherRequests = 0;
    BootTime m_otherRequestsAt{};
    double m_failureRate = 0;
    BootTime m_failureRateAt{};
    double m_slowness = 1;
    BootTime m_slownessAt{};
    double m_workFactor = 1;
    /// Time of the last report with a work factor.
    std::optional<BootTime> m_workFactorAt;
    BootTime m_coldUntil{};
    std::unordered_map<std::uint64_t, BootTime> m_keys;
};

} // namespace Trefoil
