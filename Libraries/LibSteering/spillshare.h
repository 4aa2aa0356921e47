#pragma once

#include <LibCore/bootclock.h>

#include <cstddef>

namespace Trefoil
{

struct SpillShareSettings
{
    std::size_t regions = 1;
    /// Maximum fraction of a region's requests that may change their region from one window of 2 s to the next.
    double maximumShift = 0.15;
};

/// The fraction of a service's requests that this host sends to upstreams of other regions because those of its own region are short of slots. It
/// changes slowly, so that a region never gains or loses a large part of its load at once.
/// Handles load and upstream capacity that differ between regions, and waves of load that move through the regions.
/// Thread safety: one thread at a time.
class SpillShare
{
public:
    /// Observed state of the service's upstreams in this host's region, and their slots in the others.
    struct Observation
    {
        /// Running and queued requests in this host's region.
        double occupancy = 0;
        double slots = 0;
        /// Slots of the service in other regions.
        double otherSlots = 0;
    };

    /// Starts with the share that would load all regions equally if each received the same number of requests. Precondition: regions is at least 1.
    SpillShare(const Observation &start, const SpillShareSettings &settings, BootTime now);

    /// Moves the share towards the value that the load requires. Precondition: now does not go backwards.
    void observe(const Observation &observation, BootTime now);

    /// Whether a request is sent to another region. position, from 0 to 1, is derived from the request's key, so that a key keeps its region while
    /// the share changes little. Precondition: none.
    bool isSpilled(double position) const
    {
        return position < m_share;
    }

    /// Current fraction of requests sent to other regions, from 0 to 1. Precondition: none.
    double share() const
    {
        return m_share;
    }

private:
    SpillShareSettings m_settings;
    double m_share;
    double m_load;
    BootTime m_observedAt;
};

} // namespace Trefoil
