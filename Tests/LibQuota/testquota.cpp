#include <LibQuota/quotaborrower.h>
#include <LibQuota/quotalender.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace Trefoil;
using namespace std::chrono_literals;

namespace
{

const BootTime s_start{1h};
const QuotaRules s_rules{5000ms, 0.1, 20};
const CustomerHash s_customer = hashOfCustomer("customer");

std::vector<HostId> hosts(int count)
{
    std::vector<HostId> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.emplace_back("host-" + std::to_string(i));
    }
    return result;
}

/// The only lender of a customer, empty at the start.
QuotaLender lender(const QuotaLimit &limit, std::optional<BootTime> lendsFrom = s_start)
{
    QuotaLender result(HostId("host-0"), s_rules);
    result.update(hosts(1), {{s_customer, limit}}, lendsFrom, s_start);
    return result;
}

PermitRequest request(std::uint32_t count)
{
    return {HostId("host-9"), 1, s_customer, count};
}

/// A borrower among four hosts that all lend, of which it is none.
QuotaBorrower borrower()
{
    QuotaBorrower result(HostId("host-9"), s_rules, 1);
    result.setHosts(hosts(4));
    return result;
}

const QuotaLimit s_limit{10, 0};

PermitsNeeded nextRequest(QuotaBorrower &hostBorrower, BootTime now)
{
    const auto step = hostBorrower.nextStep(s_customer, s_limit, now);
    cr_assert(std::holds_alternative<PermitsNeeded>(step), "permits have to be requested");
    return std::get<PermitsNeeded>(step);
}

PermitReply replyTo(const PermitsNeeded &needed, std::uint32_t granted, std::chrono::milliseconds timeUntilRoom = 0ms, bool isLending = true)
{
    return {needed.lender, needed.request.number, granted, isLending, timeUntilRoom};
}

struct ShareCase
{
    char name[40];
    double rate;
    double burst;
    std::size_t lenders;
    double shareRate;
    double depth;
    int lifetimeMs;
};

struct StartCase
{
    char name[48];
    bool isFirstStart;
    bool hasEarlierRow;
    /// Seconds after the first registration at which the row is missing and is there again; 0 when it stays.
    int missingAt;
    int againAt;
    int lendsAfter;
};

struct MalformedCase
{
    char name[40];
    char json[160];
};

} // namespace

// Guards against lenders that together lend more than the limit and half of its tolerance, and permits that are used so late that they need the
// other half.
ParameterizedTestParameters(QuotaRules, shares)
{
    static ShareCase cases[] = {
        {"small customer", 4, 4, 4, 1.2, 0.5 * 22.4 / 4, 300},
        {"large customer", 400, 0, 4, 100, 0.5 * 220 / 4, 137},
        {"fewer hosts than lenders", 4, 4, 1, 4.8, 0.5 * 22.4, 300},
        {"very large customer", 100000, 0, 4, 25000, 0.5 * 50020 / 4, 125},
    };
    return cr_make_param_array(ShareCase, cases, std::size(cases));
}

ParameterizedTest(ShareCase *testCase, QuotaRules, shares)
{
    const QuotaLimit limit{testCase->rate, testCase->burst};
    const LenderShare share = lenderShare(s_rules, limit, testCase->lenders);
    cr_assert_float_eq(share.rate, testCase->shareRate, 1e-9, "%s", testCase->name);
    cr_assert_float_eq(share.depth, testCase->depth, 1e-9, "%s: %g", testCase->name, share.depth);
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(permitLifetime(s_rules, limit));
    cr_assert_eq(lifetime.count(), testCase->lifetimeMs, "%s: %ld ms", testCase->name, static_cast<long>(lifetime.count()));
}

// Guards against a lender that has no permit at all for customers with a small limit.
Test(QuotaRules, depthIsAtLeastOne)
{
    cr_assert_eq(lenderShare({5000ms, 0, 0}, {0.1, 0}, 4).depth, 1);
}

// Guards against hosts that compute different lenders, a host that joins and replaces several, and customers that all have the same lenders.
Test(LenderChoice, hostsAgreeAndFewLendersChange)
{
    auto all = hosts(70);
    const auto lenders = lendersOf(s_customer, all);
    cr_assert_eq(lenders.size(), 4);
    auto reversed = all;
    std::reverse(reversed.begin(), reversed.end());
    cr_assert(lendersOf(s_customer, reversed) == lenders);
    for (int i = 0; i < 200; ++i) {
        auto more = all;
        more.emplace_back("added-" + std::to_string(i));
        const auto changed = lendersOf(s_customer, more);
        const auto kept =
            std::count_if(changed.begin(), changed.end(), [&](const HostId &host) { return std::count(lenders.begin(), lenders.end(), host) > 0; });
        cr_assert_geq(kept, 3);
    }
    std::set<HostId> used;
    for (int i = 0; i < 78; ++i) {
        for (const HostId &host : lendersOf(hashOfCustomer("c" + std::to_string(i)), all)) {
            used.insert(host);
        }
    }
    cr_assert_gt(used.size(), 60);
    cr_assert_eq(lendersOf(s_customer, hosts(2)).size(), 2);
    cr_assert(lendersOf(s_customer, {}).empty());
}

// Guards against a new host that lends while the lender that it displaces still does, and a restarted one that needlessly does not lend.
ParameterizedTestParameters(LendingStart, starts)
{
    static StartCase cases[] = {
        {"first start of the deployment", true, false, 0, 0, 0},
        {"added host", false, false, 0, 0, 15},
        {"restarted host", false, true, 0, 0, 0},
        {"restarted host, then an old copy of the table", false, true, 2, 3, 0},
        {"first start, then an old copy of the table", true, false, 2, 3, 0},
        {"row removed by others, host was started first", true, false, 80, 81, 96},
        {"row removed by others, restarted host", false, true, 80, 81, 96},
    };
    return cr_make_param_array(StartCase, cases, std::size(cases));
}

ParameterizedTest(StartCase *testCase, LendingStart, starts)
{
    LendingStart start(testCase->isFirstStart);
    cr_assert_not(start.lendsFrom().has_value());
    for (int second = 0; second <= 90; ++second) {
        if (testCase->hasEarlierRow) {
            start.recordEarlierRow();
        }
        const bool isMissing = second >= testCase->missingAt && second < testCase->againAt;
        start.recordRegistration(!isMissing, s_start + std::chrono::seconds(second));
    }
    cr_assert(start.lendsFrom() == s_start + std::chrono::seconds(testCase->lendsAfter), "%s", testCase->name);
}

// Guards against a bucket that starts full, overflows, or lends fractions twice.
Test(QuotaLender, bucketStartsEmptyAndFillsToItsDepth)
{
    QuotaLender own = lender({9, 5});
    cr_assert_eq(own.reply(request(1), s_start).granted, 0, "empty");
    cr_assert_eq(own.reply(request(5), s_start + 100ms).granted, 1);
    cr_assert_eq(own.reply(request(5), s_start + 199ms).granted, 0);
    cr_assert_eq(own.reply(request(5), s_start + 200ms).granted, 1);
    // (0.1 x 50 + 20) / 2
    cr_assert_eq(own.reply(request(100), s_start + 1min).granted, 12);
    cr_assert_eq(own.lentPermits(), 14);
}

// Guards against a lender that names a time at which it has nothing, and one to which all borrowers come back at once, or very often.
Test(QuotaLender, emptyLenderNamesTimesInTurn)
{
    QuotaLender slow = lender({1, 0});
    const PermitReply first = slow.reply(request(1), s_start + 400ms);
    cr_assert(first.isLending && first.granted == 0);
    cr_assert_eq(first.timeUntilRoom.count(), 600);
    cr_assert_eq(slow.reply(request(1), s_start + 400ms + first.timeUntilRoom).granted, 1);
    QuotaLender fast = lender({20, 0});
    cr_assert_eq(fast.reply(request(1), s_start).timeUntilRoom.count(), 50);
    cr_assert_eq(fast.reply(request(1), s_start).timeUntilRoom.count(), 100);
    for (int i = 0; i < 100; ++i) {
        cr_assert_leq(fast.reply(request(1), s_start).timeUntilRoom.count(), 2000);
    }
    cr_assert_eq(lender({1000, 0}).reply(request(1), s_start).timeUntilRoom.count(), 50);
}

// Guards against two lenders in the same place, and permits of customers that are not this lender's.
Test(QuotaLender, lendsOnlyWhileItIsALender)
{
    QuotaLender unregistered = lender(s_limit, std::nullopt);
    cr_assert_not(unregistered.reply(request(1), s_start + 1s).isLending);
    QuotaLender added = lender(s_limit, s_start + 15s);
    cr_assert_not(added.reply(request(1), s_start + 14s).isLending);
    cr_assert_eq(added.reply(request(100), s_start + 16s).granted, 10, "it fills from the time at which it begins to lend");
    QuotaLender own = lender(s_limit);
    cr_assert_eq(own.customerCount(), 1);
    cr_assert_not(own.reply({HostId("host-9"), 1, hashOfCustomer("unlimited"), 1}, s_start + 1s).isLending);
    own.update({HostId("other")}, {{s_customer, s_limit}}, s_start, s_start + 2s);
    cr_assert_not(own.reply(request(1), s_start + 3s).isLending, "other hosts are the lenders");
    own.update(hosts(1), {{s_customer, s_limit}}, s_start, s_start + 10s);
    cr_assert_eq(own.reply(request(100), s_start + 11s).granted, 10, "empty since it was replaced");
    own.stop();
    cr_assert_not(own.reply(request(1), s_start + 20s).isLending, "it stops");
    own.update(hosts(1), {{s_customer, s_limit}}, s_start, s_start + 21s);
    cr_assert_eq(own.customerCount(), 0);
}

// Guards against permits of an earlier limit that are lent after it was lowered, and a raised one that takes effect late or for the past.
Test(QuotaLender, changedLimitsTakeEffect)
{
    QuotaLender own = lender({100, 100});
    own.update(hosts(1), {{s_customer, {10, 0}}}, s_start, s_start + 10s);
    cr_assert_eq(own.reply(request(1000), s_start + 10s).granted, 12, "the depth of the lowered limit");
    own.update(hosts(1), {{s_customer, {100, 100}}}, s_start, s_start + 11s);
    // 0.5 are left, and the second at the lowered limit adds 10.
    cr_assert_eq(own.reply(request(1000), s_start + 11200ms).granted, 34);
    own.update(hosts(1), {{s_customer, {0, 0}}}, s_start, s_start + 13s);
    cr_assert_eq(own.customerCount(), 0, "no limit");
}

// Guards against a second datagram for a request while there are permits, and permits that are used after their end.
Test(QuotaBorrower, permitsAreUsedUntilTheyExpire)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    const PermitsNeeded needed = nextRequest(own, s_start);
    cr_assert_eq(needed.request.count, 1);
    // Three requests share the reply.
    own.arrive(s_customer, s_start);
    cr_assert(std::holds_alternative<ReplyAwaited>(own.nextStep(s_customer, s_limit, s_start)));
    cr_assert(own.receive(replyTo(needed, 1), s_start + 20ms) == s_customer);
    cr_assert(std::holds_alternative<Permit>(own.nextStep(s_customer, s_limit, s_start + 20ms)));
    const PermitsNeeded second = nextRequest(own, s_start + 20ms);
    cr_assert_eq(second.request.count, 1);
    own.receive(replyTo(second, 1), s_start + 40ms);
    const auto permit = own.nextStep(s_customer, s_limit, s_start + 40ms);
    cr_assert(std::get<Permit>(permit).expiresAt == s_start + 320ms, "it counts from the request");
    own.release(s_customer, std::get<Permit>(permit), s_start + 100ms);
    own.arrive(s_customer, s_start + 319ms);
    cr_assert(std::holds_alternative<Permit>(own.nextStep(s_customer, s_limit, s_start + 319ms)), "it was returned");
    own.release(s_customer, std::get<Permit>(permit), s_start + 319ms);
    own.arrive(s_customer, s_start + 320ms);
    nextRequest(own, s_start + 320ms);
    cr_assert_eq(own.expiredPermits(), 1);
    cr_assert_eq(own.borrowedPermits(), 2);
}

// Guards against one datagram for each request of a busy customer, and against permits for which there is no use.
Test(QuotaBorrower, needFollowsTheRate)
{
    QuotaBorrower own = borrower();
    std::uint32_t count = 0;
    BootTime now = s_start;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        own.arrive(s_customer, now);
        const auto step = own.nextStep(s_customer, s_limit, now);
        if (const auto *needed = std::get_if<PermitsNeeded>(&step)) {
            count = needed->request.count;
            own.receive(replyTo(*needed, count), now);
            cr_assert(std::holds_alternative<Permit>(own.nextStep(s_customer, s_limit, now)));
        }
    }
    // 100 in a second, 30 in the horizon of 0.3 s, less their square root, and the request itself.
    cr_assert(count >= 24 && count <= 26, "%u", count);
    cr_assert_leq(own.expiredPermits(), own.borrowedPermits() / 20);
}

// Guards against a customer far above its limit that costs a datagram for each request, a time that is not the first one, and 429 while a lender has
// permits.
Test(QuotaBorrower, emptyLendersAreNotAskedBeforeTheirTime)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    std::set<HostId> asked;
    for (int i = 0; i < 4; ++i) {
        const PermitsNeeded needed = nextRequest(own, s_start);
        cr_assert(asked.insert(needed.lender).second, "each lender once");
        own.receive(replyTo(needed, 0, std::chrono::milliseconds(200 + 100 * i)), s_start);
    }
    const auto step = own.nextStep(s_customer, s_limit, s_start);
    cr_assert(std::get<QuotaExceeded>(step).timeUntilRoom == 200ms);
    for (int i = 0; i < 20; ++i) {
        own.arrive(s_customer, s_start + std::chrono::milliseconds(10 * i));
        cr_assert(std::holds_alternative<QuotaExceeded>(own.nextStep(s_customer, s_limit, s_start + std::chrono::milliseconds(10 * i))));
    }
    own.arrive(s_customer, s_start + 200ms);
    nextRequest(own, s_start + 200ms);
}

// Guards against a request that waits for a lender that is gone, 429 instead of 503 when no lender replies, and permits of late replies that are lost.
Test(QuotaBorrower, silentLendersArePassedOver)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    const PermitsNeeded first = nextRequest(own, s_start);
    BootTime now = s_start + 60ms;
    for (int i = 0; i < 3; ++i, now += 60ms) {
        cr_assert(std::holds_alternative<ReplyAwaited>(own.nextStep(s_customer, s_limit, now - 1ms)));
        cr_assert(nextRequest(own, now).lender != first.lender);
    }
    cr_assert(std::holds_alternative<QuotaUnavailable>(own.nextStep(s_customer, s_limit, now)));
    own.receive(replyTo(first, 1), now);
    own.arrive(s_customer, now);
    cr_assert(std::holds_alternative<Permit>(own.nextStep(s_customer, s_limit, now)), "the late reply counts");
    own.arrive(s_customer, now);
    cr_assert(nextRequest(own, now).lender == first.lender, "it replied");
}

// Guards against permits that are taken from replies which this host did not ask for, or twice.
Test(QuotaBorrower, foreignRepliesAreIgnored)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    const PermitsNeeded needed = nextRequest(own, s_start);
    cr_assert_not(own.receive({HostId("another"), needed.request.number, 1, true, 0ms}, s_start));
    cr_assert_not(own.receive({needed.lender, needed.request.number + 1, 1, true, 0ms}, s_start));
    cr_assert_not(own.receive(replyTo(needed, needed.request.count + 1), s_start), "more than requested");
    cr_assert(own.receive(replyTo(needed, 1), s_start).has_value());
    cr_assert_not(own.receive(replyTo(needed, 1), s_start), "twice");
    cr_assert_eq(own.borrowedPermits(), 1);
}

// Guards against a lender that stops and is asked for each request, and a host without the table of hosts that answers 429.
Test(QuotaBorrower, hostsThatDoNotLendAreUnavailable)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    for (int i = 0; i < 4; ++i) {
        own.receive(replyTo(nextRequest(own, s_start), 0, 0ms, false), s_start);
    }
    cr_assert(std::holds_alternative<QuotaUnavailable>(own.nextStep(s_customer, s_limit, s_start)));
    QuotaBorrower alone(HostId("host-9"), s_rules, 1);
    alone.arrive(s_customer, s_start);
    cr_assert(std::holds_alternative<QuotaUnavailable>(alone.nextStep(s_customer, s_limit, s_start)));
}

// Guards against memory that grows with the customers and the lost replies of the past.
Test(QuotaBorrower, idleCustomersAreForgotten)
{
    QuotaBorrower own = borrower();
    own.arrive(s_customer, s_start);
    const PermitsNeeded needed = nextRequest(own, s_start);
    own.giveUp(s_customer);
    own.prune(s_start + 2min);
    cr_assert_not(own.receive(replyTo(needed, 1), s_start + 2min));
}

// Guards against values that change on the way.
Test(QuotaMessages, messagesAreReadAsWritten)
{
    const PermitRequest request{HostId("host"), UINT64_MAX, CustomerHash(UINT64_MAX - 1), maximumPermits};
    const auto decodedRequest = std::get<PermitRequest>(*decodeQuotaMessage(encodeQuotaMessage(request)));
    cr_assert(decodedRequest.from == request.from && decodedRequest.number == request.number && decodedRequest.customer == request.customer
        && decodedRequest.count == request.count);
    const PermitReply reply{HostId("lender"), 7, 3, true, 250ms};
    const auto decodedReply = std::get<PermitReply>(*decodeQuotaMessage(encodeQuotaMessage(reply)));
    cr_assert(decodedReply.from == reply.from && decodedReply.number == reply.number && decodedReply.granted == reply.granted
        && decodedReply.isLending == reply.isLending && decodedReply.timeUntilRoom == reply.timeUntilRoom);
}

// Guards against datagrams that end the process, or that name sizes which the receiver then has to trust.
ParameterizedTestParameters(QuotaMessages, malformed)
{
    static MalformedCase cases[] = {
        {"no object", "[1]"},
        {"a beacon", R"({"from":"h","phase":1,"store":true,"reply":false})"},
        {"unknown kind", R"({"quota":"gift","from":"h","number":1,"customer":1,"count":1})"},
        {"kind of another type", R"({"quota":1,"from":"h","number":1,"customer":1,"count":1})"},
        {"no sender", R"({"quota":"request","number":1,"customer":1,"count":1})"},
        {"negative number", R"({"quota":"request","from":"h","number":-1,"customer":1,"count":1})"},
        {"no permits", R"({"quota":"request","from":"h","number":1,"customer":1,"count":0})"},
        {"too many permits", R"({"quota":"request","from":"h","number":1,"customer":1,"count":100001})"},
        {"fraction", R"({"quota":"request","from":"h","number":1,"customer":1,"count":1.5})"},
        {"customer of another type", R"({"quota":"request","from":"h","number":1,"customer":"a","count":1})"},
        {"reply without lending", R"({"quota":"reply","from":"h","number":1,"granted":1,"waitMs":1})"},
        {"too long a time", R"({"quota":"reply","from":"h","number":1,"granted":1,"lending":true,"waitMs":600001})"},
    };
    return cr_make_param_array(MalformedCase, cases, std::size(cases));
}

ParameterizedTest(MalformedCase *testCase, QuotaMessages, malformed)
{
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json::parse(testCase->json));
    cr_assert_not(decodeQuotaMessage(std::string(bytes.begin(), bytes.end())), "%s", testCase->name);
}

// Guards against a cut or overlong datagram that is read beyond its end.
Test(QuotaMessages, cutAndLongDatagramsAreIgnored)
{
    const std::string whole = encodeQuotaMessage(request(1));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        cr_assert_not(decodeQuotaMessage(std::string_view(whole).substr(0, size)));
    }
    cr_assert_not(decodeQuotaMessage(encodeQuotaMessage(PermitRequest{HostId(std::string(600, 'h')), 1, s_customer, 1})));
}
