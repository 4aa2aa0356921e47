#include <LibReplication/peerfeed.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

struct ResponseCase
{
    char name[40];
    char from[16];
    bool isServed;
    std::size_t values;
    /// Index of the expected alternative of PeerFeedResult.
    std::size_t result;
};

} // namespace

// Guards against responses of other hosts, rejections and malformed lists that are applied as changes.
ParameterizedTestParameters(PeerFeed, responses)
{
    static ResponseCase cases[] = {
        {"an answer", "publisher", true, 1, 0},
        {"a rejection", "publisher", false, 1, 1},
        {"a response of another host", "stranger", true, 1, 2},
        {"lists of different lengths", "publisher", true, 2, 1},
    };
    return cr_make_param_array(ResponseCase, cases, std::size(cases));
}

ParameterizedTest(ResponseCase *testCase, PeerFeed, responses)
{
    asio::io_context context{1};
    PeerFeed *target = nullptr;
    PeerFeed feed(context, [&](const HostId &, const PeerMessage &message) {
        const auto &request = std::get<AwaitChanges>(message);
        ChangesSince response{request.sequence, testCase->isServed, 12, {"a"}, std::vector<std::string>(testCase->values, "1"), {12}, {0}};
        asio::post(context, [&, response] { target->receive(HostId(testCase->from), response); });
    });
    target = &feed;
    PeerFeedResult result = PublisherUnresponsive{};
    asio::spawn(context, [&](const asio::yield_context &yield) {
        result = feed.awaitChanges(HostId("publisher"), "things", {StoreEra(), 11}, 20ms, 10ms, yield);
    });
    context.run();
    cr_assert_eq(result.index(), testCase->result, "%s", testCase->name);
    const auto *changes = std::get_if<FeedRows>(&result);
    cr_assert(!changes || (changes->version == 12 && changes->rows.size() == 1 && changes->rows[0].key == "a"));
}
