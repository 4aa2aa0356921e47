#pragma once

#include <LibGateway/beacon.h>

#include <boost/asio/spawn.hpp>

namespace Trefoil
{

/// Answers to which hosts callers may be sent. Hosts of an availability zone that nobody asked for lately send this host no beacons;
/// a look-up for it asks them and awaits the first reply, instead of naming hosts of another region or ones that are dead.
/// Thread safety: all calls on the thread that runs the context.
class HostLookup
{
public:
    /// Precondition: context, directory and beacons outlive the object.
    HostLookup(boost::asio::io_context &context, HostDirectory &directory, BeaconSocket &beacons);

    /// Addresses for callers of an availability zone, as HostDirectory::addressesFor() chooses them, after 0.7 s at most.
    /// Precondition: the coroutine runs on the context.
    std::vector<std::string> addressesFor(const RegionId &region, const ZoneId &zone, const boost::asio::yield_context &yield);

private:
    boost::asio::io_context &m_context;
    HostDirectory &m_directory;
    BeaconSocket &m_beacons;
};

} // namespace Trefoil
