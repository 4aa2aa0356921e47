#pragma once

#include <LibHttp/requestframing.h>

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>
#include <variant>

namespace Trefoil
{

/// The head of a request whose framing is decided, or why there is none.
using RequestHead = std::variant<std::string_view, FramingFault, boost::system::error_code>;

/// Bytes read at once while a head is awaited.
constexpr std::size_t s_headReadSize = 4096;

/// Reads until the buffer begins with a whole head, and checks its framing; no byte is taken from the buffer. The error is header_limit for
/// a head above the limit. The head refers to the buffer.
/// Preconditions: the buffer may hold limit + s_headReadSize bytes; the stream's time is limited by the caller. Thread safety: one thread at
/// a time, the one that runs the stream's context.
template<typename Stream>
RequestHead readHead(Stream &stream, boost::beast::flat_buffer &buffer, std::size_t limit, const boost::asio::yield_context &yield)
{
    HeadScan scan;
    while (true) {
        const std::string_view bytes(static_cast<const char *>(buffer.data().data()), buffer.size());
        const auto scanned = scan.feed(bytes);
        if (const auto *fault = std::get_if<FramingFault>(&scanned)) {
            return *fault;
        }
        const auto size = std::get<std::optional<std::size_t>>(scanned);
        if (size.value_or(bytes.size()) > limit || (!size && bytes.size() == limit)) {
            return boost::system::error_code(boost::beast::http::error::header_limit);
        }
        if (size) {
            const std::string_view head = bytes.substr(0, *size);
            const auto framing = decideFraming(head);
            const auto *fault = std::get_if<FramingFault>(&framing);
            return fault ? RequestHead(*fault) : RequestHead(head);
        }
        boost::system::error_code error;
        buffer.commit(stream.async_read_some(buffer.prepare(s_headReadSize), yield[error]));
        if (error) {
            return error;
        }
    }
}

} // namespace Trefoil
