#include "coroutine.h"
#include <LibHttp/endpoint.h>
#include <LibHttp/httpserver.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <cstdlib>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Seeded fuzzer of the request parser. A longer run: TREFOIL_FUZZ_CONNECTIONS=200000 TREFOIL_FUZZ_SEED=2 TestHttp --filter 'RequestFuzz/*'
using namespace Trefoil;
namespace asio = boost::asio;

namespace
{

/// Connections of the run in CI, which take about two seconds.
constexpr std::uint64_t s_connections = 6000;
constexpr std::uint64_t s_seed = 1;
constexpr std::size_t s_bodyLimit = 4000;

struct Sent
{
    std::string id;
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const Sent &other) const
    {
        return id == other.id && method == other.method && target == other.target && body == other.body;
    }
};

std::uint64_t setting(const char *name, std::uint64_t standard)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : standard;
}

std::string escaped(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        const bool isPlain = byte >= ' ' && byte < 0x7f && byte != '\\';
        text += isPlain ? std::string(1, byte) : fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

/// Reads requests by the letter of RFC 7230, without any leniency, so that nothing it returns has a second reading.
class StrictReader
{
public:
    explicit StrictReader(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    /// The next whole request; nothing at the end, or at bytes that are no request.
    std::optional<Sent> next()
    {
        Sent request;
        const auto line = takeLine();
        if (!line || !parseRequestLine(*line, request)) {
            return std::nullopt;
        }
        std::vector<std::string> lengths;
        std::vector<std::string> codings;
        bool hasId = false;
        while (true) {
            const auto field = takeLine();
            if (!field) {
                return std::nullopt;
            }
            if (field->empty()) {
                break;
            }
            const auto colon = field->find(':');
            if (colon == std::string::npos || !isToken(field->substr(0, colon))) {
                return std::nullopt;
            }
            std::string name = field->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](char character) { return static_cast<char>(std::tolower(character)); });
            const auto first = field->find_first_not_of(" \t", colon + 1);
            const std::string value = first == std::string::npos ? "" : field->substr(first, field->find_last_not_of(" \t") - first + 1);
            if (name == "content-length") {
                lengths.push_back(value);
            }
            if (name == "transfer-encoding") {
                codings.push_back(value);
            }
            if (name == "trefoil-request-id" && !hasId) {
                hasId = true;
                request.id = value;
            }
        }
        return takeBody(request, lengths, codings) ? std::make_optional(request) : std::nullopt;
    }

private:
    static bool isToken(const std::string &text)
    {
        return !text.empty() && text.find_first_not_of("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string::npos;
    }

    /// A line without its CR LF; nothing without one, or with a control character other than a tab.
    std::optional<std::string> takeLine()
    {
        const auto end = m_rest.find("\r\n");
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string line(m_rest.substr(0, end));
        m_rest.remove_prefix(end + 2);
        const auto isWrong = [](char character) { return (static_cast<unsigned char>(character) < ' ' && character != '\t') || character == 0x7f; };
        return std::any_of(line.begin(), line.end(), isWrong) ? std::nullopt : std::make_optional(line);
    }

    bool parseRequestLine(const std::string &line, Sent &request)
    {
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            return false;
        }
        request.method = line.substr(0, first);
        request.target = line.substr(first + 1, second - first - 1);
        m_version = line.substr(second + 1);
        const bool isTarget = !request.target.empty() && request.target.find_first_of(" \t") == std::string::npos;
        return isToken(request.method) && isTarget && (m_version == "HTTP/1.1" || m_version == "HTTP/1.0");
    }

    bool takeBody(Sent &request, const std::vector<std::string> &lengths, std::vector<std::string> codings)
    {
        if (codings.empty() && lengths.empty()) {
            return true;
        }
        if (codings.empty()) {
            const std::string &length = lengths.front();
            if (lengths.size() > 1 || length.empty() || length.find_first_not_of("0123456789") != std::string::npos) {
                return false;
            }
            const std::uint64_t size = std::strtoull(length.c_str(), nullptr, 10);
            return take(size, request.body);
        }
        std::string &coding = codings.front();
        std::transform(coding.begin(), coding.end(), coding.begin(), [](char character) { return static_cast<char>(std::tolower(character)); });
        return lengths.empty() && codings.size() == 1 && coding == "chunked" && m_version == "HTTP/1.1" && takeChunks(request.body);
    }

    bool take(std::uint64_t size, std::string &body)
    {
        if (size > m_rest.size()) {
            return false;
        }
        body += m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return true;
    }

    bool takeChunks(std::string &body)
    {
        while (true) {
            const auto line = takeLine();
            if (!line) {
                return false;
            }
            const auto end = std::min(line->find_first_not_of("0123456789abcdefABCDEF"), line->size());
            const auto extension = line->find_first_not_of(" \t", end);
            if (end == 0 || (extension != std::string::npos && (*line)[extension] != ';')) {
                return false;
            }
            const std::uint64_t size = std::strtoull(line->substr(0, end).c_str(), nullptr, 16);
            if (size == 0) {
                break;
            }
            std::string lineEnd;
            if (!take(size, body) || !take(2, lineEnd) || lineEnd != "\r\n") {
                return false;
            }
        }
        // Trailers up to the empty line.
        while (true) {
            const auto end = m_rest.find("\r\n");
            if (end == std::string_view::npos) {
                return false;
            }
            m_rest.remove_prefix(end + 2);
            if (end == 0) {
                return true;
            }
        }
    }

    std::string_view m_rest;
    std::string m_version;
};

class Fuzzer
{
public:
    explicit Fuzzer(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(m_random() % bound);
    }

    template<typename Container>
    const auto &one(const Container &container)
    {
        return container[below(std::size(container))];
    }

    Sent request(const std::string &id)
    {
        static const std::string methods[] = {"GET", "POST", "PUT", "DELETE", "HEAD", "M-SEARCH"};
        Sent sent{id, one(methods), "/" + id + "?q=" + std::to_string(below(10)), {}};
        if (below(4) > 0) {
            // A body that would run as a request of its own.
            sent.body = "POST /hidden HTTP/1.1\r\nTrefoil-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n";
        }
        for (std::size_t i = below(3); i > 0; --i) {
            static const std::string parts[] = {"0\r\n\r\n", "\r\n", "two casts", "HTTP/1.1 200 OK\r\n\r\n", "5\r\n", std::string(300, 'x')};
            sent.body += one(parts);
        }
        return sent;
    }

    std::string serialized(const Sent &sent)
    {
        static const std::string fields[] = {"A: b", "Host: a.example", "Empty:", "Accept: */*", "TE: trailers", "X-Length: 9", "Cookie: a=b; c=\"d\""};
        std::string text = sent.method + " " + sent.target + " HTTP/1.1\r\nTrefoil-Request-Id: " + sent.id + "\r\n";
        for (std::size_t i = below(4); i > 0; --i) {
            text += one(fields) + "\r\n";
        }
        if (sent.body.empty() && below(2) == 0) {
            return text + "\r\n";
        }
        if (below(2) == 0) {
            return text + (below(5) == 0 ? "content-length:00" : "Content-Length: ") + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
        }
        return text + (below(5) == 0 ? "transfer-encoding:\tCHUNKED \r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n") + chunks(sent.body);
    }

    void mutate(std::string &bytes)
    {
        static const std::string lines[] = {"Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked",
            "Transfer-Encoding: identity, chunked",
            "Transfer-Encoding: chunked, identity",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding:\013chunked",
            "Transfer-Encoding: xchunked",
            "Content-Length: 0",
            "Content-Length: 5",
            "Content-Length: 0, 0",
            "Content-Length: +5",
            "Content-Length : 5",
            " folded",
            "\tContent-Length: 0",
            "Trefoil-Request-Id: other",
            "Bad Name: 1",
            "NoColon",
            "Content-Length: 99999999999999999999",
            "A: b\nContent-Length: 0",
            "A: b\rContent-Length: 0",
            "Expect: 100-continue",
            "Connection: close",
            ": x"};
        static const std::string texts[] = {
            "\r", "\n", "\r\n", "\r\n\r\n", " ", "\t", ":", ",", ";", "0", "9", "chunked", std::string(1, '\0'), "\x0b", "\x7f", "\x80"};
        const std::size_t position = below(bytes.size() + 1);
        const std::size_t length = std::min(below(4) == 0 ? below(60) : 1, bytes.size() - position);
        switch (below(8)) {
        case 0:
        case 1:
        case 2: {
            const auto line = bytes.find("\r\n", position);
            if (line != std::string::npos) {
                bytes.insert(line + 2, one(lines) + "\r\n");
            }
            break;
        }
        case 3:
            bytes.insert(position, one(texts));
            break;
        case 4:
            bytes.replace(position, length, one(texts));
            break;
        case 5:
            bytes.erase(position, length);
            break;
        case 6:
            bytes.insert(position, bytes.substr(position, length));
            break;
        default: {
            static const std::pair<std::string, std::string> replacements[] = {{"HTTP/1.1", "HTTP/1.0"},
                {"chunked", "gzip"},
                {"chunked", "gzip, chunked"},
                {"Content-Length", "Transfer-Encoding"},
                {"\r\n", "\n"},
                {"\r\n", "\r"},
                {": ", " : "},
                {"Content-Length: ", "Content-Length: -"}};
            const auto &[from, to] = one(replacements);
            const auto found = bytes.find(from, position);
            if (found != std::string::npos) {
                bytes.replace(found, from.size(), to);
            }
        }
        }
    }

private:
    std::string chunks(const std::string &body)
    {
        std::string text;
        for (std::size_t start = 0; start < body.size();) {
            const std::size_t size = std::min(1 + below(80), body.size() - start);
            text += fmt::format("{:x}{}\r\n", size, below(4) == 0 ? ";a=b" : "") + body.substr(start, size) + "\r\n";
            start += size;
        }
        return text + "0\r\n" + (below(4) == 0 ? "Trefoil-Request-Id: trailer\r\n" : "") + "\r\n";
    }

    std::mt19937_64 m_random;
};

/// One connection: its bytes, and what the server handled.
struct Play
{
    std::string bytes;
    std::vector<Sent> handled{};
    std::string answers{};
};

void play(asio::io_context &context, const HttpServer &server, Fuzzer &fuzzer, Play &current, const asio::yield_context &yield)
{
    asio::ip::tcp::socket socket(context);
    socket.async_connect(parseEndpoint(server.address()).value(), yield);
    socket.set_option(asio::ip::tcp::no_delay(true));
    boost::system::error_code error;
    std::size_t start = 0;
    for (std::size_t parts = fuzzer.below(5); start < current.bytes.size() && !error; --parts) {
        const std::size_t size = parts == 0 ? current.bytes.size() - start : 1 + fuzzer.below(current.bytes.size() - start);
        asio::async_write(socket, asio::buffer(current.bytes.data() + start, size), yield[error]);
        start += size;
        // Lets the server read this part before the next one comes.
        for (int i = 0; i < 3; ++i) {
            asio::post(context, yield);
        }
        parts = std::max<std::size_t>(parts, 1);
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    asio::async_read(socket, asio::dynamic_buffer(current.answers), yield[error]);
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t number = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++number;
    }
    return number;
}

} // namespace

// Guards against a request that runs although no caller sent it so: its id, method, path or body is another one, or it hides in another
// request. Of bytes with a wrong part, only what is before that part may run. Guards also against proper requests that don't run.
Test(RequestFuzz, onlyWhatCallersSentRuns, .timeout = 3600)
{
    const std::uint64_t seed = setting("TREFOIL_FUZZ_SEED", s_seed);
    const std::uint64_t connections = setting("TREFOIL_FUZZ_CONNECTIONS", s_connections);
    asio::io_context context(1);
    Play current;
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.input.bodyLimit = s_bodyLimit;
    settings.framingRejections = std::make_shared<FramingRejections>();
    const auto server = std::move(HttpServer::create(context, settings, [&current](HttpRequest &request, CallerConnection &, const asio::yield_context &) {
        current.handled.push_back({std::string(request.headers.value("Trefoil-Request-Id")), request.method, request.target, request.body});
        return HttpResponse{};
    }).value());
    Fuzzer fuzzer(seed);
    std::uint64_t sent = 0;
    std::uint64_t handled = 0;
    std::uint64_t proper = 0;
    runCoroutine(context, [&](const asio::yield_context &yield) {
        for (std::uint64_t connection = 0; connection < connections; ++connection) {
            current = {};
            std::vector<Sent> requests;
            for (std::size_t i = 1 + fuzzer.below(4); i > 0; --i) {
                requests.push_back(fuzzer.request(fmt::format("{}-{}", connection, i)));
                current.bytes += fuzzer.serialized(requests.back());
            }
            const std::size_t mutations = fuzzer.below(4);
            for (std::size_t i = 0; i < mutations; ++i) {
                fuzzer.mutate(current.bytes);
            }
            StrictReader reader(current.bytes);
            std::vector<Sent> expected;
            while (auto request = reader.next()) {
                expected.push_back(std::move(*request));
            }
            play(context, *server, fuzzer, current, yield);
            const std::string where = fmt::format("seed {}, connection {}: {}", seed, connection, escaped(current.bytes));
            cr_assert_leq(current.handled.size(), expected.size(), "%s", where.c_str());
            cr_assert(std::equal(current.handled.begin(), current.handled.end(), expected.begin()), "%s", where.c_str());
            if (mutations == 0) {
                ++proper;
                cr_assert(current.handled == requests, "not all ran: %s", where.c_str());
                cr_assert_eq(count(current.answers, "HTTP/1.1 200"), requests.size(), "%s", where.c_str());
            }
            sent += requests.size();
            handled += current.handled.size();
        }
    });
    std::string rejections;
    for (std::size_t i = 0; i < s_framingFaultCount; ++i) {
        rejections += fmt::format(" {} {}", toText(static_cast<FramingFault>(i)), settings.framingRejections->of(static_cast<FramingFault>(i)));
    }
    cr_log_info("seed %lu: %lu connections (%lu unchanged), %lu requests, %lu ran; rejected:%s", seed, connections, proper, sent, handled, rejections.c_str());
}
