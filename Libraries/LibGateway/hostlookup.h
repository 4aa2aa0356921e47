#pragma once

#include <LibGateway/beacon.h>

#include <boost/asio/spawn.hpp>

namespace Trefoil
{

/// Looks up the hosts to which callers may be sent. Hosts of an availability zone without recent look-ups send this host no
/// beacons; a look-up for such a zone requests beacons and awaits the first reply, instead of returning hosts of another region or
/// unresponsive ones.
/// Thread safety: all calls on the thread that runs the context.
class HostLookup
{
public:
    /// Precondition: context, directory and beacons outlive the object.
    HostLookup(boost::asio::io_context &context, HostDirectory &directory, BeaconSocket &beacons);

    /// Returns addresses for callers of an availability zone, as HostDirectory::addressesFor() chooses them, within 0.7 s.
    /// Precondition: the coroutine runs on the context.
    std::vector<std::string> addressesFor(const RegionId &region, const ZoneId &zone, const boost::asio::yield_context &yield);

private:
    boost::asio::io_context &m_context;
    HostDirectory &m_directory;
    BeaconSocket &m_beacons;
};

} // namespace Trefoil
