#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

/// Where the body of a request ends, decided from its head before anything else looks at the request. Two servers that decide
/// differently on one request would take a part of its body for a request of its own.
namespace Trefoil
{

/// Why the end of a request can't be told for certain.
enum class FramingFault {
    /// A line that doesn't end with CR LF, or a bare CR or LF within a line.
    LineEnd,
    /// A control character other than a tab in a header value.
    ControlCharacter,
    /// A header line that begins with white space.
    FoldedLine,
    /// A header line without a colon, or a name that is no token, such as one with a space before the colon.
    FieldName,
    /// A Content-Length that is no number.
    Length,
    /// Several lengths, also equal ones.
    SeveralLengths,
    /// Both a length and a transfer coding.
    LengthAndCoding,
    /// A transfer coding that is malformed, or whose last part isn't "chunked", or that has "chunked" twice.
    Coding,
    /// A well-formed transfer coding other than "chunked".
    UnknownCoding,
    /// A transfer coding in a request of HTTP/1.0, whose senders know none.
    CodingInOldVersion,
};

constexpr std::size_t s_framingFaultCount = static_cast<std::size_t>(FramingFault::CodingInOldVersion) + 1;

/// The fault's name in metrics and responses, such as "length-and-coding". Precondition: none. Thread safety: safe from any thread.
std::string_view toText(FramingFault fault);

/// Status of the response to such a request: 501 for an unknown coding, else 400. Precondition: none. Thread safety: safe from any thread.
int statusOf(FramingFault fault);

/// The header at fault, or "header". Precondition: none. Thread safety: safe from any thread.
std::string_view fieldOf(FramingFault fault);

struct NoBody
{
};

struct LengthBody
{
    /// Decimal digits, at least one; they may exceed any limit.
    std::string_view digits;
};

struct ChunkedBody
{
};

using RequestFraming = std::variant<NoBody, LengthBody, ChunkedBody>;

/// Decides on the framing of a request from its head: the request line and the header lines, with the empty line at the end. The request
/// line itself is checked for line ends only. A result refers to the head.
/// Precondition: none. Thread safety: safe from any thread.
std::variant<RequestFraming, FramingFault> decideFraming(std::string_view head);

/// Finds the end of a head in bytes that arrive in parts.
class HeadScan
{
public:
    /// Takes all bytes so far, of which earlier calls saw the beginning. Returns the size of the head with its empty line, nothing while
    /// it isn't complete, or a fault as soon as a line ends without CR LF.
    /// Precondition: bytes begins with those of the call before. Thread safety: one thread at a time.
    std::variant<std::optional<std::size_t>, FramingFault> feed(std::string_view bytes);

private:
    std::size_t m_seen = 0;
};

} // namespace Trefoil
