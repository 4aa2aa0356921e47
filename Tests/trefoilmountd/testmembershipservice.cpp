#include <Services/trefoilmountd/membershipservice.h>

#include <StandIns/hostlist.h>
#include <StandIns/tablestore.h>

#include <criterion/criterion.h>

using namespace Trefoil;

namespace
{

/// The membership service of one host without peers, with the platform's stand-ins.
struct SingleHost
{
    SingleHost()
    {
        HostSettings settings;
        settings.host = HostId("alone");
        settings.region = RegionId("gulf");
        settings.zone = ZoneId("gulf-a");
        settings.sourceAddress = "127.0.0.1";
        settings.tableAddress = tableServer.address();
        settings.hostListAddress = listServer.address();
        auto result = MembershipService::create(
            context, settings, Incarnation(1), state, {[](const HostId &, const PeerMessage &) {}, [](const std::vector<PeerEndpoint> &) {}});
        cr_assert(result.has_value());
        service = std::move(result.value());
        service->setLeaseCondition([this](BootTime) { return isConfigurationCurrent; });
        service->start();
    }

    bool hasLease() const
    {
        return state.lease.isValid(BootClock::now());
    }

    bool waitForLease(bool lease, std::chrono::milliseconds limit)
    {
        const BootTime end = BootClock::now() + limit;
        while (hasLease() != lease && BootClock::now() < end) {
            context.run_for(std::chrono::milliseconds(5));
        }
        return hasLease() == lease;
    }

    boost::asio::io_context context;
    SnapshotReaderThread readerThread;
    StandIns::TableStore tableStore;
    StandIns::HostList hostList;
    StandIns::PlatformServer tableServer{context, "127.0.0.1:0", StandIns::tableService(tableStore)};
    StandIns::PlatformServer listServer{context, "127.0.0.1:0", StandIns::hostListService(hostList)};
    HostState state{HostId("alone"), RegionId("gulf"), ZoneId("gulf-a")};
    bool isConfigurationCurrent = true;
    std::unique_ptr<MembershipService> service;
};

} // namespace

// Guards against a host that keeps serving until its 3 s lease ends, although its configuration has been outdated for 2 s.
Test(MembershipService, leaseEndsWithItsCondition)
{
    SingleHost host;
    cr_assert(host.waitForLease(true, std::chrono::milliseconds(3000)), "the lease does not start");
    host.isConfigurationCurrent = false;
    cr_assert(host.waitForLease(false, std::chrono::milliseconds(300)), "the lease stays valid");
    host.context.run_for(std::chrono::milliseconds(1500));
    cr_assert_not(host.hasLease(), "a renewal makes the lease valid again");
    host.isConfigurationCurrent = true;
    cr_assert(host.waitForLease(true, std::chrono::milliseconds(1500)), "the lease does not become valid again");
}
