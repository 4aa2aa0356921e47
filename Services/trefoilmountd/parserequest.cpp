#include <Services/trefoilmountd/parserequest.h>

#include <LibIdempotency/claimkey.h>

#include <LibConfiguration/validation.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace Trefoil
{

namespace
{

constexpr std::string_view s_requestsPrefix = "/v1/requests/";
constexpr std::string_view s_keysPrefix = "/v1/keys/";
constexpr std::string_view s_lookupPath = "/v1/lookup";
constexpr std::size_t s_maximumKeyLength = 128;
constexpr std::int64_t s_maximumDeadlineMs = 600000;
constexpr std::string_view s_nameHint = "1 to 64 letters, digits, '-', '_' or '.'";

/// The first invalid field, which ends parsing and is reported in the response.
struct InvalidField
{
    std::string field;
    std::string message;
};

HttpResponse invalidInput(const InvalidField &bad)
{
    return errorResponse(400, "invalid-input", bad.field, bad.message);
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool isValidKey(std::string_view key)
{
    const auto isVisible = [](char character) { return character > ' ' && character < '\x7f' && character != '/'; };
    return !key.empty() && key.size() <= s_maximumKeyLength && std::all_of(key.begin(), key.end(), isVisible);
}

std::optional<std::uint32_t> parseAddress(const std::string &text)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(text, error);
    if (error) {
        return std::nullopt;
    }
    return address.to_uint();
}

/// Reads the headers of a request into a ParsedRequest and keeps the first invalid field.
class RequestHeaderReader
{
public:
    RequestHeaderReader(const HttpHeaders &headers, ParsedRequest &request)
        : m_headers(headers)
        , m_request(request)
    {
    }

    std::optional<InvalidField> read(const std::string &callerAddress)
    {
        m_request.tenant = TenantId(readName("Trefoil-Tenant"));
        m_request.requestClass = ClassId(readName("Trefoil-Class"));
        readDeadline();
        m_request.mayWait = readChoice("Trefoil-May-Wait", "yes", "no");
        m_request.mayRepeat = readChoice("Trefoil-Repeat", "safe", "never");
        readKey();
        readClient(callerAddress);
        readRelay();
        return m_invalid;
    }

private:
    void fail(std::string_view field, std::string message)
    {
        if (!m_invalid) {
            m_invalid = InvalidField{std::string(field), std::move(message)};
        }
    }

    /// The header's value. A repeated header is invalid, because each host on the path could read another of its values.
    const std::string *singleValue(std::string_view name)
    {
        if (m_headers.count(name) > 1) {
            fail(name, "the header is repeated");
            return nullptr;
        }
        return m_headers.find(name);
    }

    std::string readName(std::string_view name)
    {
        const std::string *value = singleValue(name);
        if (!value) {
            fail(name, "the header is missing");
            return {};
        }
        if (!isValidName(*value)) {
            fail(name, fmt::format("not a valid name: {}", s_nameHint));
        }
        return *value;
    }

    void readDeadline()
    {
        const std::string *value = singleValue("Trefoil-Deadline-Ms");
        if (!value) {
            return;
        }
        std::int64_t milliseconds = 0;
        const char *end = value->data() + value->size();
        const auto parsed = std::from_chars(value->data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 1 || milliseconds > s_maximumDeadlineMs) {
            fail("Trefoil-Deadline-Ms", fmt::format("not a whole number of milliseconds from 1 to {}", s_maximumDeadlineMs));
            return;
        }
        m_request.timeLeft = std::chrono::milliseconds(milliseconds);
    }

    std::optional<bool> readChoice(std::string_view name, std::string_view whenTrue, std::string_view whenFalse)
    {
        const std::string *value = singleValue(name);
        if (!value) {
            return std::nullopt;
        }
        if (*value != whenTrue && *value != whenFalse) {
            fail(name, fmt::format("neither \"{}\" nor \"{}\"", whenTrue, whenFalse));
        }
        return *value == whenTrue;
    }

    void readKey()
    {
        const std::string *value = singleValue("Idempotency-Key");
        if (!value) {
            return;
        }
        if (!isValidKey(*value)) {
            fail("Idempotency-Key", fmt::format("not 1 to {} visible characters without '/'", s_maximumKeyLength));
        } else if (!creationTime(RequestKey(*value))) {
            fail("Idempotency-Key", "not \"<creation time in Unix seconds>-<text>\"");
        }
        m_request.key = RequestKey(*value);
    }

    void readClient(const std::string &callerAddress)
    {
        const std::string *value = singleValue("Trefoil-Client");
        const auto address = parseAddress(value ? *value : callerAddress);
        if (!address) {
            fail("Trefoil-Client", "not an IPv4 number");
            return;
        }
        m_request.client = *address;
    }

    void readRelay()
    {
        if (!singleValue("Trefoil-Relay")) {
            return;
        }
        m_request.relayedBy = HostId(readName("Trefoil-Relay"));
        m_request.relayedHome = RegionId(readName("Trefoil-Home-Region"));
        m_request.relayedId = RequestId(readName("Trefoil-Request-Id"));
    }

    const HttpHeaders &m_headers;
    ParsedRequest &m_request;
    std::optional<InvalidField> m_invalid;
};

ParsedInput parseServiceRequest(const HttpRequest &request, const std::string &callerAddress)
{
    if (request.method != "GET" && request.method != "POST") {
        return errorResponse(405, "method-not-allowed", "method", "only GET and POST are allowed");
    }
    const std::string rest = request.target.substr(s_requestsPrefix.size());
    const auto slash = rest.find('/');
    ParsedRequest parsed;
    parsed.method = request.method;
    parsed.service = ServiceId(rest.substr(0, slash));
    parsed.upstreamTarget = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!isValidName(parsed.service.value())) {
        return invalidInput({"service", fmt::format("not a valid name: {}", s_nameHint)});
    }
    if (startsWith(parsed.upstreamTarget, "/v1/")) {
        // Callers have no access to the upstream's control interface, for example to cancel other requests.
        return invalidInput({"path", "paths below /v1/ are reserved"});
    }
    if (const auto invalid = RequestHeaderReader(request.headers, parsed).read(callerAddress)) {
        return invalidInput(*invalid);
    }
    return parsed;
}

ParsedInput parseLookup(const HttpRequest &request)
{
    if (request.method != "GET") {
        return errorResponse(405, "method-not-allowed", "method", "only GET is allowed");
    }
    std::optional<std::string> service;
    std::optional<std::string> client;
    std::string_view query = request.target;
    query.remove_prefix(std::min(query.size(), s_lookupPath.size() + 1));
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const auto equals = parameter.find('=');
        const std::string_view name = parameter.substr(0, equals);
        std::optional<std::string> &target = name == "service" ? service : client;
        if ((name != "service" && name != "client") || target || equals == std::string_view::npos) {
            return invalidInput({std::string(name), "not one of the parameters service and client, each given once"});
        }
        target = std::string(parameter.substr(equals + 1));
    }
    if (!service || !isValidName(*service)) {
        return invalidInput({"service", fmt::format("missing, or not a valid name: {}", s_nameHint)});
    }
    const auto address = client ? parseAddress(*client) : std::nullopt;
    if (!address) {
        return invalidInput({"client", "missing, or not an IPv4 number"});
    }
    return LookupQuery{ServiceId(std::move(*service)), *address};
}

ParsedInput parseKeyQuery(const HttpRequest &request)
{
    if (request.method != "GET") {
        return errorResponse(405, "method-not-allowed", "method", "only GET is allowed");
    }
    const std::string rest = request.target.substr(s_keysPrefix.size());
    const auto first = rest.find('/');
    const auto second = first == std::string::npos ? first : rest.find('/', first + 1);
    if (second == std::string::npos) {
        return invalidInput({"path", "not /v1/keys/<service>/<tenant>/<key>"});
    }
    KeyQuery query{ServiceId(rest.substr(0, first)), TenantId(rest.substr(first + 1, second - first - 1)), RequestKey(rest.substr(second + 1))};
    if (!isValidName(query.service.value())) {
        return invalidInput({"service", fmt::format("not a valid name: {}", s_nameHint)});
    }
    if (!isValidName(query.tenant.value())) {
        return invalidInput({"tenant", fmt::format("not a valid name: {}", s_nameHint)});
    }
    if (!isValidKey(query.key.value())) {
        return invalidInput({"key", fmt::format("not 1 to {} visible characters without '/'", s_maximumKeyLength)});
    }
    return query;
}

} // namespace

ParsedInput parseRequest(const HttpRequest &request, const std::string &callerAddress)
{
    const std::string_view target = request.target;
    if (startsWith(target, s_requestsPrefix)) {
        return parseServiceRequest(request, callerAddress);
    }
    if (startsWith(target, s_lookupPath) && (target.size() == s_lookupPath.size() || target[s_lookupPath.size()] == '?')) {
        return parseLookup(request);
    }
    if (startsWith(target, s_keysPrefix)) {
        return parseKeyQuery(request);
    }
    return errorResponse(404, "not-found", "path", "no such resource");
}

} // namespace Trefoil
