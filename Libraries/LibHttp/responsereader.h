#pragma once

#include <LibCore/bootclock.h>
#include <LibHttp/parserfeed.h>

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace Trefoil
{

/// Bytes that a reader holds before they are parsed; no chunk header and no trailer may be longer.
constexpr std::size_t s_responseBufferLimit = std::size_t{64} * 1024;

/// Bytes of header, chunk sizes, chunk extensions and trailers that a response may have besides as many as its body
/// has. A body of 64 KB in chunks of one byte stays below it.
constexpr std::size_t s_responseOverheadLimit = std::size_t{256} * 1024;

/// Reads one response in steps, so that bytes that end in no response end at a limit. Beast's own reading operations go
/// on inside one operation while chunk headers are incomplete, and the timer of a stream never ends reads whose bytes
/// are already there; neither the deadline nor a count of bytes would then act.
/// Thread safety: one thread at a time, the one that runs the stream's context.
class ResponseReader
{
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// Preconditions: the limits of parser are set; all arguments outlive the reader; nothing of parser is parsed yet.
    ResponseReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, BootTime deadline);

    /// Parses what is held, or reads once and parses that. The error is timeout when there is more to read after the deadline, body_limit for a
    /// response that is mostly overhead, bad_transfer_encoding for a body in another coding than chunks, bad_status for a status outside 100 to 599 and for 101, end_of_stream when the connection ended before the first byte.
    /// Preconditions: the parser is not done; the last step had no error; the stream's timer is set.
    boost::beast::error_code step(const boost::asio::yield_context &yield);

    /// Whether the end of the body can be told from the end of the connection. Precondition: the header is done.
    bool declaresLength() const;

    /// Bytes of the response so far, without those that are held. Precondition: none.
    std::uint64_t bytesParsed() const
    {
        return m_feed.bytesParsed();
    }

private:
    boost::beast::error_code readOnce(const boost::asio::yield_context &yield);
    boost::beast::error_code parse();
    /// Whether the body is sent as it is or in chunks, and in no other transfer coding.
    bool hasKnownCoding() const;
    bool hasExcessiveOverhead() const;

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    Parser &m_parser;
    BootTime m_deadline;
    ParserFeed m_feed;
};

} // namespace Trefoil
