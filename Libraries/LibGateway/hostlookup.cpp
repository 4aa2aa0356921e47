#include <LibGateway/hostlookup.h>

#include <LibCore/sleep.h>

namespace Trefoil
{

namespace
{

/// Callers give a look-up one second and ask another host then.
constexpr std::chrono::milliseconds s_longestWait{700};
/// Replies of one zone come within a few milliseconds of each other, so that an answer names more than the first of them.
constexpr std::chrono::milliseconds s_poll{20};

} // namespace

HostLookup::HostLookup(boost::asio::io_context &context, HostDirectory &directory, BeaconSocket &beacons)
    : m_context(context)
    , m_directory(directory)
    , m_beacons(beacons)
{
}

std::vector<std::string> HostLookup::addressesFor(const RegionId &region, const ZoneId &zone, const boost::asio::yield_context &yield)
{
    const BootTime deadline = BootClock::now() + s_longestWait;
    while (BootClock::now() < deadline) {
        const auto unknown = m_directory.unknownHosts(region, zone, BootClock::now());
        if (unknown.empty()) {
            break;
        }
        m_beacons.ask(unknown);
        sleepFor(m_context, s_poll, yield);
    }
    return m_directory.addressesFor(region, zone, BootClock::now());
}

} // namespace Trefoil
