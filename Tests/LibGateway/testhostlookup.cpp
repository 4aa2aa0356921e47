#include <LibCore/sleep.h>
#include <LibGateway/hostlookup.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

/// A host that sends and receives beacons on a port of its own.
struct Participant
{
    Participant(boost::asio::io_context &context, const std::string &id, const std::string &zone, const std::string &address = "127.0.0.1:0")
        : registration{HostId(id), id + ":80", "", ZoneId(zone), RegionId(zone.substr(0, zone.find('-'))), 1}
        , directory({registration.id, registration.zone, registration.region})
    {
        auto socket = BeaconSocket::create(context, address, registration.id, directory);
        cr_assert(socket.has_value());
        beacons = std::move(socket.value());
        registration.peerAddress = beacons->address();
        directory.setSelf(registration, HostPhase::Serving);
        beacons->sendAll(HostPhase::Serving, true);
    }

    HostRegistration registration;
    HostDirectory directory;
    std::unique_ptr<BeaconSocket> beacons;
};

std::string joined(const std::vector<std::string> &addresses)
{
    std::string text;
    for (const std::string &address : addresses) {
        text += address.substr(0, address.find(':')) + " ";
    }
    return text;
}

struct LookupCase
{
    char name[48];
    /// Availability zones of registered hosts that are live, and of unresponsive ones.
    char live[24];
    char unresponsive[24];
    char expected[24];
    /// Bounds of the duration of the look-up.
    int minimumMs;
    int maximumMs;
};

/// A deployment with one host in each zone; a caller of hill-a looks hosts up at the host of gulf-a.
struct Deployment
{
    Deployment(const std::string &live, const std::string &unresponsive)
    {
        for (const char *zone : {"hill-a", "hill-b", "gulf-b"}) {
            const bool isLive = live.find(zone) != std::string::npos;
            if (!isLive && unresponsive.find(zone) == std::string::npos) {
                continue;
            }
            auto participant = std::make_unique<Participant>(context, zone, zone);
            registrations.push_back(participant->registration);
            if (isLive) {
                others.push_back(std::move(participant));
            }
        }
        for (const auto &participant : others) {
            participant->directory.setRegistered(registrations, BootClock::now());
        }
        self.directory.setRegistered(registrations, BootClock::now());
    }

    std::string lookUp(const boost::asio::yield_context &yield)
    {
        return joined(lookup.addressesFor(RegionId("hill"), ZoneId("hill-a"), yield));
    }

    template<typename Function>
    void run(Function function)
    {
        boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) {
            function(yield);
            context.stop();
        });
        context.run();
    }

    boost::asio::io_context context{1};
    Participant self{context, "self", "gulf-a"};
    std::vector<std::unique_ptr<Participant>> others;
    std::vector<HostRegistration> registrations{self.registration};
    HostLookup lookup{context, self.directory, *self.beacons};
};

} // namespace

// Guards against first look-ups after a pause that return hosts of another region, or unresponsive ones.
ParameterizedTestParameters(HostLookup, firstLookups)
{
    static LookupCase cases[] = {
        {"the zone's host is live", "hill-a", "", "hill-a ", 0, 250},
        {"other zones are live, too", "hill-a gulf-b", "", "hill-a ", 0, 250},
        {"the zone's host is unresponsive", "gulf-b", "hill-a", "self ", 250, 700},
        {"no host of the zone is registered", "gulf-b", "", "self ", 0, 100},
        {"the zone is unresponsive, its region is live", "gulf-b hill-b", "hill-a", "hill-b ", 250, 700},
        {"only its region has hosts", "gulf-b hill-b", "", "hill-b ", 0, 250},
        {"the region is unresponsive", "gulf-b", "hill-a hill-b", "self ", 550, 900},
    };
    return cr_make_param_array(LookupCase, cases, std::size(cases));
}

ParameterizedTest(LookupCase *testCase, HostLookup, firstLookups)
{
    Deployment deployment(testCase->live, testCase->unresponsive);
    deployment.run([&](const boost::asio::yield_context &yield) {
        const BootTime start = BootClock::now();
        const std::string answer = deployment.lookUp(yield);
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - start).count();
        cr_assert_eq(answer, testCase->expected, "%s: %s", testCase->name, answer.c_str());
        cr_assert(time >= testCase->minimumMs && time <= testCase->maximumMs, "%s: %lld ms", testCase->name, static_cast<long long>(time));
        const BootTime again = BootClock::now();
        cr_assert_eq(deployment.lookUp(yield), testCase->expected, "%s", testCase->name);
        cr_assert(BootClock::now() - again < 20ms, "%s: the second look-up waits", testCase->name);
    });
}

// Guards against a first look-up that returns hosts of another region because one datagram was lost.
Test(HostLookup, lostBeaconRequestIsRepeated)
{
    Deployment deployment("", "hill-a");
    std::unique_ptr<Participant> late;
    boost::asio::spawn(deployment.context, [&](const boost::asio::yield_context &yield) {
        sleepFor(deployment.context, 50ms, yield);
        late = std::make_unique<Participant>(deployment.context, "hill-a", "hill-a", deployment.registrations.back().peerAddress);
        late->directory.setRegistered(deployment.registrations, BootClock::now());
    });
    deployment.run([&](const boost::asio::yield_context &yield) { cr_assert_eq(deployment.lookUp(yield), "hill-a "); });
}

// Guards against callers that wait longer because others look up the same zone, and against a beacon request for each of them.
Test(HostLookup, concurrentLookupsShareBeaconRequests)
{
    Deployment deployment("hill-a", "");
    int answered = 0;
    for (int i = 0; i < 50; ++i) {
        boost::asio::spawn(deployment.context, [&](const boost::asio::yield_context &yield) {
            cr_assert_eq(deployment.lookUp(yield), "hill-a ");
            ++answered;
        });
    }
    deployment.run([&](const boost::asio::yield_context &yield) { sleepFor(deployment.context, 200ms, yield); });
    cr_assert_eq(answered, 50);
}
