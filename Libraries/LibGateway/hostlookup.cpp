#include <LibGateway/hostlookup.h>

#include <LibCore/sleep.h>

namespace Trefoil
{

namespace
{

/// Callers try another host when a look-up takes longer than one second.
constexpr std::chrono::milliseconds s_maximumWait{700};
/// Replies of one zone arrive within a few milliseconds of each other, so that one interval collects more than the first of them.
constexpr std::chrono::milliseconds s_pollInterval{20};

} // namespace

HostLookup::HostLookup(boost::asio::io_context &context, HostDirectory &directory, BeaconSocket &beacons)
    : m_context(context)
    , m_directory(directory)
    , m_beacons(beacons)
{
}

std::vector<std::string> HostLookup::addressesFor(const RegionId &region, const ZoneId &zone, const boost::asio::yield_context &yield)
{
    const BootTime deadline = BootClock::now() + s_maximumWait;
    while (BootClock::now() < deadline) {
        const auto awaited = m_directory.hostsToAwait(region, zone, BootClock::now());
        if (awaited.empty()) {
            break;
        }
        m_beacons.requestBeacons(awaited);
        sleepFor(m_context, s_pollInterval, yield);
    }
    return m_directory.addressesFor(region, zone, BootClock::now());
}

} // namespace Trefoil
