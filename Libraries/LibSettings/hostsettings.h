#pragma once

#include <LibCore/result.h>
#include <LibCore/strongid.h>
#include <LibTelemetry/log.h>

#include <string>
#include <variant>
#include <vector>

namespace Trefoil
{

/// Settings of one host, from flags and environment variables. Addresses are "IP:port".
struct HostSettings
{
    HostId host;
    RegionId region;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;
    /// What others are told to use; equal to the listening addresses unless set.
    std::string advertisedCallerAddress;
    std::string advertisedPeerAddress;
    /// Local IP number of outgoing connections; empty leaves the choice to the system.
    std::string sourceAddress;
    std::string tableAddress;
    std::string objectAddress;
    std::string hostListAddress;
    /// Peer addresses tried when neither the table service nor the host list answers.
    std::vector<std::string> peers;
    std::string adminSecretFile;
    std::string peerSecretFile;
    int threads = 2;
    LogLevel logLevel = LogLevel::Info;
    bool checkOnly = false;
};

/// What the command line asked for instead of a run: help or version text for standard output.
struct TextRequested
{
    std::string text;
};

/// Reads and checks flags and environment variables. All findings are reported together; each names the flag, or the
/// environment variable if the value came from there. A flag wins over its variable. On an error main() exits with 2.
/// Precondition: argv holds argc strings. Thread safety: not safe beside changes of the environment.
Result<std::variant<HostSettings, TextRequested>> parseHostSettings(int argc, const char *const *argv);

} // namespace Trefoil
