#include <LibReplication/changeserver.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};
const HostId s_subscriber{"subscriber"};

/// A server of one table, read in full at version 10, and the responses that it has sent.
struct Fixture
{
    Fixture()
        : server([this](const HostId &, const ChangesSince &response) { responses.push_back(response); })
    {
        server.addTable("things", 1000ms);
        server.reset("things", {{{"a", "0", 9, false}}, 10});
        server.confirm("things", s_start, s_start - 30ms);
    }

    std::vector<ChangesSince> responses;
    ChangeServer server;
};

struct RequestCase
{
    char name[48];
    char table[16];
    FeedVersion after;
    /// Time since the last confirmation by the store.
    int ageMilliseconds;
    /// "wait", "reject", "serve" for the changes or "whole" for the table.
    char expected[8];
};

} // namespace

// Guards against subscribers that get a stale copy served as a current one, or wait for a table that this host does not have.
ParameterizedTestParameters(ChangeServer, requests)
{
    static RequestCase cases[] = {
        {"nothing new", "things", 11, 0, "wait"},
        {"behind", "things", 10, 0, "serve"},
        {"ahead", "things", 50, 0, "wait"},
        {"before the log", "things", 9, 0, "whole"},
        {"a host that starts", "things", 0, 0, "whole"},
        {"a host that starts, not confirmed in time", "things", 0, 1001, "reject"},
        {"unknown table", "others", 11, 0, "reject"},
        {"confirmed just in time", "things", 11, 1000, "wait"},
        {"not confirmed in time", "things", 11, 1001, "reject"},
        {"not confirmed in time, with a change", "things", 10, 1001, "reject"},
    };
    return cr_make_param_array(RequestCase, cases, std::size(cases));
}

ParameterizedTest(RequestCase *testCase, ChangeServer, requests)
{
    Fixture fixture;
    fixture.server.append("things", {{{"a", "1", 11, false}}, 11}, s_start);
    fixture.server.request(s_subscriber, {7, testCase->table, testCase->after, 500}, s_start + std::chrono::milliseconds(testCase->ageMilliseconds));
    const ChangesSince *sent = fixture.responses.empty() ? nullptr : &fixture.responses.front();
    const std::string outcome = !sent ? "wait" : !sent->isServed ? "reject" : sent->isWholeTable ? "whole" : "serve";
    cr_assert_eq(outcome, testCase->expected, "%s: %s", testCase->name, outcome.c_str());
    if (outcome == "serve" || outcome == "whole") {
        cr_assert(sent->sequence == 7 && sent->version == 11 && sent->keys == std::vector<std::string>{"a"});
        cr_assert(sent->values == std::vector<std::string>{"1"} && sent->versions == std::vector<FeedVersion>{11});
    }
}

namespace
{

struct EraCase
{
    char name[64];
    std::uint64_t tableEra;
    std::uint64_t requestEra;
    FeedVersion after;
    /// As in RequestCase.
    char expected[8];
};

} // namespace

// Guards against a subscriber that misses changes because its version is from another era of the store, and that never hears of the new era.
ParameterizedTestParameters(ChangeServer, requestsOfOtherEras)
{
    static EraCase cases[] = {
        {"the same era, nothing new", 2, 2, 11, "wait"},
        {"the same era, behind", 2, 2, 10, "serve"},
        {"a subscriber that has not seen the new era", 2, 1, 10, "reject"},
        {"a publisher that has not seen the new era", 1, 2, 10, "reject"},
        {"a subscriber that doesn't know the field", 2, 0, 10, "reject"},
        {"a starting host that knows no era", 2, 0, 0, "whole"},
        {"a host that needs the copy of a later era", 1, 2, 0, "reject"},
    };
    return cr_make_param_array(EraCase, cases, std::size(cases));
}

ParameterizedTest(EraCase *testCase, ChangeServer, requestsOfOtherEras)
{
    Fixture fixture;
    FeedRows table{{{"a", "0", 9, false}}, 10};
    table.era = StoreEra(testCase->tableEra);
    fixture.server.reset("things", table);
    fixture.server.append("things", {{{"a", "1", 11, false}}, 11}, s_start);
    fixture.server.request(s_subscriber, {7, "things", testCase->after, 500, StoreEra(testCase->requestEra)}, s_start);
    const ChangesSince *sent = fixture.responses.empty() ? nullptr : &fixture.responses.front();
    const std::string outcome = !sent ? "wait" : !sent->isServed ? "reject" : sent->isWholeTable ? "whole" : "serve";
    cr_assert_eq(outcome, testCase->expected, "%s: %s", testCase->name, outcome.c_str());
    cr_assert(!sent || sent->era == StoreEra(testCase->tableEra), "%s: the response doesn't state the era", testCase->name);
}

// Guards against a subscriber that waits for the changes of an era that has ended.
Test(ChangeServer, newEraEndsPendingRequests)
{
    Fixture fixture;
    fixture.server.request(s_subscriber, {1, "things", 10, 500}, s_start);
    FeedRows table{{{"a", "0", 5, false}}, 6};
    table.era = StoreEra(1);
    fixture.server.reset("things", table);
    fixture.server.respondToDueRequests(s_start + 1ms);
    cr_assert(fixture.responses.size() == 1 && !fixture.responses[0].isServed && fixture.responses[0].era == StoreEra(1));
}

// Guards against a copy that looks younger at a subscriber than at its publisher: the age of its proof has to add up.
Test(ChangeServer, ageOfTheProofCountsFromTheCall)
{
    Fixture fixture;
    fixture.server.request(s_subscriber, {1, "things", 0, 0}, s_start + 100ms);
    cr_assert_eq(fixture.responses.at(0).ageMilliseconds, 100);
    cr_assert_eq(fixture.responses.at(0).proofAgeMilliseconds, 130);
}

// Guards against a wait that counts twice, at the publisher and at the subscriber, so that subscribers call the store without need, and against a proof
// from the time of the wait that looks older or newer than the request.
Test(ChangeServer, ageOfTheProofIsThatAtTheArrivalOfTheRequest)
{
    Fixture fixture;
    fixture.server.request(s_subscriber, {1, "things", 10, 300}, s_start + 100ms);
    fixture.server.respondToDueRequests(s_start + 400ms);
    cr_assert_eq(fixture.responses.at(0).proofAgeMilliseconds, 130);
    fixture.server.request(s_subscriber, {2, "things", 10, 200}, s_start + 400ms);
    fixture.server.confirm("things", s_start + 550ms, s_start + 500ms);
    fixture.server.respondToDueRequests(s_start + 600ms);
    cr_assert_eq(fixture.responses.at(1).proofAgeMilliseconds, 0);
}

// Guards against a change that subscribers receive only when their wait is over.
Test(ChangeServer, changesReachPendingRequests)
{
    Fixture fixture;
    fixture.server.request(s_subscriber, {1, "things", 10, 500}, s_start);
    fixture.server.append("things", {{}, 12}, s_start + 100ms);
    cr_assert(fixture.responses.empty());
    fixture.server.append("things", {{{"a", "", 13, true}}, 13}, s_start + 200ms);
    cr_assert_eq(fixture.responses.size(), 1);
    cr_assert(fixture.responses[0].isServed && fixture.responses[0].removed == std::vector<std::uint64_t>{1});
    fixture.server.append("things", {{{"b", "1", 14, false}}, 14}, s_start + 300ms);
    cr_assert_eq(fixture.responses.size(), 1, "a request got a second response");
}

// Guards against requests that stay pending for ever, and against subscribers that keep relying on a host that has lost the store.
Test(ChangeServer, pendingRequestsEnd)
{
    Fixture fixture;
    fixture.server.request(s_subscriber, {1, "things", 10, 500}, s_start);
    fixture.server.respondToDueRequests(s_start + 499ms);
    cr_assert(fixture.responses.empty());
    fixture.server.respondToDueRequests(s_start + 500ms);
    cr_assert(fixture.responses.size() == 1 && fixture.responses[0].isServed && fixture.responses[0].version == 10);
    fixture.server.request(s_subscriber, {2, "things", 10, 5000}, s_start + 600ms);
    fixture.server.respondToDueRequests(s_start + 1001ms);
    cr_assert(fixture.responses.size() == 2 && !fixture.responses[1].isServed);
    cr_assert_not(fixture.server.hasPendingRequests());
}

// Guards against a response that hosts reject because it contains too many rows.
Test(ChangeServer, responsesAreBounded)
{
    Fixture fixture;
    FeedRows changes;
    for (FeedVersion version = 11; version <= 6010; ++version) {
        changes.rows.push_back({fmt::format("key{}", version), "", version, true});
    }
    changes.version = 6010;
    fixture.server.append("things", changes, s_start);
    fixture.server.request(s_subscriber, {1, "things", 10, 500}, s_start);
    fixture.server.request(s_subscriber, {2, "things", 2000, 500}, s_start);
    cr_assert(fixture.responses.size() == 2 && !fixture.responses[0].isServed && fixture.responses[1].isServed);
}
