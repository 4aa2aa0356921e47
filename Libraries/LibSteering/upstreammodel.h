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
};

/// How an attempt at an upstream ended, as far as the upstream is concerned.
enum class AttemptOutcome {
    Success,
    /// A complete response that reports a failure of the upstream.
    Failed,
    /// No complete response.
    Broken,
    /// The upstream did not take the request.
    Shed,
    /// No connection.
    Unreachable,
    /// Ended by this host or the caller; says nothing about the upstream.
    Cancelled,
};

/// Whether an upstream probably still holds what it needs for a key.
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

/// What one host believes about one upstream process: its load, its health, and which keys it has seen.
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

    /// Counts a request that is about to be sent. Precondition: recordEnd() follows once.
    void recordStart();

    /// Takes how a request ended. slowness is the time it took relative to the time expected, if that is known; it counts only
    /// for successes.
    /// Precondition: recordStart() was called for the request.
    void recordEnd(AttemptOutcome outcome, std::optional<double> slowness, const std::optional<LoadReport> &report, BootTime now);

    /// Notes that the upstream has handled a key. Precondition: none.
    void recordKey(std::uint64_t keyHash, BootTime now);

    /// Requests that run or wait at the upstream: this host's own, and others' by the last reports. As those age, what is usual
    /// for each slot of the service takes their place. Precondition: usualPerSlot is not negative.
    double occupancy(BootTime now, double meanLoadPerSlot) const;

    /// Expected share of requests that fail, from 0 to 1. It falls with time, so that an upstream that was given up is tried again.
    double failureRate(BootTime now) const;

    /// Time of its work relative to what is expected; 1 is usual.
    double slowness(BootTime now) const;

    /// Precondition: none.
    bool hasServedKey(std::uint64_t keyHash) const;

    /// Precondition: none.
    std::int32_t inFlight() const
    {
        return m_inFlight;
    }

    /// Extends the time for which the upstream counts as cold. Precondition: none.
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

    /// No request may be sent from now on; those in flight go on.
    bool isLeaving = false;

private:
    /// Raises the failure rate after a sample of that weight.
    void raiseFailureRate(double weight, BootTime now);

    /// Keys kept for one upstream; an upstream forgets the rest long before.
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
    BootTime m_coldUntil{};
    std::unordered_map<std::uint64_t, BootTime> m_keys;
};

} // namespace Trefoil
