#include <LibHttp/message.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace Trefoil
{

constexpr std::array<std::string_view, 11> s_connectionHeaders = {"Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length"};

static char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLower(x) == toLower(y); });
}

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(s_connectionHeaders.begin(), s_connectionHeaders.end(), [name](std::string_view header) { return isSameHeaderName(name, header); });
}

const std::string *HttpHeaders::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (isSameHeaderName(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found ? std::string_view(*found) : std::string_view();
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(), [name](const HttpHeader &field) { return isSameHeaderName(field.name, name); }));
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

HttpResponse errorResponse(int status, std::string_view error, std::string_view field, std::string_view message)
{
    const nlohmann::ordered_json body = {{"error", error}, {"field", field}, {"message", message}};
    // Parts of a caller's input may be quoted in the message; invalid UTF-8 in them is replaced.
    return jsonResponse(status, body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace Trefoil
