#pragma once

namespace Trefoil
{

/// Load of the upstreams of one service in one region, in running and waiting requests per slot: a moving average of their reports.
/// Handles the first seconds of a process, when reports of requests that were sent to full upstreams are still to come: without an estimate, all hosts
/// fill the queues of the region at once and then reject nearly everything until these are empty.
/// Thread safety: one thread at a time.
class RegionLoad
{
public:
    /// Records the load of one report. Precondition: requestsPerSlot is not negative.
    void recordReport(double requestsPerSlot);

    /// Mean of the reports; 0 before the first one. Precondition: none.
    double reported() const
    {
        return m_mean;
    }

    /// Whether the mean is close to the load that upstreams report. Precondition: none.
    bool hasEnoughReports() const;

    /// The load while there are few reports: at least that which follows from this host's own requests in flight per slot, if so many hosts send as much
    /// as this one. Precondition: both are not negative.
    double estimate(double ownRequestsPerSlot, double hosts) const;

private:
    double m_mean = 0;
    int m_reports = 0;
};

} // namespace Trefoil
