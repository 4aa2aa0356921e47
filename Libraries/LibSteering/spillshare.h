#pragma once

#include <LibCore/bootclock.h>

#include <cstddef>

namespace Trefoil
{

struct SpillShareSettings
{
    std::size_t regions = 1;
    /// Largest part of a region's requests that may change their region from one window of 2 s to the next.
    double maximumShift = 0.15;
};

/// The share of a service's requests that a host sends to upstreams of other regions, because those of its own are short of
/// slots. It moves slowly, so that a region never sees a large part of the load come or go at once.
/// Answers load that differs between regions, whose upstreams differ too, and waves that move through the regions.
/// Thread safety: one thread at a time.
class SpillShare
{
public:
    /// What was seen of the own region's upstreams of the service.
    struct Observation
    {
        /// Requests that run or wait.
        double occupancy = 0;
        double slots = 0;
        /// Slots of the service in other regions.
        double otherSlots = 0;
    };

    /// Starts at the share that would fill all regions alike if each had the same load. Precondition: regions is at least 1.
    SpillShare(const Observation &start, const SpillShareSettings &settings, BootTime now);

    /// Moves the share towards what the load asks for. Precondition: now does not go back.
    void observe(const Observation &observation, BootTime now);

    /// Whether a request is sent to another region. The position, from 0 to 1, comes from the request's key, so that a key
    /// stays where it is while the share changes little. Precondition: none.
    bool isSpilled(double position) const
    {
        return position < m_share;
    }

    /// From 0 to 1. Precondition: none.
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
