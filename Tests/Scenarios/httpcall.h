#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Trefoil::Scenarios
{

/// One HTTP request of a scenario, on a connection of its own.
struct HttpCall
{
    std::string method = "GET";
    /// "IP:port".
    std::string address;
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
    /// Local IP number, by which the link proxy knows the caller; empty leaves the choice to the system.
    std::string sourceAddress;
};

struct HttpReply
{
    /// 0 when there was no complete response; then error tells why.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    std::string error;
    std::chrono::microseconds duration{0};
};

/// Sends all calls at once and waits for all replies, in the order of the calls.
/// Precondition: none. Thread safety: safe from any thread.
std::vector<HttpReply> callAll(const std::vector<HttpCall> &calls);

} // namespace Trefoil::Scenarios
