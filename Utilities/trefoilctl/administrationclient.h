#pragma once

#include "settings.h"

#include <LibHttp/jsonclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Trefoil
{

/// A host's response to commands.
struct AdministrationResponse
{
    int status = 0;
    nlohmann::json body;
};

/// No host answered, and none did anything.
struct NoHostReachable
{
    std::string message;
};

/// A host may have made the change; its response was lost.
struct ChangeOutcomeUnknown
{
    std::string message;
};

using AdministrationResult = std::variant<AdministrationResponse, NoHostReachable, ChangeOutcomeUnknown>;

/// Sends commands to the first host that answers.
/// Thread safety: one thread at a time, the one that runs the io_context.
class AdministrationClient
{
public:
    /// Precondition: context outlives the client; settings were checked.
    AdministrationClient(boost::asio::io_context &context, const ToolSettings &settings);

    /// Sends a text. The next host is tried when one is unreachable, but not after a change may have been made.
    AdministrationResult send(const std::string &text, bool hasChange, const boost::asio::yield_context &yield);

private:
    struct Host
    {
        std::string address;
        std::unique_ptr<JsonClient> client;
    };

    ToolSettings m_settings;
    std::vector<Host> m_hosts;
};

/// Sends a text and blocks until there is a result. Precondition: settings were checked. Thread safety: safe from any thread.
AdministrationResult sendAndWait(const ToolSettings &settings, const std::string &text, bool hasChange);

} // namespace Trefoil
