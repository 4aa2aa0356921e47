#include "connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Trefoil::Review
{

namespace
{

constexpr std::size_t s_readBytes = std::size_t{64} * 1024;
constexpr int s_backlog = 512;

sockaddr_in endpointOf(const std::string &ip, int port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
    return endpoint;
}

void disableDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::secondWord() const
{
    const auto start = startLine.find(' ');
    return start == std::string::npos ? std::string() : startLine.substr(start + 1, startLine.find(' ', start + 1) - start - 1);
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    disableDelay(socket);
}

Connection::~Connection()
{
    ::close(m_socket);
}

std::unique_ptr<Connection> Connection::open(const std::string &address)
{
    const auto colon = address.find(':');
    const sockaddr_in endpoint = endpointOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(socket);
    const bool isOpen = ::connect(socket, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) == 0;
    return isOpen ? std::move(connection) : nullptr;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(Clock::time_point end)
{
    const auto left = std::chrono::ceil<milliseconds>(end - Clock::now()).count();
    pollfd input{m_socket, POLLIN, 0};
    if (left <= 0 || ::poll(&input, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, s_readBytes> bytes{};
    const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line, Clock::time_point end)
{
    auto position = m_buffer.find("\r\n");
    while (position == std::string::npos) {
        if (!fill(end)) {
            return false;
        }
        position = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, position);
    m_buffer.erase(0, position + 2);
    return true;
}

bool Connection::readBytes(std::string &bytes, std::size_t count, Clock::time_point end)
{
    while (m_buffer.size() < count) {
        if (!fill(end)) {
            return false;
        }
    }
    bytes += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readBody(Message &message, Clock::time_point end)
{
    if (lowerCase(message.header("transfer-encoding")) != "chunked") {
        const std::string length = message.header("content-length");
        return length.empty() || readBytes(message.body, std::stoul(length), end);
    }
    std::string line;
    while (readLine(line, end)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size > 0 && !readBytes(message.body, size, end)) {
            return false;
        }
        if (!readLine(line, end)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

std::optional<Message> Connection::read(milliseconds limit, bool isResponseToHead)
{
    const auto end = Clock::now() + limit;
    Message message;
    if (!readLine(message.startLine, end)) {
        return std::nullopt;
    }
    std::string line;
    while (true) {
        if (!readLine(line, end)) {
            return std::nullopt;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        const auto value = colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
    }
    if (!isResponseToHead && !readBody(message, end)) {
        return std::nullopt;
    }
    return message;
}

std::string Connection::unreadBytes(milliseconds wait)
{
    const auto end = Clock::now() + wait;
    while (fill(end)) { }
    return m_buffer;
}

Listener::Listener(const std::string &ip, Serve serve)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint = endpointOf(ip, 0);
    socklen_t size = sizeof endpoint;
    auto *address = reinterpret_cast<sockaddr *>(&endpoint);
    if (::bind(listener, address, size) != 0 || ::listen(listener, s_backlog) != 0 || ::getsockname(listener, address, &size) != 0) {
        throw std::runtime_error("cannot listen on " + ip);
    }
    m_address = ip + ":" + std::to_string(ntohs(endpoint.sin_port));
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            std::thread([socket, serve] {
                Connection connection(socket);
                serve(connection);
            }).detach();
        }
    }).detach();
}

} // namespace Trefoil::Review
