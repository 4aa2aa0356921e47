#include <LibSteering/regionload.h>

#include <algorithm>

namespace Trefoil
{

namespace
{

/// Weight of one new report; a host receives about ten reports a second.
constexpr double s_reportWeight = 0.04;
/// Maximum load per slot that one report adds to the mean: the long queue of one upstream doesn't show that the others are full.
constexpr double s_maximumLoadPerReport = 1.5;
/// The mean starts at 0; after this many reports it has seven eighths of a constant load.
constexpr int s_sufficientReports = 50;

} // namespace

void RegionLoad::recordReport(double requestsPerSlot)
{
    m_mean += s_reportWeight * (std::min(requestsPerSlot, s_maximumLoadPerReport) - m_mean);
    m_reports = std::min(m_reports + 1, s_sufficientReports);
}

bool RegionLoad::hasEnoughReports() const
{
    return m_reports >= s_sufficientReports;
}

double RegionLoad::estimate(double ownRequestsPerSlot, double hosts) const
{
    return std::max(m_mean, ownRequestsPerSlot * hosts);
}

} // namespace Trefoil
