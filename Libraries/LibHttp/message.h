#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages as plain values, independent of the library that reads and writes them.
namespace Trefoil
{

struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they are sent; names compare without case.
class HttpHeaders
{
public:
    /// The value of the first field of that name; a null pointer when there is none.
    /// Precondition: none. Thread safety: safe for concurrent readers.
    const std::string *find(std::string_view name) const;

    /// The value of the first field of that name, or an empty text.
    /// Precondition: none. Thread safety: safe for concurrent readers.
    std::string_view value(std::string_view name) const;

    /// How many fields have that name. Precondition: none. Thread safety: safe for concurrent readers.
    std::size_t count(std::string_view name) const;

    /// Adds a field at the end. Precondition: neither text holds a line break. Thread safety: one thread at a time.
    void add(std::string_view name, std::string_view value);

    /// Thread safety: safe for concurrent readers.
    const std::vector<HttpHeader> &all() const
    {
        return m_fields;
    }

private:
    std::vector<HttpHeader> m_fields;
};

struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers{};
    std::string body{};
};

class MemoryReservation;

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers{};
    std::string body{};
    /// Keeps the room of the body in the budget of the host until the response has been written; null when it counts against none.
    std::shared_ptr<MemoryReservation> reservation{};
};

/// A response with a JSON body `{"error", "field", "message"}`.
/// Precondition: status is an HTTP status. Thread safety: safe from any thread.
HttpResponse errorResponse(int status, std::string_view error, std::string_view field, std::string_view message);

/// A response with the given JSON text as its body. Precondition: status is an HTTP status. Thread safety: safe from any thread.
HttpResponse jsonResponse(int status, std::string body);

/// True for a header that concerns one connection only and is not passed on. Precondition: none. Thread safety: safe from any thread.
bool isConnectionHeader(std::string_view name);

/// True when two header names are equal without regard to case. Precondition: none. Thread safety: safe from any thread.
bool isSameHeaderName(std::string_view a, std::string_view b);

} // namespace Trefoil
