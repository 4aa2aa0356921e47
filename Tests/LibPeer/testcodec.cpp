#include <LibPeer/codec.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using nlohmann::json;
using namespace Trefoil;

namespace
{

const std::string s_digest = "0123456789abcdef0123456789abcdef";

std::vector<PeerMessage> oneOfEach()
{
    return {Hello{HostId("gulf-a-1"), Incarnation(7), "secret"},
        Heartbeat{9, Incarnation(7), Epoch(3), ConfigurationVersion(12), SlotCount(4), true},
        HeartbeatAck{9, Epoch(3), ConfigurationVersion(12), true},
        Prepare{"operation-1", ConfigurationVersion(13), s_digest, "drain zone gulf-a"},
        PrepareAck{"operation-1", ConfigurationVersion(13), false, "unsound"},
        Commit{ConfigurationVersion(13), s_digest, {HostId("gulf-a-2"), HostId("gulf-a-3")}},
        CommitAck{ConfigurationVersion(13)},
        FetchConfiguration{ConfigurationVersion(12)},
        ConfigurationCopy{ConfigurationVersion(13), s_digest, "{}"},
        ReclaimVoteRequest{HostId("gulf-a-2"), Epoch(4), 1},
        ReclaimVote{HostId("gulf-a-2"), Epoch(4), 1, true},
        AwaitChanges{17, "servers", 900, 1000, StoreEra(3)},
        ChangesSince{17, true, 905, {"a", "b"}, {"{}", ""}, {903, 905}, {0, 1}, false, 0, 0, StoreEra(3)}};
}

std::string cbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

struct FaultCase
{
    char name[32];
    char text[128];
};

} // namespace

// Guards against a field that is written but not read back, or the other way round.
Test(PeerCodec, roundTrip)
{
    const auto messages = oneOfEach();
    cr_assert_eq(messages.size(), std::variant_size_v<PeerMessage>);
    for (const auto &message : messages) {
        const std::string encoded = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(encoded);
        cr_assert(decoded.has_value(), "message type %zu", message.index());
        cr_assert_eq(decoded.value().index(), message.index());
        cr_assert_eq(encodePeerMessage(decoded.value()), encoded, "message type %zu lost a field", message.index());
    }
}

// Guards against hosts of different versions that don't understand each other: messages of era 0 are those of hosts that don't know the field.
Test(PeerCodec, eraIsOptional)
{
    const std::string encoded = encodePeerMessage(AwaitChanges{17, "servers", 900, 1000});
    cr_assert_eq(json::from_cbor(encoded).count("era"), 0);
    const auto decoded = decodePeerMessage(encoded);
    cr_assert(decoded.has_value() && std::get<AwaitChanges>(decoded.value()).era == StoreEra());
    const auto inEra = decodePeerMessage(encodePeerMessage(AwaitChanges{17, "servers", 900, 1000, StoreEra(3)}));
    cr_assert(inEra.has_value() && std::get<AwaitChanges>(inEra.value()).era == StoreEra(3));
}

// Guards against heartbeats that grow beyond the control traffic of a host: 20 heartbeats and 20 acknowledgements a
// second, sent and received together, must stay below 2 KB.
Test(PeerCodec, heartbeatsAreSmall)
{
    constexpr std::uint64_t large = std::numeric_limits<std::uint64_t>::max();
    const PeerMessage heartbeat = Heartbeat{100000, Incarnation(large), Epoch(1000), ConfigurationVersion(100000), SlotCount(1000), false};
    const PeerMessage ack = HeartbeatAck{100000, Epoch(1000), ConfigurationVersion(100000), true};
    constexpr std::size_t websocketHeaders = 4;
    cr_assert_lt(20 * (encodePeerMessage(heartbeat).size() + encodePeerMessage(ack).size() + 2 * websocketHeaders), 2000);
}

// Guards against unsound fields that reach the control loops.
ParameterizedTestParameters(PeerCodec, faults)
{
    static FaultCase cases[] = {
        {"no map", R"([1, 2])"},
        {"a bare number", "1"},
        {"no type", R"({"version": 1})"},
        {"type is a number", R"({"t": 6, "version": 1})"},
        {"unknown type", R"({"t": "vote", "version": 1})"},
        {"missing field", R"({"t": "commit-ack"})"},
        {"negative number", R"({"t": "commit-ack", "version": -1})"},
        {"text for a number", R"({"t": "commit-ack", "version": "1"})"},
        {"fraction", R"({"t": "commit-ack", "version": 1.5})"},
        {"null", R"({"t": "commit-ack", "version": null})"},
        {"nested map", R"({"t": "commit-ack", "version": {"a": 1}})"},
        {"nested list", R"({"t": "commit-ack", "version": [["a"]]})"},
        {"short digest", R"({"t": "commit", "version": 1, "digest": "ab", "forwardTo": []})"},
        {"unsound host name", R"({"t": "reclaim-vote-request", "host": "a b", "epoch": 1, "ballot": 1})"},
        {"list of numbers", R"({"t": "commit", "version": 1, "digest": "0123456789abcdef0123456789abcdef", "forwardTo": [1]})"},
        {"list of numbers and texts", R"({"t": "changes", "seq": 1, "ok": true, "v": 1, "keys": [1, "a"], "values": [], "versions": [], "removed": []})"},
        {"texts for numbers", R"({"t": "changes", "seq": 1, "ok": true, "v": 1, "keys": [], "values": [], "versions": ["a"], "removed": []})"},
        {"too many slots", R"({"t": "hb", "seq": 1, "inc": 1, "ep": 1, "v": 1, "fs": 4294967296, "out": false})"},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, PeerCodec, faults)
{
    const auto decoded = decodePeerMessage(cbor(json::parse(testCase->text)));
    cr_assert(decoded.has_error(), "%s was accepted", testCase->name);
    cr_assert_eq(decoded.error().code, ErrorCode::Protocol);
}

// Guards against input that exhausts the stack or memory, or throws: deep nesting, absurd lengths, a repeated member.
Test(PeerCodec, hostileBytes)
{
    const std::string deep(1000000, '\x81');
    const std::string hugeList("\xa1\x61\x61\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 12);
    const std::string hugeText("\xa1\x61\x61\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 12);
    const std::string repeated("\xa2\x61\x61\x01\x61\x61\x02", 7);
    // Texts and byte strings without a declared length, each within another one.
    const std::string nestedTexts = "\xa1" + std::string(2000000, '\x7f');
    const std::string nestedBytes = "\xa1\x61\x61" + std::string(2000000, '\x5f');
    std::string nestedChunks = "\xa1";
    for (int i = 0; i < 1000000; ++i) {
        nestedChunks += "\x7f\x60";
    }
    for (const auto &bytes : {std::string(), deep, hugeList, hugeText, repeated, nestedTexts, nestedBytes, nestedChunks}) {
        cr_assert(decodePeerMessage(bytes).has_error());
    }
}

// Guards against a decoder that throws or reads out of bounds on damaged messages.
Test(PeerCodec, damagedBytes)
{
    pcg32 random(20261204);
    const auto messages = oneOfEach();
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = encodePeerMessage(messages[random(static_cast<std::uint32_t>(messages.size()))]);
        bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        bytes.resize(bytes.size() - random(4));
        const auto decoded = decodePeerMessage(bytes);
        cr_assert(decoded.has_value() || decoded.error().code == ErrorCode::Protocol);
    }
}
