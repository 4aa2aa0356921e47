#include <LibHttp/responsereader.h>

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>

namespace Trefoil
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t s_readBytes = std::size_t{64} * 1024;
constexpr unsigned s_firstStatus = 100;
/// Changes the protocol of the connection, which no request of this product asks for.
constexpr unsigned s_switchingProtocols = 101;
constexpr unsigned s_lastStatus = 599;

bool isKnownStatus(unsigned status)
{
    return status >= s_firstStatus && status <= s_lastStatus && status != s_switchingProtocols;
}

} // namespace

ResponseReader::ResponseReader(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, BootTime deadline)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_parser(parser)
    , m_deadline(deadline)
{
    // An eager parser drops the error of a declared length above the limit when bytes of the body follow the header at
    // once, and then reserves that length.
    m_parser.eager(false);
}

beast::error_code ResponseReader::step(const asio::yield_context &yield)
{
    if (m_buffer.size() == 0 || m_feed.needsMore()) {
        if (BootClock::now() >= m_deadline) {
            return beast::error::timeout;
        }
        const beast::error_code error = readOnce(yield);
        if (error || m_parser.is_done()) {
            return error;
        }
    }
    beast::error_code error = parse();
    if (!error && m_parser.is_header_done() && !isKnownStatus(m_parser.get().result_int())) {
        error = http::error::bad_status;
    }
    // Beast takes such a body for one that ends with the connection, or for its decoded form.
    if (!error && m_parser.is_header_done() && !hasKnownCoding()) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && hasExcessiveOverhead()) {
        error = http::error::body_limit;
    }
    return error;
}

bool ResponseReader::declaresLength() const
{
    const http::status status = m_parser.get().result();
    return m_parser.chunked() || m_parser.content_length().has_value() || status == http::status::no_content || status == http::status::not_modified;
}

beast::error_code ResponseReader::readOnce(const asio::yield_context &yield)
{
    const std::size_t size = beast::read_size(m_buffer, s_readBytes);
    if (size == 0) {
        return http::error::buffer_overflow;
    }
    beast::error_code error;
    m_buffer.commit(m_stream.async_read_some(m_buffer.prepare(size), yield[error]));
    if (error != asio::error::eof) {
        return error;
    }
    if (!m_parser.got_some()) {
        return http::error::end_of_stream;
    }
    error = {};
    m_parser.put_eof(error);
    return error;
}

beast::error_code ResponseReader::parse()
{
    const beast::error_code error = m_feed.put(m_parser, m_buffer);
    m_parser.eager(m_parser.is_header_done());
    return error;
}

bool ResponseReader::hasKnownCoding() const
{
    const auto codings = m_parser.get().equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second) {
        return true;
    }
    return std::next(codings.first) == codings.second && beast::iequals(codings.first->value(), "chunked");
}

bool ResponseReader::hasExcessiveOverhead() const
{
    const std::uint64_t bodyBytes = m_parser.get().body().size();
    return m_feed.bytesParsed() - bodyBytes > s_responseOverheadLimit + bodyBytes;
}

} // namespace Trefoil
