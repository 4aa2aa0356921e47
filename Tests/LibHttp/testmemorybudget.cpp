#include "coroutine.h"
#include <LibHttp/awaitroom.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <list>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t s_mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t s_largeBody = 4 * s_mebibyte;

/// Room for two large bodies.
std::shared_ptr<MemoryBudget> testBudget()
{
    return std::make_shared<MemoryBudget>(MemoryLimits{11 * s_mebibyte, 10 * s_mebibyte, 9 * s_mebibyte});
}

struct HostCase
{
    int megabytes;
    /// Bodies of the largest size that fit.
    int largestBodies;
};

} // namespace

// Guards against limits that leave no room for one body of the largest size that configurations allow (64 MiB), or nothing for small messages.
ParameterizedTestParameters(MemoryBudget, limitsOfHosts)
{
    static HostCase cases[] = {{160, 1}, {260, 2}, {520, 4}};
    return cr_make_param_array(HostCase, cases, std::size(cases));
}

ParameterizedTest(HostCase *testCase, MemoryBudget, limitsOfHosts)
{
    const MemoryLimits limits = memoryLimitsFor(static_cast<std::size_t>(testCase->megabytes) * 1000000);
    cr_expect_eq(limits.largeRequests / (64 * s_mebibyte), static_cast<std::size_t>(testCase->largestBodies));
    cr_expect(limits.largeRequests < limits.large && limits.large < limits.total);
    cr_expect(limits.total <= static_cast<std::size_t>(testCase->megabytes) * 600000);
}

// Guards against room that is taken twice or never given back.
Test(MemoryBudget, roomIsGivenBack)
{
    const auto budget = testBudget();
    {
        MemoryReservation first(budget, MemoryUse::Request);
        MemoryReservation second(budget, MemoryUse::Request);
        MemoryReservation third(budget, MemoryUse::Request);
        cr_assert(first.tryResize(s_largeBody));
        cr_assert(second.tryResize(s_largeBody));
        cr_assert(!third.tryResize(s_largeBody));
        cr_assert_eq(third.bytes(), 0);
        cr_assert_eq(budget->reservedBytes(), 2 * s_largeBody);
        cr_assert(first.tryResize(s_mebibyte));
        cr_assert(third.tryResize(s_largeBody));
        cr_assert_eq(budget->reservedBytes(), 2 * s_largeBody + s_mebibyte);
    }
    cr_assert_eq(budget->reservedBytes(), 0);
}

// Guards against small messages that fail or wait behind large ones, and against small ones without a bound of their own.
Test(MemoryBudget, smallMessagesPassLargeOnes)
{
    const auto budget = testBudget();
    MemoryReservation large(budget, MemoryUse::Response);
    cr_assert(large.tryResize(10 * s_mebibyte));
    MemoryReservation waiting(budget, MemoryUse::Response);
    const RoomRequest request(waiting, s_largeBody, [] {});
    std::list<MemoryReservation> small;
    while (true) {
        small.emplace_back(budget, MemoryUse::Request);
        if (!small.back().tryResize(s_smallMessageBytes)) {
            break;
        }
    }
    cr_assert_eq(small.size(), s_mebibyte / s_smallMessageBytes + 1);
    cr_assert(!request.isGranted());
    // A small one that waits passes the large one before it.
    const RoomRequest smallRequest(small.back(), s_smallMessageBytes, [] {});
    small.pop_front();
    cr_assert(smallRequest.isGranted());
    cr_assert(!request.isGranted());
}

// Guards against large messages that never get room since smaller ones keep taking it, and against requests that take the room that
// responses need.
Test(MemoryBudget, largeMessagesAreServedInOrder)
{
    const auto budget = testBudget();
    std::string order;
    MemoryReservation first(budget, MemoryUse::Request);
    cr_assert(first.tryResize(9 * s_mebibyte));
    MemoryReservation upload(budget, MemoryUse::Request);
    MemoryReservation smallerUpload(budget, MemoryUse::Request);
    MemoryReservation download(budget, MemoryUse::Response);
    const RoomRequest uploadRequest(upload, 8 * s_mebibyte, [&order] { order += "upload "; });
    const RoomRequest downloadRequest(download, 2 * s_mebibyte, [&order] { order += "download "; });
    cr_assert(!smallerUpload.tryResize(s_mebibyte), "others wait");
    const RoomRequest smallerRequest(smallerUpload, 2 * s_mebibyte, [&order] { order += "smaller "; });
    cr_assert(first.tryResize(8 * s_mebibyte));
    cr_assert_eq(order, "download ", "%s", order.c_str());
    cr_assert(first.tryResize(0));
    // Together they would exceed the room of requests.
    cr_assert_eq(order, "download ", "%s", order.c_str());
    cr_assert(download.tryResize(0));
    cr_assert_eq(order, "download upload ", "%s", order.c_str());
    cr_assert(upload.tryResize(0));
    cr_assert_eq(order, "download upload smaller ", "%s", order.c_str());
}

// Guards against a message that waits for room that it can never get, and against a place in the queue that outlives its message.
Test(MemoryBudget, waitsAreBounded)
{
    asio::io_context context(1);
    const auto budget = testBudget();
    int refused = 0;
    budget->setRefusalObserver([&refused](const MemoryRefusal &) { ++refused; });
    runCoroutine(context, [&](const asio::yield_context &yield) {
        MemoryReservation held(budget, MemoryUse::Response);
        cr_assert(held.tryResize(9 * s_mebibyte));
        MemoryReservation reservation(budget, MemoryUse::Request);
        const auto start = std::chrono::steady_clock::now();
        cr_expect(!awaitRoom(reservation, 20 * s_mebibyte, 10s, context.get_executor(), yield));
        cr_expect(std::chrono::steady_clock::now() - start < 1s);
        cr_expect(!awaitRoom(reservation, 5 * s_mebibyte, 50ms, context.get_executor(), yield));
        cr_expect_eq(refused, 2);
        cr_expect_eq(budget->refusals(MemoryUse::Request), 2);
        held.tryResize(0);
        cr_expect_eq(reservation.bytes(), 0);
        cr_expect_eq(budget->reservedBytes(), 0);
    });
}

namespace
{

struct SizeCase
{
    std::size_t size;
    std::size_t capacity;
    std::size_t expected;
};

} // namespace

// Guards against bodies whose memory is doubled beyond what was reserved, and beyond their limit.
ParameterizedTestParameters(MemoryBudget, growth)
{
    static SizeCase cases[] = {{0, 15, 100}, {100, 300, 300}, {250, 300, 600}, {600, 600, 1000}, {950, 1000, 1050}};
    return cr_make_param_array(SizeCase, cases, std::size(cases));
}

ParameterizedTest(SizeCase *testCase, MemoryBudget, growth)
{
    cr_assert_eq(grownCapacity(testCase->size, testCase->capacity, 100, 1000), testCase->expected);
}
