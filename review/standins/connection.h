#pragma once

#include "record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Trefoil::Review
{

/// One HTTP/1.1 message; header names are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers{};
    std::string body{};

    /// Value of a header, or an empty text. Precondition: the name is in lower case.
    std::string header(const std::string &name) const;

    /// The second word of the start line: the target of a request, the status of a response. Precondition: none.
    std::string secondWord() const;
};

/// One TCP connection, which it closes at its end. Thread safety: one reading and one writing thread.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to IP:port; null when that fails. Precondition: none.
    static std::unique_ptr<Connection> open(const std::string &address);

    /// Sends all bytes; false when the connection is broken. Precondition: none.
    bool send(const std::string &bytes);

    /// Reads the next message; nothing when the connection ends, or the time passes, before it is complete. The body of a response
    /// to HEAD isn't awaited. Precondition: none.
    std::optional<Message> read(milliseconds limit, bool isResponseToHead = false);

    /// Bytes that have arrived and belong to no message that was read; waits for them for a while. Precondition: none.
    std::string unreadBytes(milliseconds wait);

private:
    bool fill(Clock::time_point end);
    bool readLine(std::string &line, Clock::time_point end);
    bool readBytes(std::string &bytes, std::size_t count, Clock::time_point end);
    bool readBody(Message &message, Clock::time_point end);

    int m_socket;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread of its own, until the process ends.
class Listener
{
public:
    using Serve = std::function<void(Connection &connection)>;

    /// Listens on a free port of a loopback IP number. Precondition: what serve refers to lives until the process ends.
    Listener(const std::string &ip, Serve serve);

    /// IP:port. Precondition: none.
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::string m_address;
};

} // namespace Trefoil::Review
