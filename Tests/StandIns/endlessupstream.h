#pragma once

#include <LibCore/result.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// Stand-in for an upstream that sends raw bytes, whether or not they are a response, until its peer closes the connection.
namespace Trefoil
{

struct EndlessScript
{
    /// Sent once, after the head of the first request of each connection.
    std::string opening{};
    /// Pause between opening and repeated.
    std::chrono::milliseconds pause{0};
    /// Sent again and again after opening.
    std::string repeated{};
    /// Pause after each write.
    std::chrono::milliseconds interval{0};
    /// The connection is closed in order after this many bytes, so that a test ends by itself.
    std::uint64_t totalBytes = std::uint64_t{64} * 1024 * 1024;
};

/// The start of a header with the request's id; fields ends it, or not. Precondition: none. Thread safety: safe from any thread.
std::string responseHead(const std::string &id, const std::string &fields);

/// A response with a body of that many bytes. Precondition: none. Thread safety: safe from any thread.
std::string completeResponse(const std::string &id, std::size_t bodyBytes);

/// One chunk of a body. Precondition: bytes is not 0. Thread safety: safe from any thread.
std::string chunkOf(std::size_t bytes, const std::string &extension = {});

/// Bytes without end, as no-response, empty-lines, reason-phrase, header-field, header-fields, header-slowly, huge-length,
/// no-length, chunks, tiny-chunks, chunk-extension, chunk-extensions, trailer-fields, interim, interim-fields, foreign,
/// foreign-large, and behind-response, which follows a complete response to the request of that id.
/// Precondition: shape is one of these. Thread safety: safe from any thread.
EndlessScript endlessScript(const std::string &shape, const std::string &id);

class EndlessUpstream
{
public:
    /// Listens on a free port of 127.0.0.1. Preconditions: one thread runs context; script.repeated is not empty.
    static Result<std::unique_ptr<EndlessUpstream>> create(boost::asio::io_context &context, EndlessScript script);

    /// Precondition: the context does not run.
    ~EndlessUpstream();
    EndlessUpstream(const EndlessUpstream &) = delete;
    EndlessUpstream &operator=(const EndlessUpstream &) = delete;

    /// The listening IP:port. Precondition: none. Thread safety: on the thread that runs the context.
    const std::string &address() const;

    /// Bytes that the sockets took, on all connections. Precondition: none. Thread safety: on the thread that runs the context.
    std::uint64_t bytesSent() const;

    /// Connections accepted. Precondition: none. Thread safety: on the thread that runs the context.
    int connections() const;

    /// Connections on which bytes are still sent. Precondition: none. Thread safety: on the thread that runs the context.
    int sendingConnections() const;

private:
    class State;
    explicit EndlessUpstream(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Trefoil
