#include <LibHttp/requestframing.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace Trefoil;

namespace
{

struct FramingCase
{
    char head[128];
    /// Name of the fault, or of the framing.
    char expected[24];
};

struct NameOfFraming
{
    std::string operator()(const NoBody &) const
    {
        return "none";
    }
    std::string operator()(const LengthBody &body) const
    {
        return "length " + std::string(body.digits);
    }
    std::string operator()(const ChunkedBody &) const
    {
        return "chunked";
    }
};

std::string nameOf(const std::variant<RequestFraming, FramingFault> &decision)
{
    const auto *fault = std::get_if<FramingFault>(&decision);
    return fault ? std::string(toText(*fault)) : std::visit(NameOfFraming{}, std::get<RequestFraming>(decision));
}

#define CHUNKED "Transfer-Encoding: chunked\r\n"

FramingCase s_cases[] = {
    {"GET / HTTP/1.1\r\n\r\n", "none"},
    {"GET / HTTP/1.1\r\nA:\r\nB: \t\r\nC:d\r\n\r\n", "none"},
    {"GET / HTTP/1.1\r\nA: b\tc \xc3\xa9\r\n\r\n", "none"},
    {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "length 0"},
    {"POST / HTTP/1.1\r\ncontent-length:12 \t\r\nExpect: 100-continue\r\n\r\n", "length 12"},
    {"POST / HTTP/1.1\r\nContent-Length: 0012\r\n\r\n", "length 0012"},
    {"POST / HTTP/1.0\r\nContent-Length: 12\r\n\r\n", "length 12"},
    {"POST / HTTP/1.1\r\n" CHUNKED "\r\n", "chunked"},
    {"POST / HTTP/1.1\r\ntransfer-encoding:\t Chunked \t\r\nTE: trailers\r\n\r\n", "chunked"},
    {"POST / HTTP/1.1\r\nX-Transfer-Encoding: gzip\r\nContent-Length-X: a\r\n\r\n", "none"},
    {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "length"},
    {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", "length"},
    {"POST / HTTP/1.1\r\nContent-Length: 0x1\r\n\r\n", "length"},
    {"POST / HTTP/1.1\r\nContent-Length: 1 2\r\n\r\n", "length"},
    {"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", "length"},
    {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", "several-lengths"},
    {"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n", "several-lengths"},
    {"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", "several-lengths"},
    {"POST / HTTP/1.1\r\nContent-Length: 1\r\n" CHUNKED "\r\n", "length-and-coding"},
    {"POST / HTTP/1.1\r\n" CHUNKED "Content-Length: 1\r\n\r\n", "length-and-coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\n", "length-and-coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\n" CHUNKED CHUNKED "\r\n", "coding"},
    {"POST / HTTP/1.1\r\n" CHUNKED "Transfer-Encoding: gzip\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked,\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: , chunked\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked;a=b\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: \"chunked\"\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip chunked\r\n\r\n", "coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "unknown-coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip;q=1, chunked\r\n\r\n", "unknown-coding"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n" CHUNKED "\r\n", "unknown-coding"},
    {"POST / HTTP/1.0\r\n" CHUNKED "\r\n", "coding-in-old-version"},
    {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "folded-line"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", "folded-line"},
    {"GET / HTTP/1.1\r\n A: b\r\n\r\n", "folded-line"},
    {"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", "field-name"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding\t: chunked\r\n\r\n", "field-name"},
    {"GET / HTTP/1.1\r\nA b: c\r\n\r\n", "field-name"},
    {"GET / HTTP/1.1\r\n: c\r\n\r\n", "field-name"},
    {"GET / HTTP/1.1\r\nA\r\n\r\n", "field-name"},
    {"GET / HTTP/1.1\r\nA\xc3: b\r\n\r\n", "field-name"},
    {"GET / HTTP/1.1\r\nA\x01: b\r\n\r\n", "control-character"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: \x0b"
     "chunked\r\n\r\n",
        "control-character"},
    {"GET / HTTP/1.1\r\nA: b\x7f\r\n\r\n", "control-character"},
    {"GET / HTTP/1.1\nA: b\r\n\r\n", "line-end"},
    {"GET / HTTP/1.1\r\nA: b\nB: c\r\n\r\n", "line-end"},
    {"GET / HTTP/1.1\r\nA: b\rB: c\r\n\r\n", "line-end"},
    {"GET / HTTP/1.1\rA: b\r\n\r\n", "line-end"},
    {"GET / HTTP/1.1\r\nA: b\r\r\n\r\n", "line-end"},
    {"GET / HTTP/1.1\r\nA: b\r\n", "line-end"},
    {"\r\n", "line-end"},
    {"", "line-end"},
};

#undef CHUNKED

} // namespace

// Guards against a request whose end two servers may see at different places: what one takes for a body, the other runs as a request.
ParameterizedTestParameters(RequestFraming, decisions)
{
    return cr_make_param_array(FramingCase, s_cases, std::size(s_cases));
}

ParameterizedTest(FramingCase *testCase, RequestFraming, decisions)
{
    const std::string decision = nameOf(decideFraming(testCase->head));
    cr_assert_eq(decision, testCase->expected, "%s: got %s", testCase->head, decision.c_str());
}

// Guards against a control character that ends a text early: a NUL hides the rest of a line from some programs.
Test(RequestFraming, nulIsAControlCharacter)
{
    using namespace std::string_literals;
    cr_assert_eq(nameOf(decideFraming("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n"s)), "control-character");
    cr_assert_eq(nameOf(decideFraming("GET / HTTP/1.1\r\nA\0: b\r\n\r\n"s)), "control-character");
}

// Guards against an unknown coding that is called malformed, and the reverse.
Test(RequestFraming, statuses)
{
    cr_assert_eq(statusOf(FramingFault::UnknownCoding), 501);
    cr_assert_eq(statusOf(FramingFault::Coding), 400);
    cr_assert_eq(fieldOf(FramingFault::LengthAndCoding), "Transfer-Encoding");
    cr_assert_eq(fieldOf(FramingFault::SeveralLengths), "Content-Length");
}

// Guards against a head whose end is missed, or seen too early, because it arrives in parts.
Test(RequestFraming, headsArriveInParts)
{
    const std::string head = "GET / HTTP/1.1\r\nA: b\r\n\r\n";
    const std::string bytes = head + "body\n\r\n\r\n";
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); ++second) {
            HeadScan scan;
            std::optional<std::size_t> end;
            for (const std::size_t size : {first, second, bytes.size()}) {
                if (end) {
                    continue;
                }
                const auto scanned = scan.feed(std::string_view(bytes).substr(0, size));
                cr_assert(std::holds_alternative<std::optional<std::size_t>>(scanned));
                end = std::get<std::optional<std::size_t>>(scanned);
                cr_assert_eq(end.has_value(), size >= head.size(), "%zu, %zu", first, second);
            }
            cr_assert_eq(end.value_or(0), head.size());
        }
    }
}

// Guards against a wait for the end of a head that has a wrong line end already.
Test(RequestFraming, wrongLineEndsAreSeenAtOnce)
{
    for (const std::string bytes : {"GET / HTTP/1.1\n", "GET / HTTP/1.1\rA", "GET / HTTP/1.1\r\nA: b\n", "GET / HTTP/1.1\r\nA: b\r\n\rX"}) {
        HeadScan scan;
        std::size_t size = 0;
        while (size < bytes.size() && std::holds_alternative<std::optional<std::size_t>>(scan.feed(std::string_view(bytes).substr(0, size)))) {
            ++size;
        }
        cr_assert_eq(size, bytes.size(), "%s", bytes.c_str());
        cr_assert(std::holds_alternative<FramingFault>(scan.feed(bytes)), "%s", bytes.c_str());
    }
}
