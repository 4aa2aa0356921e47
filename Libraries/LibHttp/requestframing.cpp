#include <LibHttp/requestframing.h>

#include <LibHttp/fieldvalue.h>
#include <LibHttp/message.h>

#include <algorithm>
#include <vector>

namespace Trefoil
{

namespace
{

constexpr std::string_view s_lineEnd = "\r\n";
constexpr std::string_view s_chunked = "chunked";
constexpr char s_delete = 0x7f;
constexpr int s_badRequest = 400;
constexpr int s_notImplemented = 501;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isTokenCharacter(char character)
{
    static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isLetter || isDigit(character) || others.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

/// Bytes from 0x80 on are allowed: the old grammar of values has them.
bool isControl(char character)
{
    return (static_cast<unsigned char>(character) < ' ' && character != '\t') || character == s_delete;
}

bool isSpace(char character)
{
    return character == ' ' || character == '\t';
}

struct Field
{
    std::string_view name;
    std::string_view value;
};

std::variant<Field, FramingFault> parseField(std::string_view line)
{
    if (isSpace(line.front())) {
        return FramingFault::FoldedLine;
    }
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (std::any_of(name.begin(), name.end(), isControl)) {
        return FramingFault::ControlCharacter;
    }
    if (colon == std::string_view::npos || !isToken(name)) {
        return FramingFault::FieldName;
    }
    const std::string_view value = line.substr(colon + 1);
    if (std::any_of(value.begin(), value.end(), isControl)) {
        return FramingFault::ControlCharacter;
    }
    return Field{name, trimmed(value)};
}

/// The headers that decide on the framing.
struct FramingFields
{
    std::vector<std::string_view> lengths{};
    /// The parts of all transfer codings, in order.
    std::vector<std::string_view> codings{};
    bool hasCoding = false;

    void add(const Field &field)
    {
        if (isSameHeaderName(field.name, "Content-Length")) {
            lengths.push_back(field.value);
            return;
        }
        if (!isSameHeaderName(field.name, "Transfer-Encoding")) {
            return;
        }
        hasCoding = true;
        std::string_view rest = field.value;
        while (true) {
            const auto comma = rest.find(',');
            codings.push_back(trimmed(rest.substr(0, comma)));
            if (comma == std::string_view::npos) {
                return;
            }
            rest.remove_prefix(comma + 1);
        }
    }
};

/// A coding may have parameters; "chunked" has none.
bool isKnownForm(std::string_view coding)
{
    return isToken(trimmed(coding.substr(0, coding.find(';'))));
}

std::variant<RequestFraming, FramingFault> decideCoding(const std::vector<std::string_view> &codings)
{
    const auto isChunked = [](std::string_view coding) { return isSameHeaderName(coding, s_chunked); };
    const bool isLastOnly = isChunked(codings.back()) && std::count_if(codings.begin(), codings.end(), isChunked) == 1;
    if (!isLastOnly || !std::all_of(codings.begin(), codings.end(), isKnownForm)) {
        return FramingFault::Coding;
    }
    if (codings.size() > 1) {
        return FramingFault::UnknownCoding;
    }
    return RequestFraming(ChunkedBody{});
}

std::variant<RequestFraming, FramingFault> decideLength(const std::vector<std::string_view> &lengths)
{
    if (lengths.size() > 1 || lengths.front().find(',') != std::string_view::npos) {
        return FramingFault::SeveralLengths;
    }
    const std::string_view digits = lengths.front();
    if (digits.empty() || !std::all_of(digits.begin(), digits.end(), isDigit)) {
        return FramingFault::Length;
    }
    return RequestFraming(LengthBody{digits});
}

bool isOldVersion(std::string_view requestLine)
{
    static constexpr std::string_view version = " HTTP/1.0";
    return requestLine.size() >= version.size() && requestLine.substr(requestLine.size() - version.size()) == version;
}

std::variant<RequestFraming, FramingFault> decide(const FramingFields &fields, bool isOld)
{
    if (fields.hasCoding && !fields.lengths.empty()) {
        return FramingFault::LengthAndCoding;
    }
    if (fields.hasCoding) {
        return isOld ? std::variant<RequestFraming, FramingFault>(FramingFault::CodingInOldVersion) : decideCoding(fields.codings);
    }
    return fields.lengths.empty() ? RequestFraming(NoBody{}) : decideLength(fields.lengths);
}

} // namespace

std::string_view toText(FramingFault fault)
{
    switch (fault) {
    case FramingFault::LineEnd:
        return "line-end";
    case FramingFault::ControlCharacter:
        return "control-character";
    case FramingFault::FoldedLine:
        return "folded-line";
    case FramingFault::FieldName:
        return "field-name";
    case FramingFault::Length:
        return "length";
    case FramingFault::SeveralLengths:
        return "several-lengths";
    case FramingFault::LengthAndCoding:
        return "length-and-coding";
    case FramingFault::Coding:
        return "coding";
    case FramingFault::UnknownCoding:
        return "unknown-coding";
    case FramingFault::CodingInOldVersion:
        return "coding-in-old-version";
    }
    return "unknown";
}

int statusOf(FramingFault fault)
{
    return fault == FramingFault::UnknownCoding ? s_notImplemented : s_badRequest;
}

std::string_view fieldOf(FramingFault fault)
{
    switch (fault) {
    case FramingFault::Length:
    case FramingFault::SeveralLengths:
        return "Content-Length";
    case FramingFault::LengthAndCoding:
    case FramingFault::Coding:
    case FramingFault::UnknownCoding:
    case FramingFault::CodingInOldVersion:
        return "Transfer-Encoding";
    default:
        return "header";
    }
}

std::variant<RequestFraming, FramingFault> decideFraming(std::string_view head)
{
    FramingFields fields;
    std::string_view requestLine;
    bool isRequestLine = true;
    while (true) {
        const auto end = head.find(s_lineEnd);
        const std::string_view line = head.substr(0, end);
        if (end == std::string_view::npos || line.find_first_of(s_lineEnd) != std::string_view::npos) {
            return FramingFault::LineEnd;
        }
        head.remove_prefix(end + s_lineEnd.size());
        if (isRequestLine) {
            requestLine = line;
            isRequestLine = false;
            continue;
        }
        if (line.empty()) {
            break;
        }
        const auto field = parseField(line);
        if (const auto *fault = std::get_if<FramingFault>(&field)) {
            return *fault;
        }
        fields.add(std::get<Field>(field));
    }
    return decide(fields, isOldVersion(requestLine));
}

std::variant<std::optional<std::size_t>, FramingFault> HeadScan::feed(std::string_view bytes)
{
    std::size_t position = m_seen;
    while ((position = bytes.find_first_of(s_lineEnd, position)) != std::string_view::npos) {
        if (bytes[position] == '\n') {
            return FramingFault::LineEnd;
        }
        if (position + 1 == bytes.size()) {
            break;
        }
        if (bytes[position + 1] != '\n') {
            return FramingFault::LineEnd;
        }
        const std::size_t next = position + s_lineEnd.size();
        const bool endsEmptyLine = position == 0 || (position >= s_lineEnd.size() && bytes.substr(position - s_lineEnd.size(), s_lineEnd.size()) == s_lineEnd);
        if (endsEmptyLine) {
            return std::optional<std::size_t>(next);
        }
        position = next;
        m_seen = next;
    }
    // A last CR is seen again, with what follows it.
    m_seen = std::min(position, bytes.size());
    return std::optional<std::size_t>();
}

} // namespace Trefoil
