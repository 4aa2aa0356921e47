#include "testsite.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Trefoil;

namespace
{

UpstreamStandInSettings slowUpstream(std::chrono::milliseconds serviceTime)
{
    UpstreamStandInSettings settings;
    settings.serviceTime = serviceTime;
    return settings;
}

} // namespace

// Guards against a dispatch by a host whose lease has ended.
Test(RequestPath, nothingIsSentWithoutLease)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    host.host().state().lease.revoke();
    TestCaller caller;
    const CallResult result = caller.call(host.address(), testRequest("browse"));
    cr_assert_eq(summaryOf(result), "503 not-run");
    cr_assert_eq(std::get<HttpResponse>(result).headers.value("Trefoil-Reason"), "lease-expired");
    cr_assert_eq(upstreams.startedRequests(), 0);
}

// Guards against a non-repeatable request that is sent without a claim.
Test(RequestPath, nothingIsSentWithoutStore)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    const CallResult result = caller.call(host.address(), testRequest("order", "1800000000-key-1"));
    cr_assert_eq(summaryOf(result), "503 not-run");
    cr_assert_eq(std::get<HttpResponse>(result).headers.value("Trefoil-Reason"), "store-unavailable");
    cr_assert_eq(upstreams.startedRequests(), 0);
}

// Guards against a remaining time that is not reduced on the path to the upstream, and against request ids that callers can't correlate.
Test(RequestPath, deadlineShrinksOnTheWay)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    HttpRequest request = testRequest("browse");
    request.headers.add("Trefoil-Deadline-Ms", "800");
    const CallResult result = caller.call(host.address(), request);
    const auto &response = std::get<HttpResponse>(result);
    const auto body = nlohmann::json::parse(response.body);
    const int deadline = std::stoi(body.value("deadlineMs", "0"));
    cr_assert(deadline > 0 && deadline < 800, "%d", deadline);
    cr_assert_eq(response.headers.value("Trefoil-Request-Id"), body.value("request", ""));
}

// Guards against more concurrent requests than granted slots, and against queued requests that are never dispatched.
Test(RequestPath, queuedRequestsAreServedWithinTheGrant)
{
    TestUpstreams upstreams(1, slowUpstream(std::chrono::milliseconds(20)));
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams, 2);
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> answered{0};
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&] {
            TestCaller caller;
            for (int j = 0; j < 5; ++j) {
                answered += summaryOf(caller.call(host.address(), testRequest("browse"))) == "200 answered" ? 1 : 0;
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    cr_assert_eq(answered.load(), 40);
    cr_assert_leq(upstreams[0].counts().highestConcurrency, 2);
    cr_assert_eq(upstreams[0].counts().shed, 0);
}

// Guards against work that continues after its caller has disconnected, and against the reuse of its slot while the upstream is still processing it.
Test(RequestPath, callerDisconnectCancelsTheWork)
{
    TestUpstreams upstreams(1, slowUpstream(std::chrono::milliseconds(150)));
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams, 1);
    TestCaller caller;
    const CallResult left = caller.call(host.address(), testRequest("browse"), std::chrono::milliseconds(50));
    cr_assert_eq(summaryOf(left), "deadline-exceeded");
    cr_assert_eq(summaryOf(caller.call(host.address(), testRequest("browse"))), "200 answered");
    cr_assert_eq(upstreams[0].counts().cancelled, 1);
    cr_assert_leq(upstreams[0].counts().highestConcurrency, 1);
    cr_assert_eq(upstreams[0].counts().shed, 0);
}

// Guards against the reuse of a slot while the upstream is still processing an abandoned non-repeatable request.
Test(RequestPath, slotOfAbandonedWorkStaysReserved)
{
    TestUpstreams upstreams(1, slowUpstream(std::chrono::milliseconds(400)));
    MemoryClaims claims;
    TestHost host(testHostOptions("host-1", "gulf"), claims.access(), &upstreams, 1);
    TestCaller caller;
    HttpRequest order = testRequest("order", "1800000000-key-1");
    order.headers.add("Trefoil-Deadline-Ms", "600");
    cr_assert_eq(summaryOf(caller.call(host.address(), order)), "504 unknown");
    HttpRequest next = testRequest("browse");
    caller.call(host.address(), next);
    cr_assert_eq(upstreams[0].counts().shed, 0);
    cr_assert_leq(upstreams[0].counts().highestConcurrency, 1);
}

// Guards against requests that fail in a region without upstreams, against relaying without the secret that hosts share, and against
// requests that are relayed more than once.
Test(RequestPath, relayOnceToAnotherRegion)
{
    TestUpstreams upstreams(1, {});
    MemoryClaims claims;
    TestHost server(testHostOptions("host-1", "gulf"), claims.access(), &upstreams);
    TestHost relaying(testHostOptions("host-2", "plains"), claims.access(), nullptr);
    TestHost third(testHostOptions("host-3", "plains"), claims.access(), nullptr);
    relaying.setHosts({server.routing(), relaying.routing()});
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    TestCaller caller;
    cr_assert_eq(summaryOf(caller.call(relaying.address(), testRequest("browse"))), "200 answered");
    cr_assert_eq(summaryOf(caller.call(relaying.address(), testRequest("order", "1800000000-key-1"))), "200 answered");
    cr_assert_eq(summaryOf(caller.call(server.address(), testRequest("order", "1800000000-key-1"))), "200 answered");
    cr_assert_eq(upstreams.startedRequests(), 2);
    relaying.setHosts({relaying.routing(), third.routing()});
    third.setHosts({server.routing(), third.routing()});
    cr_assert_eq(summaryOf(caller.call(relaying.address(), testRequest("browse"))), "503 not-run");
    cr_assert_eq(upstreams.startedRequests(), 2);
}

// Guards against clients without the hosts' secret that set the home region or request id as if they were hosts.
Test(RequestPath, relayNeedsTheSecret)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    HttpRequest request = testRequest("browse");
    request.headers.add("Trefoil-Relay", "host-9");
    request.headers.add("Trefoil-Home-Region", "gulf");
    request.headers.add("Trefoil-Request-Id", "id-1");
    cr_assert_eq(summaryOf(caller.call(host.address(), request)), "401 not-run");
    request.headers.add("Authorization", "Bearer test secreT");
    cr_assert_eq(summaryOf(caller.call(host.address(), request)), "401 not-run");
    cr_assert_eq(upstreams.startedRequests(), 0);
}

// Guards against requests of another region that are served without a reservation in the shift window (P1).
Test(RequestPath, movedRequestsNeedTheShiftWindow)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    TestCaller caller;
    HttpRequest request = testRequest("browse");
    request.headers.add("Trefoil-Client", "198.51.100.7");
    request.headers.add("Trefoil-Deadline-Ms", "100");
    cr_assert_eq(summaryOf(caller.call(host.address(), request)), "503 not-run");
    cr_assert_eq(upstreams.startedRequests(), 0);
}

// Guards against look-ups that send callers to a host that is stopping or leaving.
Test(RequestPath, lookupOmitsLeavingHosts)
{
    TestUpstreams upstreams(1, {});
    TestHost host(testHostOptions("host-1", "gulf"), {}, &upstreams);
    HostRouting leaving{HostId("host-2"), RegionId("gulf"), ZoneId("gulf-a"), "127.0.0.1:2", "127.0.0.1:3", true, SlotCount(1)};
    HostRouting far{HostId("host-3"), RegionId("plains"), ZoneId("plains-a"), "127.0.0.1:4", "127.0.0.1:5", false, SlotCount(1)};
    host.setHosts({leaving, far, host.routing()});
    TestCaller caller;
    const HttpRequest lookup{"GET", "/v1/lookup?service=catalogue-svc&client=127.0.0.9"};
    const auto hostsOf = [](const CallResult &result) {
        std::string ids;
        const auto body = nlohmann::json::parse(std::get<HttpResponse>(result).body);
        for (const auto &entry : body["hosts"]) {
            ids += entry.value("id", "") + " ";
        }
        return ids;
    };
    cr_assert_eq(hostsOf(caller.call(host.address(), lookup)), "host-1 host-3 ");
    host.host().requestStop();
    cr_assert_eq(hostsOf(caller.call(host.address(), lookup)), "host-3 ");
}

// Guards against keys whose stored response or state can't be read back.
Test(RequestPath, keyStatus)
{
    TestUpstreams upstreams(1, {});
    MemoryClaims claims;
    TestHost host(testHostOptions("host-1", "gulf"), claims.access(), &upstreams);
    TestCaller caller;
    const HttpRequest query{"GET", "/v1/keys/catalogue-svc/museum/1800000000-key-1"};
    cr_assert_eq(summaryOf(caller.call(host.address(), query)), "404 ");
    cr_assert_eq(summaryOf(caller.call(host.address(), testRequest("order", "1800000000-key-1"))), "200 answered");
    const CallResult answered = caller.call(host.address(), query);
    cr_assert_eq(nlohmann::json::parse(std::get<HttpResponse>(answered).body).value("outcome", ""), "answered");
}
