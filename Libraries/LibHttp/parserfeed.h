#pragma once

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace Trefoil
{

/// Gives the bytes of a buffer to one parser of Beast.
/// Thread safety: one thread at a time.
class ParserFeed
{
public:
    /// Parses what the buffer holds and takes the parsed bytes from it. Returns the parser's error, other than need_more.
    /// Precondition: the parser is not done.
    template<typename Parser>
    boost::system::error_code put(Parser &parser, boost::beast::flat_buffer &buffer)
    {
        // The parser asserts that it gets these bytes at once when it has seen the size of the last chunk already.
        if (m_needsMore && parser.is_header_done() && parser.chunked() && buffer.size() < s_shortestLastChunk) {
            return {};
        }
        boost::system::error_code error;
        const std::size_t count = parser.put(buffer.data(), error);
        buffer.consume(count);
        m_bytesParsed += count;
        m_needsMore = error == boost::beast::http::error::need_more;
        return m_needsMore ? boost::system::error_code() : error;
    }

    /// Whether the bytes that the buffer holds are only the start of something. Precondition: none.
    bool needsMore() const
    {
        return m_needsMore;
    }

    /// Precondition: none.
    std::size_t bytesParsed() const
    {
        return m_bytesParsed;
    }

private:
    /// Bytes of "0" and two line ends; any other chunk has more.
    static constexpr std::size_t s_shortestLastChunk = 5;

    bool m_needsMore = false;
    std::size_t m_bytesParsed = 0;
};

/// Parses what the buffer holds, or reads once and parses that. The error is buffer_overflow when the buffer can't hold a chunk header or
/// trailers. Preconditions: the parser is eager, its header is done and it is not; the stream's time is limited by the caller. Thread safety:
/// one thread at a time, the one that runs the stream's context.
template<typename Stream, typename Parser>
boost::system::error_code readBodyStep(
    Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, ParserFeed &feed, const boost::asio::yield_context &yield)
{
    constexpr std::size_t readBytes = std::size_t{64} * 1024;
    if (buffer.size() == 0 || feed.needsMore()) {
        const std::size_t size = boost::beast::read_size(buffer, readBytes);
        if (size == 0) {
            return boost::beast::http::error::buffer_overflow;
        }
        boost::system::error_code error;
        buffer.commit(stream.async_read_some(buffer.prepare(size), yield[error]));
        if (error) {
            return error;
        }
    }
    return feed.put(parser, buffer);
}

/// Reads the rest of a message whose header is parsed, as readBodyStep() does.
/// Preconditions: the parser's header is done; the stream's time is limited by the caller. Thread safety: as readBodyStep().
template<typename Stream, typename Parser>
boost::system::error_code readBody(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, const boost::asio::yield_context &yield)
{
    ParserFeed feed;
    parser.eager(true);
    while (!parser.is_done()) {
        if (const auto error = readBodyStep(stream, buffer, parser, feed, yield)) {
            return error;
        }
    }
    return {};
}

} // namespace Trefoil
