#pragma once

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/// A small deployment for the cases of the second review: stand-ins for the platform's store and for upstreams, and the project's host as a separate
/// process. All addresses are on loopback. Thread safety: everything runs on the thread of one context.
namespace Review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Socket = asio::ip::tcp::socket;

/// What was sent, answered and run, with the time in ms since the start. Precondition of write(): none.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);
    /// Precondition: none.
    std::int64_t milliseconds() const;

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

/// HTTP server on a free port of 127.0.0.1 that answers each request by a function; nothing closes the connection.
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &request, const asio::yield_context &yield)>;

    /// Precondition: context outlives the server.
    Server(asio::io_context &context, Handler handler);

    /// Precondition: none.
    std::string address() const;

private:
    void serve(Socket &socket, const asio::yield_context &yield);

    asio::io_context &m_context;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
};

/// The platform's store as its pages describe it: rows, transactions and feeds, without faults.
class Store
{
public:
    /// Precondition: context outlives the store.
    explicit Store(asio::io_context &context);

    /// Precondition: none.
    std::string address() const
    {
        return m_server.address();
    }

    /// Writes a row as the operator or an upstream would; the store has acknowledged it on return. Precondition: none.
    void set(const std::string &table, const std::string &key, const Json &value);

private:
    struct Row
    {
        std::string table;
        std::string key;
        /// Base64.
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    Response answer(const Request &request, const asio::yield_context &yield);
    Response read(const std::string &target) const;
    Response feed(const std::string &target, const asio::yield_context &yield);
    Response transact(const std::string &body);
    void put(const std::string &table, const std::string &key, std::string value, bool isRemoved);
    std::string now() const;

    asio::io_context &m_context;
    /// Rows by table and key.
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Row> m_history;
    std::uint64_t m_version = 100;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    Server m_server;
};

/// The project's host, started with the command of the deploy file. It is killed at the end of this object at the latest.
class Host
{
public:
    /// Precondition: the folder exists; the names of hosts of one deployment differ.
    Host(std::string folder, std::string name, std::string storeAddress);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// Starts the process. Precondition: it doesn't run.
    void start();
    /// Sends a signal. Precondition: the process was started.
    void signal(int number) const;
    /// Whether it has ended by itself or by a signal. Precondition: the process was started.
    bool hasEnded();

    /// Precondition: none.
    std::string callerAddress() const;
    /// Precondition: none.
    std::string readinessAddress() const;
    /// Precondition: none.
    std::string lookupAddress() const;

private:
    std::string m_folder;
    std::string m_name;
    std::string m_storeAddress;
    std::vector<unsigned short> m_ports;
    pid_t m_process = -1;
};

/// A connection of a caller. Precondition of all: runs in a coroutine of the context.
class Caller
{
public:
    explicit Caller(asio::io_context &context);

    /// False when no connection was made.
    bool connect(const std::string &address, const asio::yield_context &yield);
    /// The response; nothing when the connection ended without one.
    std::optional<Response> send(const Request &request, const asio::yield_context &yield);

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
};

/// Waits. Precondition: runs in a coroutine of the context.
void sleepFor(asio::io_context &context, std::chrono::milliseconds time, const asio::yield_context &yield);

/// Waits until the host says that it is ready; false after 20 s. Precondition: runs in a coroutine of the context.
bool awaitReady(asio::io_context &context, Host &host, const asio::yield_context &yield);

/// A configuration's route, as on the users' pages. Precondition: none.
Json routeTo(const std::string &prefix, const std::string &kind, const std::string &service);

/// A configuration, as on the users' pages. Precondition: none.
Json configuration(int version, const Json &routes, const std::vector<std::string> &services, std::size_t headerLimit);

/// An upstream's entry in the store. Precondition: none.
Json upstreamEntry(const std::string &service, const std::string &address, int report);

} // namespace Review
